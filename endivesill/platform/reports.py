"""Reads the load reports of engines over HTTP."""

from __future__ import annotations

from collections.abc import Callable

from endivesill import errors
from endivesill.document_reader import Reader
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.reports import REPORT_TIMEOUT_S, EngineReport, ReportSource
from endivesill.http1 import ResponseHead
from endivesill.json_text import parse_document
from endivesill.platform import wire
from endivesill.platform.client import MAX_REPORT_BYTES, PlatformClient
from endivesill.timer import TimerService

__all__ = ["PlatformReports", "decode_report"]


def decode_report(body: bytes, read_s: float) -> EngineReport:
    """Return the report in a response body that was read at `read_s`.

    Raises:
      DocumentError: the body is not a valid report.
    """
    try:
        reader = Reader(parse_document(body), "report")
    except ValueError as error:
        raise errors.DocumentError(f"report: {error}") from None
    return EngineReport(
        used_tokens=reader.integer("kv_used", minimum=0),
        queued_requests=reader.integer("queued_requests", minimum=0),
        is_leaving=reader.text("state", "") == "draining",
        has_notice=reader.has("leaves_ms"),
        read_s=read_s,
    )


class PlatformReports(ReportSource):
    """Load reports by HTTP GET.

    Args:
      timer: the timer service.
      client: sends the calls.
      on_response: called with the engine and the head of each response.
    """

    def __init__(
        self,
        timer: TimerService,
        client: PlatformClient,
        on_response: Callable[[EngineInfo, ResponseHead], None],
    ) -> None:
        self._timer = timer
        self._client = client
        self._on_response = on_response

    async def read(self, engine: EngineInfo) -> EngineReport:
        """Read the report of one engine; an invalid one counts as unavailable."""
        head, body = await self._client.get_response(
            engine.address, wire.REPORT_PATH, REPORT_TIMEOUT_S, MAX_REPORT_BYTES
        )
        self._on_response(engine, head)
        if head.status != 200:
            raise errors.UnavailableError(f"{engine.address}: status {head.status}")
        try:
            return decode_report(body, self._timer.now_s())
        except errors.DocumentError as error:
            raise errors.UnavailableError(str(error)) from None
