"""Pauses between the events of streams, by engine, for the leader's placement.

Engines of a service have the same spells in which everything takes a multiple of its
usual time, but a usual time of their own. What a spell does is learnt from all engines
together, and the usual time from a few events of each.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from endivesill.duration_buckets import BUCKET_RATIO, BUCKETS, bucket_of
from endivesill.timer import TimerService

__all__ = ["EnginePauses", "PauseCounts", "PauseRates"]

# By incarnation: how many pauses, by `bucket_of` of their length.
Rows = dict[str, dict[str, int]]

# Time constant with which pauses lose weight. Engines keep their speed for longer, but
# an engine that is avoided must be tried again at some time.
MEMORY_S = 60.0
# Pauses of one engine from which its usual pause is taken; two streams bring as many in
# half a second.
MIN_PAUSES = 24.0
# Buckets between the usual pauses of two engines of which one is twice as fast.
SLOW_BUCKETS = round(math.log(2.0) / math.log(BUCKET_RATIO))
# Pauses of all engines of a service from which the effect of spells is taken.
MIN_POOLED_PAUSES = 200.0


class PauseCounts:
    """One entry's pauses since its last report."""

    def __init__(self) -> None:
        self._rows: Rows = {}

    def note(self, incarnation: str, pause_s: float) -> None:
        """Count the pause before an event."""
        row = self._rows.setdefault(incarnation, {})
        # JSON has strings as keys.
        bucket = str(bucket_of(pause_s))
        row[bucket] = row.get(bucket, 0) + 1

    def take(self) -> Rows:
        """Return the rows for a report and start anew."""
        rows, self._rows = self._rows, {}
        return rows

    def restore(self, rows: Rows) -> None:
        """Add back the rows of a report that did not arrive."""
        for incarnation, counts in rows.items():
            row = self._rows.setdefault(incarnation, {})
            for bucket, count in counts.items():
                row[bucket] = row.get(bucket, 0) + count


@attrs.frozen
class EnginePauses:
    """What is expected of the pauses at one engine.

    Attributes:
      usual_bucket: bucket of its usual pause.
      peer_bucket: that of the median engine of its service.
      fastest_bucket: that of the fastest one.
      tail: for each number of buckets, the fraction of all pauses that are longer than
        the usual one by more.
    """

    usual_bucket: int
    peer_bucket: int
    fastest_bucket: int
    tail: tuple[float, ...]

    @property
    def is_slow(self) -> bool:
        """Whether its pauses are twice those of the fastest engine of its service."""
        return self.usual_bucket - self.fastest_bucket >= SLOW_BUCKETS

    def late_fraction(self, limit_s: float) -> float:
        """Return the fraction of pauses above a limit.

        Pauses in the bucket of the limit count as above it.
        """
        distance = bucket_of(limit_s) - 1 - self.usual_bucket
        if distance < 0:
            return 1.0
        return self.tail[distance] if distance < len(self.tail) else 0.0


@attrs.define
class _Histogram:
    """Decaying histogram of one engine's pauses."""

    updated_s: float
    counts: list[float] = attrs.Factory(lambda: [0.0] * BUCKETS)

    def decay(self, now_s: float) -> None:
        """Reduce the weight of what was added before."""
        factor = math.exp(-(now_s - self.updated_s) / MEMORY_S)
        self.counts = [factor * count for count in self.counts]
        self.updated_s = now_s

    def median(self) -> int | None:
        """Return the bucket of the median; None with too few pauses."""
        total = sum(self.counts)
        if total < MIN_PAUSES:
            return None
        below = 0.0
        for bucket, count in enumerate(self.counts):
            below += count
            if 2 * below >= total:
                return bucket
        return None


class PauseRates:
    """Pauses of all engines, kept by the leader.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._histograms: dict[str, _Histogram] = {}

    def add(self, rows: Rows) -> None:
        """Add an entry's report."""
        now_s = self._timer.now_s()
        for incarnation, counts in rows.items():
            histogram = self._histograms.setdefault(incarnation, _Histogram(now_s))
            for bucket, count in counts.items():
                histogram.counts[int(bucket)] += count

    def retain(self, incarnations: Iterable[str]) -> None:
        """Drop the engines that are no longer listed."""
        for incarnation in self._histograms.keys() - set(incarnations):
            del self._histograms[incarnation]

    def expect(self, incarnations: Iterable[str]) -> dict[str, EnginePauses]:
        """Return what is expected of the engines of a service.

        Args:
          incarnations: the engines of the service.

        Returns:
          An engine with too few pauses is taken for the median one, so that it is
          neither preferred nor avoided. Empty while the service has too few.
        """
        incarnations = list(incarnations)
        now_s = self._timer.now_s()
        usual: dict[str, int] = {}
        excess = [0.0] * BUCKETS
        for incarnation in incarnations:
            histogram = self._histograms.get(incarnation)
            if histogram is None:
                continue
            histogram.decay(now_s)
            median = histogram.median()
            if median is None:
                continue
            usual[incarnation] = median
            for bucket, count in enumerate(histogram.counts):
                excess[max(0, bucket - median)] += count
        total = sum(excess)
        if total < MIN_POOLED_PAUSES:
            return {}
        tail = tuple(sum(excess[n + 1 :]) / total for n in range(BUCKETS))
        peer_bucket = sorted(usual.values())[len(usual) // 2]
        fastest_bucket = min(usual.values())
        return {
            incarnation: EnginePauses(
                usual.get(incarnation, peer_bucket), peer_bucket, fastest_bucket, tail
            )
            for incarnation in incarnations
        }
