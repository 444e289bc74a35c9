"""Request rates to which engines limit all entries together, and brittle engines.

A brittle engine falls over when it has to reject too many requests, so that no more may
be under way to it than it can run at once.

Entries learn of a limit from the engine's own responses, at different times. Each
observation has its time, and the newest one of an engine holds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from endivesill import events
from endivesill.fleet.events import (
    ENGINE_BRITTLE,
    ENGINE_LIMITED,
    ENGINE_NOT_BRITTLE,
    ENGINE_UNLIMITED,
)
from endivesill.timer import TimerService

__all__ = ["EngineLimits", "LimitRow"]

# `[requests per second or None, age in seconds]` of an observation.
LimitRow = list[float | None]

# Range of the limits. With a lower one, requests would be too rare to notice its end;
# a higher one bounds nothing.
MIN_LIMIT_PER_S = 0.25
MAX_LIMIT_PER_S = 100_000.0
# A limit is raised or ended only if no response has named it for this long. Responses
# on different connections overtake each other, and each change goes to all entries.
HOLD_S = 0.5
# Ending of the keys under which it is kept that an engine is brittle. VMs of earlier
# versions take it for an engine that they do not know.
BRITTLE_KEY = "/brittle"


@attrs.frozen
class _Observation:
    """What an engine has said about its limit.

    Attributes:
      per_s: the limit in requests per second; None for no limit.
      seen_s: when it last said so, by this VM's clock.
    """

    per_s: float | None
    seen_s: float


class EngineLimits:
    """The newest limit of each engine, by incarnation.

    Args:
      timer: the timer service.

    Attributes:
      number: counts the changes that another VM may lack.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._observations: dict[str, _Observation] = {}
        # Engines that have named a limit that cannot be read; logged once each.
        self._unreadable: set[str] = set()
        self.number = 0

    def note_response(
        self, incarnation: str, per_s: float | None, *, may_end: bool
    ) -> bool:
        """Record the limit that a response of an engine names.

        A lower limit holds at once, a higher one or none after `HOLD_S`.

        Args:
          incarnation: the engine.
          per_s: requests per second; None if the response names no limit, NaN if it
            names one that cannot be read, which leaves the last one in force.
          may_end: whether a response without a limit ends the last one.

        Returns:
          Whether the limit has changed.
        """
        known = self._observations.get(incarnation)
        known_per_s = known.per_s if known is not None else None
        if per_s is None and (known_per_s is None or not may_end):
            return False
        now_s = self._timer.now_s()
        if per_s is not None and math.isnan(per_s):
            self._note_unreadable(incarnation)
            if known_per_s is None:
                return False
            per_s = known_per_s
        if per_s is not None:
            per_s = min(max(per_s, MIN_LIMIT_PER_S), MAX_LIMIT_PER_S)
        is_held = known is not None and now_s - known.seen_s < HOLD_S
        if is_held and _is_higher(per_s, known_per_s):
            return False
        return self._observe(incarnation, per_s, now_s)

    def note_brittle(
        self, incarnation: str, per_s: float | None, *, may_end: bool
    ) -> bool:
        """Record whether a response of an engine says that it is brittle.

        Args:
          incarnation: the engine.
          per_s: rejections a second that it bears; None if it is not brittle.
          may_end: whether a response that does not say so ends it.

        Returns:
          Whether this has changed.
        """
        return self.note_response(incarnation + BRITTLE_KEY, per_s, may_end=may_end)

    def is_brittle(self, incarnation: str) -> bool:
        """Return whether an engine falls over when it rejects too many requests."""
        return self.limit_per_s(incarnation + BRITTLE_KEY) is not None

    def _note_unreadable(self, incarnation: str) -> None:
        if incarnation not in self._unreadable:
            self._unreadable.add(incarnation)
            events.emit(ENGINE_LIMITED, target=incarnation, limit_per_s="unreadable")

    def _observe(self, incarnation: str, per_s: float | None, seen_s: float) -> bool:
        known = self._observations.get(incarnation)
        is_news = per_s != (known.per_s if known else None)
        self._observations[incarnation] = _Observation(per_s, seen_s)
        if is_news:
            self.number += 1
            _log_news(incarnation, per_s)
        return is_news

    def limit_per_s(self, incarnation: str) -> float | None:
        """Return the limit of an engine in requests per second; None without one."""
        known = self._observations.get(incarnation)
        return known.per_s if known else None

    def limited(self) -> list[str]:
        """Return the incarnations that have a limit or are brittle."""
        keys = [key for key, o in self._observations.items() if o.per_s is not None]
        return list({key.removesuffix(BRITTLE_KEY) for key in keys})

    def forget(self, incarnations: Iterable[str]) -> None:
        """Drop what is known of some engines."""
        for incarnation in incarnations:
            self._observations.pop(incarnation, None)
            self._observations.pop(incarnation + BRITTLE_KEY, None)
            self._unreadable.discard(incarnation)

    def known(self) -> set[str]:
        """Return the incarnations that have or had a limit, or are or were brittle."""
        keys = {key.removesuffix(BRITTLE_KEY) for key in self._observations}
        return keys | self._unreadable

    def rows(self) -> dict[str, LimitRow]:
        """Return the observations as JSON, by incarnation."""
        now_s = self._timer.now_s()
        return {
            incarnation: [o.per_s, round(now_s - o.seen_s, 4)]
            for incarnation, o in self._observations.items()
        }

    def merge(self, rows: dict[str, LimitRow]) -> bool:
        """Merge the observations of another VM; return whether it lacks one.

        Args:
          rows: rows of that VM. Where it has another limit and an older observation,
            this VM's is news for it.
        """
        now_s = self._timer.now_s()
        is_behind = False
        for incarnation, (per_s, age_s) in rows.items():
            seen_s = now_s - max(0.0, age_s or 0.0)
            known = self._observations.get(incarnation)
            if known is None or seen_s > known.seen_s:
                self._observe(incarnation, per_s, seen_s)
            elif per_s != known.per_s:
                is_behind = True
        if is_behind:
            self.number += 1
        return is_behind


def _log_news(key: str, per_s: float | None) -> None:
    incarnation = key.removesuffix(BRITTLE_KEY)
    if incarnation != key:
        kind = ENGINE_NOT_BRITTLE if per_s is None else ENGINE_BRITTLE
        events.emit(kind, target=incarnation, rejections_per_s=per_s)
    elif per_s is None:
        events.emit(ENGINE_UNLIMITED, target=incarnation)
    else:
        events.emit(ENGINE_LIMITED, target=incarnation, limit_per_s=per_s)


def _is_higher(per_s: float | None, than_per_s: float | None) -> bool:
    """Return whether a limit is higher than another; None is no limit."""
    if than_per_s is None:
        return False
    return per_s is None or per_s > than_per_s
