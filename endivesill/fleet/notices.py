"""What engines announce in their responses about further requests."""

from __future__ import annotations

import math
from collections.abc import Iterable

from endivesill import events
from endivesill.fleet.engine_limits import EngineLimits
from endivesill.fleet.events import ENGINE_LEAVING, ENGINE_PAUSED
from endivesill.fleet.model import EngineInfo
from endivesill.timer import TimerService

__all__ = ["EngineNotices"]

# Longest pause that an engine may ask for.
MAX_PAUSE_S = 300.0
# Pause after a Retry-After that is no number of seconds.
DEFAULT_PAUSE_S = 1.0
# How long the notices of an engine are kept after the list has lost it, since single
# reads of the list may lack an engine.
UNLISTED_TTL_S = 120.0


class EngineNotices:
    """Notices of engines to this process: they leave, or want no requests for a time.

    The platform's list and the engines' reports lag behind the engines' own responses.
    A notice of departure holds for the life of the incarnation, whatever the list says.

    Args:
      timer: the timer service.

    Attributes:
      limits: the request rates to which engines limit all entries together.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._leaving: set[str] = set()
        self._paused_until_s: dict[str, float] = {}
        self._unlisted_since_s: dict[str, float] = {}
        self.limits = EngineLimits(timer)

    def note_leaving(self, engine: EngineInfo, source: str) -> bool:
        """Record that an engine leaves; return whether this is news.

        Args:
          engine: the engine.
          source: where its notice was seen, for the log.
        """
        if engine.incarnation in self._leaving:
            return False
        self._leaving.add(engine.incarnation)
        events.emit(ENGINE_LEAVING, target=engine.identity, source=source)
        return True

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an incarnation has said that it leaves."""
        return incarnation in self._leaving

    def leaving(self) -> frozenset[str]:
        """Return the incarnations that have said that they leave."""
        return frozenset(self._leaving)

    def note_pause(self, engine: EngineInfo, pause_s: float) -> None:
        """Record that an engine wants no requests from this process for a time.

        A pause is never shortened by a later one.

        Args:
          engine: the engine.
          pause_s: the time that it asks for; bounded by `MAX_PAUSE_S`, and NaN for
            `DEFAULT_PAUSE_S`.
        """
        bounded_s = DEFAULT_PAUSE_S if math.isnan(pause_s) else pause_s
        bounded_s = min(max(0.0, bounded_s), MAX_PAUSE_S)
        until_s = max(self._timer.now_s() + bounded_s, self.pause_end_s(engine))
        self._paused_until_s[engine.incarnation] = until_s
        events.emit(
            ENGINE_PAUSED,
            target=engine.identity,
            pause_s=round(bounded_s, 3),
            is_bounded=bounded_s != pause_s,
        )

    def pause_end_s(self, engine: EngineInfo) -> float:
        """Return when the last pause of an engine ends; minus infinity without one."""
        return self._paused_until_s.get(engine.incarnation, float("-inf"))

    def is_paused(self, engine: EngineInfo) -> bool:
        """Return whether an engine wants no requests now."""
        return self._timer.now_s() < self.pause_end_s(engine)

    def retain(self, listed: Iterable[str]) -> None:
        """Drop the notices of incarnations that have not been listed for long."""
        now_s = self._timer.now_s()
        known = set(listed)
        noted = self._leaving | self._paused_until_s.keys() | self.limits.known()
        for incarnation in noted:
            if incarnation in known:
                self._unlisted_since_s.pop(incarnation, None)
            elif now_s - self._unlisted_since_s.setdefault(incarnation, now_s) > (
                UNLISTED_TTL_S
            ):
                self._leaving.discard(incarnation)
                self._paused_until_s.pop(incarnation, None)
                self.limits.forget([incarnation])
                del self._unlisted_since_s[incarnation]
