"""Serves the metrics of a process as text over HTTP, and pages about its state."""

from __future__ import annotations

import json
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any

from endivesill.http1 import Exchange, HttpListener, bounds_exceeded
from endivesill.timer import TimerService

__all__ = ["METRICS_PORT", "PLACEMENT_PATH", "MetricsListener", "Page"]

# Returns the JSON of a page for the fields of a query, or raises `ValueError`.
Page = Callable[[Mapping[str, str]], Any]

# Must equal the port in deploy/system.toml.
METRICS_PORT = 9464
# The page that tells where a request would be placed now.
PLACEMENT_PATH = b"/placement"


class MetricsListener:
    """Answers with the current metrics, or with a page if the path is one of them.

    Args:
      timer: the timer service.
      ip: IP address of the VM.
      lines: returns the metric lines, without line ends.
      pages: the pages by path.
    """

    def __init__(
        self,
        timer: TimerService,
        ip: str,
        lines: Callable[[], list[str]],
        pages: Mapping[bytes, Page] | None = None,
    ) -> None:
        self._lines = lines
        self._pages = pages or {}
        self._listener = HttpListener(timer, f"{ip}:{METRICS_PORT}", self._handle)

    async def start(self) -> None:
        """Start to listen on the VM's address."""
        await self._listener.start()

    async def _handle(self, exchange: Exchange) -> None:
        path, _, query = exchange.target.partition(b"?")
        if path in self._pages:
            self._respond_page(exchange, self._pages[path], query)
            return
        lines = [*self._lines(), *_bound_lines()]
        body = ("\n".join(lines) + "\n").encode()
        exchange.respond(200, [(b"Content-Type", b"text/plain")], body)

    def _respond_page(self, exchange: Exchange, page: Page, query: bytes) -> None:
        fields = dict(urllib.parse.parse_qsl(query.decode("latin-1")))
        status = 200
        try:
            document = page(fields)
        except ValueError as error:
            status, document = 400, {"error": str(error)}
        body = json.dumps(document).encode()
        exchange.respond(status, [(b"Content-Type", b"application/json")], body)


def _bound_lines() -> list[str]:
    """Return how many peers exceeded each bound on responses, as metric lines."""
    return [
        f'endivesill_response_bounds_exceeded_total{{bound="{bound}"}} {count}'
        for bound, count in sorted(bounds_exceeded.items())
    ]
