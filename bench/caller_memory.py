"""Memory of callers' connections, and requests a core second, at one listener.

    python -m bench.caller_memory

The listener runs in a process of its own; the figures are what its resident memory
grows by for each connection in a state, and its processor time for each request on
kept connections.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import pathlib
import re
import sys
import time
from multiprocessing.connection import Connection

import uvloop

from bench.report import commit, machine
from endivesill.http1 import Exchange, HttpListener
from endivesill.timer import SystemTimer

__all__ = ["main"]

CONNECTIONS = 400
REQUESTS = 20_000
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
# What each connection has sent in a state.
STATES = {
    "idle": b"",
    "in a head of 8 KiB": HEAD + b"X-Field: " + b"v" * 8_150,
    "in a body of 64 KiB": HEAD + b"Content-Length: 1000000\r\n\r\n" + b"x" * 65_536,
}
RESIDENT = re.compile(r"VmRSS:\s+(\d+) kB")


def _serve(pipe: Connection) -> None:
    async def respond(exchange: Exchange) -> None:
        exchange.respond(200, [], b"ok")

    async def run() -> None:
        listener = HttpListener(SystemTimer(), "127.0.0.1:0", respond)
        await listener.start()
        pipe.send(listener.address)
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    uvloop.run(run())


def _resident_kb(pid: int) -> int:
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    found = RESIDENT.search(status)
    assert found is not None
    return int(found[1])


def _processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


async def _memory_bytes(address: str, pid: int, sent: bytes) -> float:
    host, _, port = address.rpartition(":")
    before_kb = _resident_kb(pid)
    writers = []
    for _ in range(CONNECTIONS):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        writers.append(writer)
    await asyncio.sleep(1.0)
    bytes_each = 1_024 * (_resident_kb(pid) - before_kb) / CONNECTIONS
    for writer in writers:
        writer.transport.abort()
    await asyncio.sleep(0.5)
    return bytes_each


async def _requests_per_core_s(address: str, pid: int) -> float:
    host, _, port = address.rpartition(":")
    request = HEAD + b"Content-Length: 5\r\n\r\norder"
    before_s = _processor_s(pid)

    async def call(count: int) -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(count):
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            await reader.readexactly(2)
        writer.close()

    await asyncio.gather(*(call(REQUESTS // 20) for _ in range(20)))
    return REQUESTS / (_processor_s(pid) - before_s)


def main() -> None:
    """Print the figures as JSON."""
    figures: dict[str, float] = {}
    context = multiprocessing.get_context("spawn")
    for state, sent in STATES.items():
        # Memory that an earlier state has left free would hide that of a later one.
        pipe, other = context.Pipe()
        process = context.Process(target=_serve, args=(other,))
        process.start()
        address, pid = pipe.recv(), process.pid
        assert pid is not None
        time.sleep(0.3)
        figures[f"bytes {state}"] = asyncio.run(_memory_bytes(address, pid, sent))
        if not sent:
            per_s = asyncio.run(_requests_per_core_s(address, pid))
            figures["requests a core second"] = per_s
        pipe.send(None)
        process.join()
    report = {"bench": "caller_memory", "commit": commit(), "machine": machine()}
    json.dump({**report, "figures": figures}, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
