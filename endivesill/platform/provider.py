"""Reads the paginated engine list of the platform."""

from __future__ import annotations

import urllib.parse

from endivesill import errors
from endivesill.fleet.engine_list import EngineListSource, merge_pages
from endivesill.fleet.model import EngineInfo
from endivesill.platform import wire
from endivesill.platform.client import PlatformClient
from endivesill.platform.engines import decode_list_page

__all__ = ["PlatformEngineList"]

PAGE_TIMEOUT_S = 1.0
# A page with entries of other writers may be larger than other responses.
MAX_PAGE_BYTES = 8_388_608
# Far above the pages of the largest fleets; ends a list that refers to itself.
MAX_PAGES = 500
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
        super().__init__()
        self._client = client
        self._calls_per_s = calls_per_s
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
                    self._address, _page_path(token), PAGE_TIMEOUT_S, MAX_PAGE_BYTES
                )
                page = decode_list_page(body)
            except errors.DocumentError as error:
                raise errors.UnavailableError(str(error)) from None
            engines += page.engines
            skipped += page.skipped
            token = page.next_token
            if token and page_count == MAX_PAGES:
                raise errors.UnavailableError("list of engines: too many pages")
            if not token:
                engines = merge_pages(engines, skipped)
                self.note_skipped(skipped)
                self.min_period_s = page_count / (
                    CALL_RATE_FRACTION * self._calls_per_s
                )
                return engines


def _page_path(token: str) -> str:
    if not token:
        return wire.ENGINE_LIST_PATH
    return f"{wire.ENGINE_LIST_PATH}?page_token={urllib.parse.quote(token)}"
