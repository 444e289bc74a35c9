"""Reads what engines report of their memory and of their end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import attrs

from endivesill import errors, events
from endivesill.fleet.events import REPORTS_LOST, REPORTS_REGAINED
from endivesill.fleet.model import EngineInfo
from endivesill.timer import TimerService

__all__ = ["REPORT_TIMEOUT_S", "EngineReport", "EngineReports", "ReportSource"]

# Reports are half a second old as they come, so that more of them tell little.
READ_PERIOD_S = 0.35
REPORT_TIMEOUT_S = 0.5
# A report older than this says nothing any more.
REPORT_TTL_S = 2.0


@attrs.frozen
class EngineReport:
    """What an engine says of itself.

    Attributes:
      used_tokens: memory that cannot be freed.
      queued_requests: requests that wait in the engine.
      is_leaving: whether it is about to leave.
      has_notice: whether it knows when it will end.
      read_s: when it was read.
    """

    used_tokens: int
    queued_requests: int
    is_leaving: bool
    has_notice: bool
    read_s: float


class ReportSource:
    """Base of what reads the report of one engine."""

    async def read(self, engine: EngineInfo) -> EngineReport:
        """Return an engine's report within `REPORT_TIMEOUT_S`.

        Raises:
          UnavailableError: there is none.
        """
        raise NotImplementedError


class EngineReports:
    """The last report of each engine.

    Args:
      timer: the timer service.
      source: reads one report.
      engines: returns the engines to ask; none while this VM does not lead.
    """

    def __init__(
        self,
        timer: TimerService,
        source: ReportSource,
        engines: Callable[[], Iterable[EngineInfo]],
    ) -> None:
        self._timer = timer
        self._source = source
        self._engines = engines
        self._reports: dict[str, EngineReport] = {}
        self._unresponsive: set[str] = set()

    def latest(self, incarnation: str) -> EngineReport | None:
        """Return the report of one start of an engine, unless it is old."""
        report = self._reports.get(incarnation)
        if report is None or self._timer.now_s() - report.read_s > REPORT_TTL_S:
            return None
        return report

    def unresponsive(self) -> frozenset[str]:
        """Return the incarnations that did not answer the last question."""
        return frozenset(self._unresponsive)

    def leaving(self) -> frozenset[str]:
        """Return the incarnations of the engines that say that they leave."""
        return frozenset(b for b, r in self._reports.items() if r.is_leaving)

    def with_notice(self) -> frozenset[str]:
        """Return the incarnations of the engines that know when they will end."""
        return frozenset(b for b, r in self._reports.items() if r.has_notice)

    async def run(self) -> None:
        """Read reports until cancelled."""
        while True:
            engines = list(self._engines())
            await asyncio.gather(*(self._read(engine) for engine in engines))
            incarnations = {engine.incarnation for engine in engines}
            self._reports = {
                b: r for b, r in self._reports.items() if b in incarnations
            }
            self._unresponsive &= incarnations
            await self._timer.sleep(READ_PERIOD_S)

    async def _read(self, engine: EngineInfo) -> None:
        try:
            report = await self._source.read(engine)
        except errors.UnavailableError as error:
            if engine.incarnation not in self._unresponsive:
                self._unresponsive.add(engine.incarnation)
                events.emit(REPORTS_LOST, target=engine.identity, reason=str(error))
            return
        if engine.incarnation in self._unresponsive:
            self._unresponsive.discard(engine.incarnation)
            events.emit(REPORTS_REGAINED, target=engine.identity)
        self._reports[engine.incarnation] = report
