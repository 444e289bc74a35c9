"""Reads the paginated engine list of the platform."""

from __future__ import annotations

import urllib.parse

from endivesill import errors, events
from endivesill.fleet.engine_list import EngineListSource
from endivesill.fleet.events import LIST_ENTRY_SKIPPED
from endivesill.fleet.model import EngineInfo
from endivesill.platform import wire
from endivesill.platform.client import PlatformClient
from endivesill.platform.engines import decode_list_page

__all__ = ["PlatformEngineList"]

PAGE_TIMEOUT_S = 1.0
# Fraction of the permitted call rate that one reader uses. Two VMs may read for a
# moment, until a replaced leader notices that it no longer leads.
CALL_RATE_FRACTION = 0.4


class PlatformEngineList(EngineListSource):
    """The engine list at the platform's address.

    Args:
      client: sends the calls.
      address: HOST:PORT that serves the engine list.
      calls_per_s: call rate that the platform permits to all VMs together.
    """

    def __init__(
        self, client: PlatformClient, address: str, calls_per_s: float
    ) -> None:
        self._client = client
        self._calls_per_s = calls_per_s
        self._logged_reasons: set[str] = set()
        self._address = address

    async def read(self) -> list[EngineInfo]:
        """Read all pages and adapt the read period to their number."""
        engines: list[EngineInfo] = []
        skipped: list[str] = []
        token = ""
        page_count = 0
        while True:
            page_count += 1
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
                self._log_skipped(skipped)
                self.min_period_s = page_count / (
                    CALL_RATE_FRACTION * self._calls_per_s
                )
                return engines

    def _log_skipped(self, reasons: list[str]) -> None:
        """Log skipped entries; a reason of the previous read is not repeated."""
        for reason in set(reasons) - self._logged_reasons:
            events.emit(LIST_ENTRY_SKIPPED, reason=reason)
        self._logged_reasons = set(reasons)


def _page_path(token: str) -> str:
    if not token:
        return wire.ENGINE_LIST_PATH
    return f"{wire.ENGINE_LIST_PATH}?page_token={urllib.parse.quote(token)}"
