"""Reads the platform's list of engines, page by page."""

from __future__ import annotations

import urllib.parse

from endivesill import errors, events
from endivesill.fleet.engine_list import EngineListSource
from endivesill.fleet.events import LIST_ENTRY_SKIPPED
from endivesill.fleet.model import EngineInfo
from endivesill.platform import wire
from endivesill.platform.client import PlatformClient
from endivesill.platform.engines import decode_list_page

__all__ = ["PlatformList"]

PAGE_TIMEOUT_S = 1.0
# Share of the allowed calls that one reader uses; for a moment there may be two,
# while a leader has not noticed yet that it was replaced.
RATE_SHARE = 0.4


class PlatformList(EngineListSource):
    """The list at the platform's address.

    Args:
      client: calls the platform.
      address: HOST:PORT of the list.
      calls_per_s: calls that the platform accepts from all VMs together.
    """

    def __init__(
        self, client: PlatformClient, address: str, calls_per_s: float
    ) -> None:
        self._client = client
        self._calls_per_s = calls_per_s
        self._skipped: set[str] = set()
        self._address = address

    async def read(self) -> list[EngineInfo]:
        """Read all pages; see the base class."""
        engines: list[EngineInfo] = []
        skipped: list[str] = []
        token = ""
        calls = 0
        while True:
            calls += 1
            try:
                body = await self._client.get(
                    self._address, _page_path(token), PAGE_TIMEOUT_S
                )
                page = decode_list_page(body)
            except errors.DocumentError as error:
                raise errors.UnavailableError(f"list of engines: {error}") from None
            engines += page.engines
            skipped += page.skipped
            token = page.next_token
            if not token:
                self._note_skipped(skipped)
                self.min_period_s = calls / (RATE_SHARE * self._calls_per_s)
                return engines

    def _note_skipped(self, reasons: list[str]) -> None:
        """Log entries that could not be read, once for each reason."""
        for reason in set(reasons) - self._skipped:
            events.emit(LIST_ENTRY_SKIPPED, reason=reason)
        self._skipped = set(reasons)


def _page_path(token: str) -> str:
    if not token:
        return wire.LIST_PATH
    return f"{wire.LIST_PATH}?page_token={urllib.parse.quote(token)}"
