"""Notices engines that are about to leave from their health checks.

The platform's list and the engines' reports are up to a second old, which is half
of the notice that an engine has when it is taken away. A health check tells it at
once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from endivesill import errors, events
from endivesill.fleet.events import ENGINE_UNHEALTHY, HEALTH_UNKNOWN
from endivesill.fleet.model import EngineInfo
from endivesill.timer import TimerService

__all__ = ["DepartureWatch", "HealthSource"]

# Period of the checks of one engine. Notices last 1.5 s and more, and a check is
# priced as a probe.
CHECK_PERIOD_S = 0.2


class HealthSource:
    """Base of what checks the health of one engine."""

    async def is_healthy(self, engine: EngineInfo) -> bool:
        """Tell whether an engine takes work, by its own word.

        Raises:
          UnavailableError: it does not say.
        """
        raise NotImplementedError


class DepartureWatch:
    """The engines that say that they take no work.

    A new engine may be taken away before its first check, so that a failed check
    counts at once. It tells nothing in a service in which no engine has ever passed
    one: there it may mean something else.

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
        self._proven: set[str] = set()
        self._leaving: set[str] = set()
        self._silent: set[str] = set()

    def leaving(self) -> frozenset[str]:
        """Return the incarnations that no longer take work."""
        return frozenset(self._leaving)

    async def run(self) -> None:
        """Check the engines until cancelled."""
        while True:
            before = self.leaving()
            checks = map(self._check, filter(self._is_in_doubt, self._engines()))
            await asyncio.gather(*checks)
            incarnations = {engine.incarnation for engine in self._engines()}
            self._leaving &= incarnations
            self._silent &= incarnations
            if self.leaving() != before:
                self._changed()
            await self._timer.sleep(CHECK_PERIOD_S)

    def _is_in_doubt(self, engine: EngineInfo) -> bool:
        return not engine.is_draining or engine.incarnation in self._leaving

    async def _check(self, engine: EngineInfo) -> None:
        try:
            is_healthy = await self._source.is_healthy(engine)
        except errors.UnavailableError as error:
            if engine.incarnation not in self._silent:
                self._silent.add(engine.incarnation)
                events.emit(HEALTH_UNKNOWN, target=engine.identity, reason=str(error))
            return
        self._silent.discard(engine.incarnation)
        if is_healthy:
            self._proven.add(engine.service)
            self._leaving.discard(engine.incarnation)
        elif engine.service in self._proven and engine.incarnation not in self._leaving:
            self._leaving.add(engine.incarnation)
            events.emit(ENGINE_UNHEALTHY, target=engine.identity)
