"""Stand-in for a model engine with the protocol of docs/TARGETS.md.

Tokens are numbered words, so that tests can check each of them. Finished generations
are retained up to a limit, so that they can be resumed.
"""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import random
import uuid
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
import cyclopts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from bench.standin_cache import PrefixCache
from bench.standin_generation import StandinGeneration
from endivesill.routing.prefixes import CHARACTERS_PER_TOKEN
from endivesill.server import HttpServer
from endivesill.timer import SystemTimer, TimerService

__all__ = ["EngineOptions", "StandinEngine", "main"]

MAX_GENERATIONS = 10_000
NOT_RUN = {"X-Run": "not-run"}


@attrs.define
class EngineOptions:
    """Behaviour of a stand-in engine.

    Attributes:
      token_s: time between tokens while no more generations run than slots.
      slots: concurrent generations without a slowdown when warm.
      cold_slots: concurrent generations without a slowdown when cold; 0 starts warm.
      warm_after: completed generations after which it is warm.
      memory_tokens: memory size that it reports.
      report_lag_s: age of its load reports.
      checks_fencing: whether orders with an old fencing token are refused.
      offers_moves: whether it moves generations to other engines.
      orphan_s: how long a generation continues without a reader.
      seed: seed of output lengths that requests leave open.
    """

    token_s: float = 0.01
    slots: int = 64
    cold_slots: int = 0
    warm_after: int = 20
    memory_tokens: int = 100_000
    report_lag_s: float = 0.0
    checks_fencing: bool = True
    offers_moves: bool = True
    orphan_s: float = 30.0
    seed: int = 1


class StandinEngine:
    """State and HTTP routes of the engine.

    Args:
      options: its behaviour; may be changed at any time.
      record: file to which the `user` of each started generation is appended.
      timer: the timer service.

    Attributes:
      starts: how often each generation was started, by id.
      cancelled: ids of the generations cancelled by a request, in order.
      refusing: whether it refuses new work as not run.
      leaves_at_s: when it will be reclaimed; None without a notice.
    """

    def __init__(
        self,
        options: EngineOptions | None = None,
        record: pathlib.Path | None = None,
        timer: TimerService | None = None,
    ) -> None:
        self.options = options or EngineOptions()
        self.timer = timer or SystemTimer()
        self.boot_id = uuid.uuid4().hex
        self.generations: dict[str, StandinGeneration] = {}
        self.starts: dict[str, int] = {}
        self.cancelled: list[str] = []
        self.orders: dict[str, dict[str, Any]] = {}
        self.fencing_token = 0
        self.running = 0
        self.finished = 0
        self.generated_tokens = 0
        self.refusing = False
        self.leaves_at_s: float | None = None
        self.model, self.adapters, self.role = "", [], "mixed"  # type: ignore[var-annotated]
        self._record = record
        self._random = random.Random(self.options.seed)
        self._reports: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque()
        )
        self._cache = PrefixCache()

    def application(self) -> Starlette:
        """Return the ASGI application."""
        generation = "/v1/generations/{id}"
        return Starlette(
            routes=[
                Route("/v1/completions", self._generate, methods=["POST"]),
                Route("/v1/chat/completions", self._generate, methods=["POST"]),
                Route(f"{generation}/resume", self._resume, methods=["POST"]),
                Route(f"{generation}/cancel", self._cancel, methods=["POST"]),
                Route(f"{generation}/move", self._move, methods=["POST"]),
                Route(f"{generation}/adopt", self._adopt, methods=["POST"]),
                Route("/v1/load", self._load),
                Route("/v1/cache-events", self._list_cache_events),
                Route("/v1/orders", self._order, methods=["POST"]),
                Route("/standin/ran", self._list_starts),
                Route("/standin/leave", self._give_notice, methods=["POST"]),
                Route("/standin/cool", self._reset_to_cold, methods=["POST"]),
            ]
        )

    @property
    def is_cold(self) -> bool:
        """Whether it slows down beyond `cold_slots` instead of `slots`."""
        return self.finished < self.options.warm_after and bool(self.options.cold_slots)

    def slowdown(self) -> float:
        """Return the factor by which overload lengthens the time between tokens."""
        slots = self.options.cold_slots if self.is_cold else self.options.slots
        overload = max(1.0, self.running / slots)
        return overload * overload

    async def _generate(self, request: Request) -> Response:
        if self.refusing:
            return Response(status_code=503, headers=NOT_RUN)
        document = json.loads(await request.body())
        prompt = _prompt_text(document)
        generation = StandinGeneration(
            generation_id=request.headers["x-generation-id"],
            length=document.get("max_tokens") or self._random.randint(20, 200),
            chat="chat" in request.url.path,
            prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN + 1,
            priority=int(request.headers.get("x-priority", "1")),
        )
        self.starts[generation.generation_id] = (
            self.starts.get(generation.generation_id, 0) + 1
        )
        self._record_tag(str(document.get("user", generation.generation_id)))
        self._cache.store(prompt)
        self._start_generation(generation)
        return self._stream_response(request, generation, 0)

    def _record_tag(self, tag: str) -> None:
        if self._record is not None:
            with self._record.open("a", encoding="utf-8") as record:
                record.write(tag + "\n")

    def _start_generation(self, generation: StandinGeneration) -> None:
        generation.orphaned_s = self.timer.now_s()
        self.generations[generation.generation_id] = generation
        while len(self.generations) > MAX_GENERATIONS:
            self.generations.pop(next(iter(self.generations)))
        asyncio.ensure_future(self._decode(generation))

    async def _decode(self, generation: StandinGeneration) -> None:
        self.running += 1
        try:
            while not generation.is_over:
                await self.timer.sleep(self.options.token_s * self.slowdown())
                if generation.is_over or self._is_orphan(generation):
                    break
                if generation.is_moving:
                    continue
                generation.tokens += 1
                self.generated_tokens += 1
                generation.notify()
        finally:
            self.running -= 1
        if generation.tokens >= generation.length:
            self.finished += 1

    def _is_orphan(self, generation: StandinGeneration) -> bool:
        if generation.readers:
            return False
        if self.timer.now_s() - generation.orphaned_s < self.options.orphan_s:
            return False
        generation.cancelled = True
        return True

    def _stream_response(
        self, request: Request, generation: StandinGeneration, next_index: int
    ) -> Response:
        attempt_id = request.headers.get("x-attempt-id", "")
        generation.attempt_id = attempt_id
        generation.notify()
        return StreamingResponse(
            self._stream_events(generation, attempt_id, next_index),
            media_type="text/event-stream",
            headers={"X-Attempt-Id": attempt_id},
        )

    async def _stream_events(
        self, generation: StandinGeneration, attempt_id: str, next_index: int
    ) -> AsyncIterator[bytes]:
        index = next_index
        generation.readers += 1
        try:
            while generation.attempt_id == attempt_id:
                changed = generation.changed
                while index < generation.tokens:
                    yield generation.event(index)
                    index += 1
                if index >= generation.length:
                    yield b"data: [DONE]\n\n"
                    return
                if generation.cancelled or generation.moved_to:
                    return
                if index >= generation.tokens:
                    await changed.wait()
        finally:
            generation.readers -= 1
            generation.orphaned_s = self.timer.now_s()

    async def _resume(self, request: Request) -> Response:
        generation = self.generations.get(request.path_params["id"])
        if generation is None or generation.cancelled:
            return Response(status_code=410)
        if generation.moved_to:
            headers = {"X-Moved-To": generation.moved_to}
            return Response(status_code=410, headers=headers)
        if not _is_owner(request, generation):
            return Response(status_code=409)
        next_index = int(request.query_params.get("from", "0"))
        if next_index > generation.length:
            return Response(status_code=400)
        return self._stream_response(request, generation, next_index)

    async def _cancel(self, request: Request) -> Response:
        generation = self.generations.get(request.path_params["id"])
        if generation is None or generation.is_over:
            return JSONResponse({"cancelled": False})
        if not _is_owner(request, generation):
            return JSONResponse({"cancelled": False})
        generation.cancelled = True
        generation.notify()
        self.cancelled.append(generation.generation_id)
        return JSONResponse({"cancelled": True})

    async def _move(self, request: Request) -> Response:
        generation = self.generations.get(request.path_params["id"])
        if not self.options.offers_moves or generation is None or generation.is_over:
            return Response(status_code=404)
        address = json.loads(await request.body())["to"].rstrip("/")
        url = f"{address}/v1/generations/{generation.generation_id}/adopt"
        generation.is_moving = True
        document = generation.to_document()
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, json=document) as response,
            ):
                adopted = response.status == 200
        except aiohttp.ClientError:
            adopted = False
        if not adopted:
            generation.is_moving = False
            return Response(status_code=502)
        generation.moved_to = address
        generation.notify()
        return JSONResponse({"moved": True})

    async def _adopt(self, request: Request) -> Response:
        if self.refusing:
            return Response(status_code=503, headers=NOT_RUN)
        self._start_generation(StandinGeneration(**json.loads(await request.body())))
        return JSONResponse({})

    def _report(self) -> dict[str, Any]:
        leaving_in_s = None
        if self.leaves_at_s is not None:
            leaving_in_s = max(0.0, self.leaves_at_s - self.timer.now_s())
        active = [g for g in self.generations.values() if not g.is_over]
        return {
            "boot_id": self.boot_id,
            "running": self.running,
            "waiting": 0,
            "memory_tokens": self.options.memory_tokens,
            "used_tokens": sum(g.tokens + g.prompt_tokens for g in active),
            "preemptions": 0,
            "generated_tokens": self.generated_tokens,
            "leaving_in_s": leaving_in_s,
            "model": self.model,
            "adapters": self.adapters,
            "role": self.role,
        }

    async def _load(self, request: Request) -> Response:
        now_s = self.timer.now_s()
        self._reports.append((now_s, self._report()))
        while len(self._reports) > 1:
            if self._reports[1][0] > now_s - self.options.report_lag_s:
                break
            self._reports.popleft()
        return JSONResponse(self._reports[0][1])

    async def _list_cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        return JSONResponse({"boot_id": self.boot_id, **self._cache.since(after)})

    async def _order(self, request: Request) -> Response:
        order = json.loads(await request.body())
        if order["order_id"] in self.orders:
            return JSONResponse(self._report())
        if self.options.checks_fencing and order["fencing_token"] < self.fencing_token:
            return Response("the fencing token is old", status_code=409)
        self.fencing_token = max(self.fencing_token, order["fencing_token"])
        self.orders[order["order_id"]] = order
        if order["kind"] == "load-model":
            self.model = f"{order['subject']}@{order['version']}"
            self._cache.clear()
        elif order["kind"] == "load-adapter":
            self.adapters = [*self.adapters, f"{order['subject']}@{order['version']}"]
        else:
            self.role = order["subject"]
        return JSONResponse(self._report())

    async def _list_starts(self, request: Request) -> Response:
        return JSONResponse(self.starts)

    async def _give_notice(self, request: Request) -> Response:
        in_s = float(request.query_params.get("in_s", "5"))
        self.leaves_at_s = self.timer.now_s() + in_s
        return JSONResponse({})

    async def _reset_to_cold(self, request: Request) -> Response:
        """Become cold again, visible to others only as the cleared cache."""
        self.finished = 0
        self._cache.clear()
        return JSONResponse({})


def _is_owner(request: Request, generation: StandinGeneration) -> bool:
    """Tell whether the generation's last attempt is one of the caller's."""
    attempts = request.headers.get("x-previous-attempts")
    return attempts is None or generation.attempt_id in attempts.split(",")


def _prompt_text(document: dict[str, Any]) -> str:
    if "messages" in document:
        return "\n".join(message["content"] for message in document["messages"])
    return document.get("prompt", "")


def main(
    address: str,
    /,
    *,
    token_s: float = 0.01,
    slots: int = 64,
    cold_slots: int = 0,
    warm_after: int = 20,
    report_lag_s: float = 0.0,
    memory_tokens: int = 100_000,
    ignore_fencing: bool = False,
    no_moves: bool = False,
    record: pathlib.Path | None = None,
    seed: int = 1,
) -> None:
    """Run a stand-in engine until the process is stopped."""
    options = EngineOptions(
        token_s=token_s,
        slots=slots,
        cold_slots=cold_slots,
        warm_after=warm_after,
        memory_tokens=memory_tokens,
        report_lag_s=report_lag_s,
        checks_fencing=not ignore_fencing,
        offers_moves=not no_moves,
        seed=seed,
    )

    async def run() -> None:
        engine = StandinEngine(options, record)
        server = HttpServer(address, engine.application())
        await server.start()
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == "__main__":
    cyclopts.run(main)
