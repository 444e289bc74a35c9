"""A stand-in for a plain service: it books, and remembers what it ran."""

from __future__ import annotations

import asyncio
import json

import cyclopts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from endivesill.server import HttpServer

__all__ = ["StandinPlain", "main"]


class StandinPlain:
    """The service's state and HTTP routes.

    Args:
      delay_s: time before each answer.
    """

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.ran: list[dict[str, str]] = []

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/standin/ran", self._list),
                Route(
                    "/{path:path}", self._call, methods=["GET", "POST", "PUT", "DELETE"]
                ),
            ]
        )

    async def _call(self, request: Request) -> Response:
        body = (await request.body()).decode("utf-8", "replace")
        record = {
            "method": request.method,
            "path": request.url.path,
            "query": request.url.query,
            "body": body,
            "attempt": request.headers.get("x-attempt-id", ""),
        }
        self.ran.append(record)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        return Response(
            json.dumps({"number": len(self.ran), "echo": record}),
            media_type="application/json",
        )

    async def _list(self, request: Request) -> Response:
        return JSONResponse(self.ran)


def main(address: str, /, *, delay_s: float = 0.0) -> None:
    """Run a stand-in plain service until it is stopped."""

    async def run() -> None:
        server = HttpServer(address, StandinPlain(delay_s).application())
        await server.start()
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == "__main__":
    cyclopts.run(main)
