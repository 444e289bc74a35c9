"""A stand-in for a model engine; it speaks the protocol of docs/TARGETS.md.

Text is made of numbered words, so that a test can check each token. It keeps
finished generations for a while, so that they can be resumed.
"""

from __future__ import annotations

import asyncio
import json
import random
import uuid
from typing import Any

import cyclopts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from endivesill.server import HttpServer

__all__ = ["StandinEngine", "main"]

KEPT_GENERATIONS = 10_000


class Generation:
    """A generation with the tokens that it has so far."""

    def __init__(self, generation_id: str, length: int, chat: bool) -> None:
        self.generation_id = generation_id
        self.length = length
        self.chat = chat
        self.tokens = 0
        self.cancelled = False
        self.changed = asyncio.Event()

    def event(self, index: int) -> bytes:
        """Return the server-sent event of a token."""
        reason = "length" if index + 1 == self.length else None
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        text = f"w{index} "
        if self.chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        data = json.dumps({"choices": [choice]}, separators=(",", ":"))
        return f"id: {self.generation_id}:{index}\ndata: {data}\n\n".encode()


class StandinEngine:
    """The engine's state and HTTP routes.

    Args:
      token_s: time between tokens.
      seed: seed of the lengths that callers leave open.
    """

    def __init__(self, token_s: float = 0.01, seed: int = 1) -> None:
        self.token_s = token_s
        self.boot_id = uuid.uuid4().hex
        self.generations: dict[str, Generation] = {}
        self.starts: dict[str, int] = {}
        self.running = 0
        self.memory_tokens = 100_000
        self._random = random.Random(seed)

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self._generate, methods=["POST"]),
                Route("/v1/chat/completions", self._generate, methods=["POST"]),
                Route("/v1/generations/{id}/resume", self._resume, methods=["POST"]),
                Route("/v1/generations/{id}/cancel", self._cancel, methods=["POST"]),
                Route("/v1/load", self._load),
                Route("/standin/ran", self._ran),
            ]
        )

    async def _generate(self, request: Request) -> Response:
        document = json.loads(await request.body())
        generation_id = request.headers["x-generation-id"]
        length = document.get("max_tokens") or self._random.randint(20, 200)
        chat = "chat" in request.url.path
        generation = Generation(generation_id, length, chat)
        self.generations[generation_id] = generation
        self.starts[generation_id] = self.starts.get(generation_id, 0) + 1
        while len(self.generations) > KEPT_GENERATIONS:
            self.generations.pop(next(iter(self.generations)))
        asyncio.ensure_future(self._decode(generation))
        return self._streaming(request, generation, 0)

    async def _decode(self, generation: Generation) -> None:
        self.running += 1
        try:
            while generation.tokens < generation.length and not generation.cancelled:
                await asyncio.sleep(self.token_s)
                generation.tokens += 1
                generation.changed.set()
        finally:
            self.running -= 1

    def _streaming(
        self, request: Request, generation: Generation, next_index: int
    ) -> Response:
        headers = {"X-Attempt-Id": request.headers.get("x-attempt-id", "")}
        return StreamingResponse(
            self._events(generation, next_index),
            media_type="text/event-stream",
            headers=headers,
        )

    async def _events(self, generation: Generation, next_index: int) -> Any:
        index = next_index
        while index < generation.length and not generation.cancelled:
            if index == generation.tokens:
                generation.changed.clear()
                await generation.changed.wait()
            while index < generation.tokens:
                yield generation.event(index)
                index += 1
        if not generation.cancelled:
            yield b"data: [DONE]\n\n"

    async def _resume(self, request: Request) -> Response:
        generation = self.generations.get(request.path_params["id"])
        if generation is None or generation.cancelled:
            return Response(status_code=410)
        next_index = int(request.query_params.get("from", "0"))
        return self._streaming(request, generation, next_index)

    async def _cancel(self, request: Request) -> Response:
        generation = self.generations.get(request.path_params["id"])
        if generation is not None:
            generation.cancelled = True
            generation.changed.set()
        return JSONResponse({})

    async def _load(self, request: Request) -> Response:
        used = sum(g.tokens for g in self.generations.values() if not g.cancelled)
        return JSONResponse(
            {
                "boot_id": self.boot_id,
                "running": self.running,
                "waiting": 0,
                "memory_tokens": self.memory_tokens,
                "used_tokens": used,
                "preemptions": 0,
            }
        )

    async def _ran(self, request: Request) -> Response:
        return JSONResponse(self.starts)


def main(address: str, /, *, token_s: float = 0.01, seed: int = 1) -> None:
    """Run a stand-in engine until it is stopped."""

    async def run() -> None:
        server = HttpServer(address, StandinEngine(token_s, seed).application())
        await server.start()
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == "__main__":
    cyclopts.run(main)
