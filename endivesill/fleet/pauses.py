"""Pauses between the events of streams, by engine, for the leader's placement."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable

import attrs

from endivesill.timer import TimerService

__all__ = ["PauseCounts", "PauseRates"]

# By incarnation: pauses, and those that were longer than their routes allow.
Rows = dict[str, list[int]]

# Time constant with which pauses lose weight. Engines keep their speed for longer, but
# an engine that is avoided must be tried again at some time.
MEMORY_S = 60.0
# Weight of the service's median in the fraction of an engine, in pauses.
PRIOR_PAUSES = 100.0
# An engine is uneven if its fraction of late pauses is this many times the median, and
# above a floor that is one in five of the longest generations.
UNEVEN_RATIO = 2.0
UNEVEN_FLOOR = 0.002


class PauseCounts:
    """One entry's pauses since its last report."""

    def __init__(self) -> None:
        self._rows: Rows = {}

    def note(self, incarnation: str, *, is_late: bool) -> None:
        """Count the pause before an event."""
        row = self._rows.setdefault(incarnation, [0, 0])
        row[0] += 1
        row[1] += is_late

    def take(self) -> Rows:
        """Return the rows for a report and start anew."""
        rows, self._rows = self._rows, {}
        return rows

    def restore(self, rows: Rows) -> None:
        """Add back the rows of a report that did not arrive."""
        for incarnation, (pauses, late) in rows.items():
            row = self._rows.setdefault(incarnation, [0, 0])
            row[0] += pauses
            row[1] += late


@attrs.define
class _Sums:
    """Decaying sums of one engine."""

    pauses: float
    late: float
    updated_s: float

    def decay(self, now_s: float) -> None:
        """Reduce the weight of what was added before."""
        factor = math.exp(-(now_s - self.updated_s) / MEMORY_S)
        self.pauses *= factor
        self.late *= factor
        self.updated_s = now_s


class PauseRates:
    """Fractions of late pauses of all engines, kept by the leader.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._sums: dict[str, _Sums] = {}

    def add(self, rows: Rows) -> None:
        """Add an entry's report."""
        now_s = self._timer.now_s()
        for incarnation, (pauses, late) in rows.items():
            sums = self._sums.setdefault(incarnation, _Sums(0.0, 0.0, now_s))
            sums.decay(now_s)
            sums.pauses += pauses
            sums.late += late

    def retain(self, incarnations: Iterable[str]) -> None:
        """Drop the engines that are no longer listed."""
        listed = set(incarnations)
        for incarnation in self._sums.keys() - listed:
            del self._sums[incarnation]

    def uneven_fractions(self, incarnations: list[str]) -> dict[str, float]:
        """Return by how much uneven engines of a service exceed its median.

        Args:
          incarnations: the engines of the service.

        Returns:
          The fraction of late pauses above the median, by incarnation; engines that are
          like the others are left out.
        """
        known = [self._sums[key] for key in incarnations if key in self._sums]
        if not known:
            return {}
        now_s = self._timer.now_s()
        for sums in known:
            sums.decay(now_s)
        median = statistics.median(
            s.late / s.pauses if s.pauses >= 1.0 else 0.0 for s in known
        )
        bound = max(UNEVEN_FLOOR, UNEVEN_RATIO * median)
        fractions = {}
        for key in incarnations:
            found = self._sums.get(key)
            if found is None:
                continue
            late = found.late + PRIOR_PAUSES * median
            fraction = late / (found.pauses + PRIOR_PAUSES)
            if fraction > bound:
                fractions[key] = fraction - median
        return fractions
