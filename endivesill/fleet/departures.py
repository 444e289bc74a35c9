"""Notices engines that are about to leave from their health checks.

The platform's list and the engines' reports are up to a second old, which is half
of the notice that an engine has when it is taken away. A health check tells it at
once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from endivesill import errors, events
from endivesill.fleet.events import (
    ENGINE_UNHEALTHY,
    HEALTH_DOUBTED,
    HEALTH_UNKNOWN,
)
from endivesill.fleet.model import EngineInfo
from endivesill.timer import TimerService

__all__ = ["DepartureDetector", "HealthSource"]

# Period of the checks of one engine. Notices last 1.5 s and more, and each check
# takes a slot of the engine for a moment.
CHECK_PERIOD_S = 0.2
# How long a failed check counts by itself. By then the list and the report of an
# engine that leaves show it: they are 1.0 s and 0.7 s old, and read every 0.35 s.
CONFIRMED_AFTER_S = 1.5


class HealthSource:
    """Base of what checks the health of one engine."""

    async def is_healthy(self, engine: EngineInfo) -> bool:
        """Tell whether an engine takes work, by its own word.

        Raises:
          UnavailableError: it does not say.
        """
        raise NotImplementedError


class DepartureDetector:
    """The engines that say that they take no work.

    A new engine may be taken away before its first check, so that a failed check
    counts at once. It tells nothing in a service in which no engine has ever passed
    one: there it may mean something else. Nor does it for long if neither the list
    nor the engine's report confirms it: a check may fail at an engine that serves.

    Args:
      timer: the timer service.
      source: checks one engine.
      engines: returns the engines to check; none while this VM does not lead.
      changed: called when the engines that leave have changed.
    """

    def __init__(
        self,
        timer: TimerService,
        source: HealthSource,
        engines: Callable[[], Iterable[EngineInfo]],
        changed: Callable[[], None],
    ) -> None:
        self._timer = timer
        self._source = source
        self._engines = engines
        self._changed = changed
        self._services_passed: set[str] = set()
        self._reported: frozenset[str] = frozenset()
        # When the check of an engine began to fail.
        self._failing_since_s: dict[str, float] = {}
        self._unconfirmed: set[str] = set()
        self._unresponsive: set[str] = set()

    def leaving(self) -> frozenset[str]:
        """Return the incarnations that no longer take work."""
        since_s = self._timer.now_s() - CONFIRMED_AFTER_S
        return frozenset(
            b for b, at_s in self._failing_since_s.items() if at_s > since_s
        )

    async def run(self) -> None:
        """Check the engines until cancelled."""
        while True:
            checks = map(self._check, filter(self._needs_check, self._engines()))
            await asyncio.gather(*checks)
            self._forget_all_but({engine.incarnation for engine in self._engines()})
            leaving = self.leaving()
            if leaving != self._reported:
                self._reported = leaving
                self._changed()
            await self._timer.sleep(CHECK_PERIOD_S)

    def _forget_all_but(self, incarnations: set[str]) -> None:
        for gone in self._failing_since_s.keys() - incarnations:
            del self._failing_since_s[gone]
        self._unresponsive &= incarnations
        self._unconfirmed &= incarnations

    def _needs_check(self, engine: EngineInfo) -> bool:
        """Tell whether a check can tell more than the list does."""
        return not engine.is_draining or engine.incarnation in self.leaving()

    async def _check(self, engine: EngineInfo) -> None:
        try:
            is_healthy = await self._source.is_healthy(engine)
        except errors.UnavailableError as error:
            if engine.incarnation not in self._unresponsive:
                self._unresponsive.add(engine.incarnation)
                events.emit(HEALTH_UNKNOWN, target=engine.identity, reason=str(error))
            return
        self._unresponsive.discard(engine.incarnation)
        if is_healthy:
            self._services_passed.add(engine.service)
            self._failing_since_s.pop(engine.incarnation, None)
            self._unconfirmed.discard(engine.incarnation)
        elif engine.service in self._services_passed:
            self._record_failure(engine)

    def _record_failure(self, engine: EngineInfo) -> None:
        incarnation = engine.incarnation
        if incarnation not in self._failing_since_s:
            self._failing_since_s[incarnation] = self._timer.now_s()
            events.emit(ENGINE_UNHEALTHY, target=engine.identity)
        elif incarnation not in self.leaving() | self._unconfirmed:
            self._unconfirmed.add(incarnation)
            events.emit(HEALTH_DOUBTED, target=engine.identity)
