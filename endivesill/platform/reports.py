"""Reads the reports of engines."""

from __future__ import annotations

import json

from endivesill import errors
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.reports import EngineReport, ReportSource
from endivesill.http1 import ConnectionPool, UpstreamError, encode_head
from endivesill.platform import wire
from endivesill.platform.decode import Reader
from endivesill.timer import TimerService

__all__ = ["PlatformReports", "decode_report"]

CONNECT_TIMEOUT_S = 0.3
LONGEST_IDLE_S = 2.0


def decode_report(body: bytes, read_s: float) -> EngineReport:
    """Return the report of a body.

    Raises:
      DocumentError: it cannot be read.
    """
    try:
        reader = Reader(json.loads(body), "report")
    except ValueError as error:
        raise errors.DocumentError(f"report: {error}") from None
    return EngineReport(
        used_tokens=reader.integer("kv_used"),
        queued_requests=reader.integer("queued_requests"),
        is_leaving=reader.text("state", "") == "draining",
        read_s=read_s,
    )


class PlatformReports(ReportSource):
    """Asks engines by HTTP.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, LONGEST_IDLE_S)

    async def read(self, engine: EngineInfo) -> EngineReport:
        """Read one report; see the base class."""
        start = f"GET {wire.REPORT_PATH} HTTP/1.1".encode()
        try:
            connection = await self._pool.acquire(engine.address)
            try:
                host = (b"Host", engine.address.encode())
                connection.send(encode_head(start, [host]))
                head = await connection.head()
                body = await connection.read_all()
            finally:
                self._pool.release(connection)
            if head.status != 200:
                raise UpstreamError(f"status {head.status}", sent=True)
            return decode_report(body, self._timer.now_s())
        except (UpstreamError, errors.DocumentError) as error:
            raise errors.UnavailableError(str(error)) from None
