"""Reads the platform's list of engines, page by page."""

from __future__ import annotations

import urllib.parse

from endivesill import errors, events
from endivesill.fleet.engine_list import ListSource
from endivesill.fleet.events import LIST_ENTRY_SKIPPED
from endivesill.fleet.model import EngineInfo
from endivesill.http1 import ConnectionPool, UpstreamError, encode_head
from endivesill.platform import wire
from endivesill.platform.engines import decode_list_page
from endivesill.timer import TimerService

__all__ = ["PlatformList"]

CONNECT_TIMEOUT_S = 0.5
PAGE_TIMEOUT_S = 1.0
LONGEST_IDLE_S = 5.0
# Share of the allowed calls that one reader uses; for a moment there may be two,
# while a leader has not noticed yet that it was replaced.
RATE_SHARE = 0.4


class PlatformList(ListSource):
    """The list at the platform's address.

    Args:
      timer: the timer service.
      address: HOST:PORT of the list.
      calls_per_s: calls that the platform accepts from all VMs together.
    """

    def __init__(self, timer: TimerService, address: str, calls_per_s: float) -> None:
        self._timer = timer
        self._calls_per_s = calls_per_s
        self._skipped: set[str] = set()
        self._address = address
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, LONGEST_IDLE_S)

    async def read(self) -> list[EngineInfo]:
        """Read all pages; see the base class."""
        engines: list[EngineInfo] = []
        skipped: list[str] = []
        token = ""
        calls = 0
        while True:
            calls += 1
            try:
                body = await self._timer.wait_for(self._page(token), PAGE_TIMEOUT_S)
                page = decode_list_page(body)
            except (
                UpstreamError,
                errors.DeadlineExceededError,
                errors.DocumentError,
            ) as error:
                raise errors.UnavailableError(f"list of engines: {error}") from None
            engines += page.engines
            skipped += page.skipped
            token = page.next_token
            if not token:
                self._note_skipped(skipped)
                self.shortest_period_s = calls / (RATE_SHARE * self._calls_per_s)
                return engines

    def _note_skipped(self, reasons: list[str]) -> None:
        """Log entries that could not be read, once for each reason."""
        for reason in set(reasons) - self._skipped:
            events.emit(LIST_ENTRY_SKIPPED, reason=reason)
        self._skipped = set(reasons)

    async def _page(self, token: str) -> bytes:
        path = wire.LIST_PATH
        if token:
            path += "?page_token=" + urllib.parse.quote(token)
        start = f"GET {path} HTTP/1.1".encode()
        connection = await self._pool.acquire(self._address)
        try:
            connection.send(encode_head(start, [(b"Host", self._address.encode())]))
            head = await connection.head()
            body = await connection.read_all()
        finally:
            self._pool.release(connection)
        if head.status != 200:
            raise UpstreamError(f"status {head.status}", sent=True)
        return body
