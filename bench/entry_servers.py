"""The servers of the entry benchmark, each run in its own process.

`floor` is a minimal pass-through proxy built on the same libraries as the entry:
uvicorn, starlette's StreamingResponse and aiohttp's iter_any.
"""

from __future__ import annotations

import asyncio
import os
from typing import Any

import aiohttp
import cyclopts
import eliot
import uvloop
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import StreamingResponse
from starlette.routing import Route

from bench.entry_source import serve_source
from endivesill.configuration.model import configuration_from_documents
from endivesill.configuration.source import FixedConfiguration
from endivesill.control import LocalControl
from endivesill.entry.memory import freeze_start_up_objects
from endivesill.entry.service import EntryService
from endivesill.entry.settings import EntrySettings
from endivesill.kernel import Kernel
from endivesill.keys import KeyRing, hash_key
from endivesill.routing import Router
from endivesill.server import HttpServer
from endivesill.timer import SystemTimer

__all__ = ["CALLER_KEY"]

CALLER_KEY = "bench-caller-key"
READ_BUFFER_BYTES = 1 << 18
SLOTS = 100_000


async def serve_floor(address: str, source: str) -> None:
    """Run the minimal proxy until the process is stopped."""
    connector = aiohttp.TCPConnector(limit=0, limit_per_host=0)
    session = aiohttp.ClientSession(
        connector=connector, auto_decompress=False, read_bufsize=READ_BUFFER_BYTES
    )

    async def forward(request: Request) -> StreamingResponse:
        body = await request.body()
        response = await session.post(f"http://{source}{request.url.path}", data=body)
        return StreamingResponse(
            response.content.iter_any(), media_type="text/event-stream"
        )

    application = Starlette(
        routes=[Route("/v1/completions", forward, methods=["POST"])]
    )
    await HttpServer(address, application).start()
    freeze_start_up_objects()
    await asyncio.Event().wait()


async def serve_entry(address: str, source: str) -> None:
    """Run an entry until the process is stopped."""
    eliot.to_file(open(os.devnull, "w", encoding="utf-8"))  # noqa: ASYNC230, SIM115
    documents: dict[str, dict[str, Any]] = {
        "data-centre/a": {"region": "r"},
        "service/llm": {"protocol": "engine"},
        "organisation/o": {
            "key_sha256": hash_key(CALLER_KEY),
            "maximum_requests": SLOTS,
        },
        "target/e": {
            "service": "llm",
            "url": f"http://{source}",
            "data_centre": "a",
            "maximum_slots": SLOTS,
            "cold_slots": SLOTS,
            "memory_tokens": 1 << 40,
        },
    }
    configuration = FixedConfiguration(configuration_from_documents(1, documents))
    kernel = Kernel(SystemTimer())
    kernel.add("control", LocalControl(kernel.timer))
    kernel.add("router", Router(kernel.timer, configuration.current))
    keys = KeyRing(["a-peer-key-for-the-bench"])
    settings = EntrySettings(resume_window_s=0)
    entry = EntryService(kernel, address, configuration, keys, "vm", settings)
    kernel.add("entry", entry)
    await kernel.start()
    freeze_start_up_objects()
    await asyncio.Event().wait()


def main(kind: str, address: str, source: str = "") -> None:
    """Run a server until it is stopped: KIND is `source`, `floor` or `entry`."""
    if kind == "source":
        uvloop.run(serve_source(address))
    elif kind == "floor":
        uvloop.run(serve_floor(address, source))
    else:
        uvloop.run(serve_entry(address, source))


if __name__ == "__main__":
    cyclopts.run(main)
