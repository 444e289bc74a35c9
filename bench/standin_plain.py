"""A stand-in for a plain service: it books, and remembers what it ran."""

from __future__ import annotations

import asyncio
import json
import pathlib

import cyclopts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from endivesill.server import HttpServer

__all__ = ["StandinPlain", "main"]

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
NOT_RUN = {"X-Run": "not-run"}


class StandinPlain:
    """The service's state and HTTP routes.

    Args:
      delay_s: time before each answer.
      record: file to which the body of each call that it ran is added.

    Attributes:
      ran: the calls that it ran.
      refusing: whether it refuses calls with its own word that it has not run
        them.
    """

    def __init__(
        self, delay_s: float = 0.0, record: pathlib.Path | None = None
    ) -> None:
        self.delay_s = delay_s
        self.ran: list[dict[str, str]] = []
        self.refusing = False
        self._record = record

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/standin/ran", self._list),
                Route("/standin/refuse", self._refuse, methods=["POST"]),
                Route("/{path:path}", self._call, methods=METHODS),
            ]
        )

    async def _call(self, request: Request) -> Response:
        body = (await request.body()).decode("utf-8", "replace")
        if self.refusing:
            return Response(status_code=503, headers=NOT_RUN)
        record = {
            "method": request.method,
            "path": request.url.path,
            "query": request.url.query,
            "body": body,
            "attempt": request.headers.get("x-attempt-id", ""),
        }
        self.ran.append(record)
        number = len(self.ran)
        if self._record is not None:
            with self._record.open("a", encoding="utf-8") as file:
                file.write(body + "\n")
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        return Response(
            json.dumps({"number": number, "echo": record}),
            media_type="application/json",
        )

    async def _list(self, request: Request) -> Response:
        return JSONResponse(self.ran)

    async def _refuse(self, request: Request) -> Response:
        self.refusing = request.query_params.get("on", "yes") == "yes"
        return JSONResponse({})


def main(
    address: str,
    /,
    *,
    delay_s: float = 0.0,
    record: pathlib.Path | None = None,
) -> None:
    """Run a stand-in plain service until it is stopped."""

    async def run() -> None:
        server = HttpServer(address, StandinPlain(delay_s, record).application())
        await server.start()
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == "__main__":
    cyclopts.run(main)
