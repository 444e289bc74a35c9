"""Detects engines that are about to leave from their health checks.

An engine that is taken away gets a notice of 1.5 s or more. The platform's list and the
engines' load reports lag by up to a second of it, while a health check fails at once.
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

# Interval between the checks of one engine: notices last 1.5 s or more, and each check
# takes a slot of the engine briefly.
CHECK_PERIOD_S = 0.2
# How long a failing check counts on its own. By then the list and the report show the
# departure: they lag by 1.0 s and 0.7 s and are read every 0.35 s or less.
CONFIRMED_AFTER_S = 1.5


class HealthSource:
    """Base of health checks of one engine."""

    async def is_healthy(self, engine: EngineInfo) -> bool:
        """Return whether an engine accepts work.

        Raises:
          UnavailableError: there is no valid response.
        """
        raise NotImplementedError


class DepartureDetector:
    """Tracks engines whose health check shows that they are about to leave.

    A single failed check counts, since a new engine may be taken away before its first
    check. Failures are ignored in services in which no engine has passed a check so
    far, as their check may mean something else. A failure expires if neither the list
    nor the engine's report confirms it, since a check may fail at an engine that works.

    Args:
      timer: the timer service.
      source: checks one engine.
      engines: returns the engines to check; none while this VM does not lead.
      on_change: called when the set of leaving engines has changed.
      may_check: returns whether an engine may be checked now.
    """

    def __init__(
        self,
        timer: TimerService,
        source: HealthSource,
        engines: Callable[[], Iterable[EngineInfo]],
        on_change: Callable[[], None],
        may_check: Callable[[EngineInfo], bool] = lambda engine: True,
    ) -> None:
        self._may_check = may_check
        self._timer = timer
        self._source = source
        self._engines = engines
        self._on_change = on_change
        self._services_passed: set[str] = set()
        self._reported: frozenset[str] = frozenset()
        # Start of the current series of failures, by incarnation.
        self._failing_since_s: dict[str, float] = {}
        self._unconfirmed: set[str] = set()
        self._unresponsive: set[str] = set()
        # Incarnations that need no first check; None while this VM does not lead.
        self._verified: set[str] | None = None
        self._first_checks: dict[str, asyncio.Task[None]] = {}

    def is_verified(self, engine: EngineInfo) -> bool:
        """Return whether an engine may get work as far as its first check goes.

        An engine may be taken away before the list shows that it has come. Until then
        it is the emptiest one, and all waiting requests would be placed there.
        """
        return (
            self._verified is None
            or engine.service not in self._services_passed
            or engine.incarnation in self._verified
        )

    def note_listed(self, engines: Iterable[EngineInfo]) -> None:
        """Start the first check of each engine that is new on the list.

        Args:
          engines: the engines that this VM checks; none while it does not lead.
        """
        listed = {engine.incarnation: engine for engine in engines}
        if not listed:
            self._verified = None
            return
        if self._verified is None:
            self._verified = set(listed)
        self._verified &= listed.keys()
        for incarnation, engine in listed.items():
            is_new = incarnation not in self._verified
            if is_new and incarnation not in self._first_checks:
                self._first_checks[incarnation] = asyncio.ensure_future(
                    self._check_first(engine)
                )

    async def _check_first(self, engine: EngineInfo) -> None:
        try:
            await self._check(engine)
        finally:
            del self._first_checks[engine.incarnation]
            if self._verified is not None:
                self._verified.add(engine.incarnation)
            self._on_change()

    def leaving(self) -> frozenset[str]:
        """Return the incarnations that count as leaving."""
        since_s = self._timer.now_s() - CONFIRMED_AFTER_S
        return frozenset(
            key for key, at_s in self._failing_since_s.items() if at_s > since_s
        )

    async def run(self) -> None:
        """Check the engines until cancelled."""
        while True:
            checks = map(self._check, filter(self._needs_check, self._engines()))
            await asyncio.gather(*checks)
            self._keep_only({engine.incarnation for engine in self._engines()})
            leaving = self.leaving()
            if leaving != self._reported:
                self._reported = leaving
                self._on_change()
            await self._timer.sleep(CHECK_PERIOD_S)

    def _keep_only(self, incarnations: set[str]) -> None:
        for unlisted in self._failing_since_s.keys() - incarnations:
            del self._failing_since_s[unlisted]
        self._unresponsive &= incarnations
        self._unconfirmed &= incarnations

    def _needs_check(self, engine: EngineInfo) -> bool:
        """Return whether a check is allowed and can add to what the list shows."""
        can_add = not engine.is_draining or engine.incarnation in self.leaving()
        return can_add and self._may_check(engine)

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
