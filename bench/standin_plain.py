"""Stand-in for a plain service; it records the calls that it ran."""

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
    """State and HTTP routes of the service.

    Args:
      delay_s: delay of each response.
      record: file to which the body of each call that ran is appended.

    Attributes:
      ran: the calls that ran, in order.
      refusing: whether it refuses calls as not run.
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
                Route("/standin/ran", self._list_calls),
                Route("/standin/refuse", self._set_refusing, methods=["POST"]),
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

    async def _list_calls(self, request: Request) -> Response:
        return JSONResponse(self.ran)

    async def _set_refusing(self, request: Request) -> Response:
        self.refusing = request.query_params.get("on", "yes") == "yes"
        return JSONResponse({})


def main(
    address: str,
    /,
    *,
    delay_s: float = 0.0,
    record: pathlib.Path | None = None,
) -> None:
    """Run a stand-in plain service until the process is stopped."""

    async def run() -> None:
        server = HttpServer(address, StandinPlain(delay_s, record).application())
        await server.start()
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == "__main__":
    cyclopts.run(main)
