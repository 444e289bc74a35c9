"""Polls engines for load reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import attrs

from endivesill import errors, events
from endivesill.fleet.events import REPORTS_LOST, REPORTS_REGAINED
from endivesill.fleet.model import EngineInfo
from endivesill.timer import TimerService

__all__ = ["REPORT_TIMEOUT_S", "EngineReport", "EngineReports", "ReportSource"]

# Reports are up to 0.5 s old on arrival, so reading them more often gains little.
READ_PERIOD_S = 0.35
REPORT_TIMEOUT_S = 0.5
# An older report is ignored.
REPORT_TTL_S = 2.0


@attrs.frozen
class EngineReport:
    """Load report of an engine.

    Attributes:
      used_tokens: KV cache in use that cannot be freed.
      queued_requests: requests queued in the engine.
      is_leaving: whether it is about to leave.
      has_notice: whether its shutdown time is set.
      read_s: when the report was read.
    """

    used_tokens: int
    queued_requests: int
    is_leaving: bool
    has_notice: bool
    read_s: float


class ReportSource:
    """Base of readers of one engine's report."""

    async def read(self, engine: EngineInfo) -> EngineReport:
        """Return an engine's report within `REPORT_TIMEOUT_S`.

        Raises:
          UnavailableError: the engine sent no valid report.
        """
        raise NotImplementedError


class EngineReports:
    """The newest report of each engine.

    Args:
      timer: the timer service.
      source: reads one report.
      engines: returns the engines to poll; none while this VM does not lead.
      may_poll: returns whether an engine may be polled now.
    """

    def __init__(
        self,
        timer: TimerService,
        source: ReportSource,
        engines: Callable[[], Iterable[EngineInfo]],
        may_poll: Callable[[EngineInfo], bool] = lambda engine: True,
    ) -> None:
        self._timer = timer
        self._source = source
        self._engines = engines
        self._may_poll = may_poll
        self._reports: dict[str, EngineReport] = {}
        self._unresponsive: set[str] = set()

    def latest(self, incarnation: str) -> EngineReport | None:
        """Return the report of an incarnation; None if there is no recent one."""
        report = self._reports.get(incarnation)
        if report is None or self._timer.now_s() - report.read_s > REPORT_TTL_S:
            return None
        return report

    def unresponsive(self) -> frozenset[str]:
        """Return the incarnations that did not answer the last poll."""
        return frozenset(self._unresponsive)

    def leaving(self) -> frozenset[str]:
        """Return the incarnations that report that they are about to leave."""
        return frozenset(key for key, r in self._reports.items() if r.is_leaving)

    def with_notice(self) -> frozenset[str]:
        """Return the incarnations that report their shutdown time."""
        return frozenset(key for key, r in self._reports.items() if r.has_notice)

    async def run(self) -> None:
        """Poll the engines until cancelled."""
        while True:
            engines = list(self._engines())
            await asyncio.gather(*map(self._read, filter(self._may_poll, engines)))
            incarnations = {engine.incarnation for engine in engines}
            self._reports = {
                key: r for key, r in self._reports.items() if key in incarnations
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
