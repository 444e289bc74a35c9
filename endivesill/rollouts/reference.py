"""What the old version does now: the yardstick for the new one."""

from __future__ import annotations

import collections
import math
from typing import Any

import attrs

from endivesill.duration_buckets import BUCKETS
from endivesill.rollouts.outcomes import OutcomeRows

__all__ = ["Reference"]

# Time constant with which earlier outcomes lose weight.
MEMORY_S = 3.0
# Weight below which they keep it, since the old version gets no requests in the shift.
MIN_ANSWERS = 30.0
# Outcomes from about the same time as some of the new version; a fault that hits both
# versions shows here first.
SAME_TIME_S = 0.5
# Failures of a moment, and their fraction, from which the old version is in trouble.
TROUBLED_FAILURES = 5.0
TROUBLED_FRACTION = 0.1
# Least answers for a median.
MEDIAN_ANSWERS = 8.0


@attrs.define
class _Counts:
    """Failures, and histograms of times by measure, of one route."""

    failed: float = 0.0
    times: dict[str, list[float]] = attrs.Factory(
        lambda: {"start": [0.0] * BUCKETS, "pace": [0.0] * BUCKETS}
    )

    @property
    def answers(self) -> float:
        """Failures and other answers."""
        return self.failed + sum(self.times["start"])

    def add(self, side: dict[str, Any]) -> None:
        """Add the outcomes of a report."""
        self.failed += side["failed"]
        for measure, histogram in self.times.items():
            for bucket, count in side[measure].items():
                histogram[int(bucket)] += count

    def scale(self, factor: float) -> None:
        """Multiply all counts."""
        self.failed *= factor
        for histogram in self.times.values():
            histogram[:] = [factor * count for count in histogram]


class Reference:
    """Outcomes of the old version by route, recent ones and those of a moment."""

    def __init__(self) -> None:
        self._recent: dict[str, _Counts] = {}
        self._reports: collections.deque[tuple[float, OutcomeRows]] = (
            collections.deque()
        )
        self._moment: dict[str, _Counts] = {}
        self._scaled_s: float | None = None

    def add(self, rows: OutcomeRows, now_s: float) -> None:
        """Add an entry's report."""
        self._reports.append((now_s, rows))
        elapsed_s = 0.0 if self._scaled_s is None else now_s - self._scaled_s
        self._scaled_s = now_s
        factor = math.exp(-elapsed_s / MEMORY_S)
        for counts in self._recent.values():
            if counts.answers * factor >= MIN_ANSWERS:
                counts.scale(factor)
        for route, row in rows.items():
            self._recent.setdefault(route, _Counts()).add(row["old"])

    def advance(self, reported_s: float, now_s: float) -> None:
        """Turn to the outcomes from about the time of a report until now."""
        while self._reports and self._reports[0][0] < reported_s - SAME_TIME_S:
            self._reports.popleft()
        self._moment = {}
        for time_s, rows in self._reports:
            if time_s <= now_s:
                for route, row in rows.items():
                    self._moment.setdefault(route, _Counts()).add(row["old"])

    def is_troubled(self) -> bool:
        """Return whether the old version fails often now.

        After a shift nothing would tell such a fault from one of the new version.
        """
        failed = sum(counts.failed for counts in self._moment.values())
        answers = sum(counts.answers for counts in self._moment.values())
        return failed >= max(TROUBLED_FAILURES, TROUBLED_FRACTION * answers)

    def failures(self, route: str) -> tuple[float, float]:
        """Return failures and answers, of the moment if more of them are failures."""
        return self._worse(route, lambda counts: (counts.failed, counts.answers))

    def above(self, route: str, measure: str, bucket: int) -> tuple[float, float]:
        """Return the answers above a bucket and all answers, like `failures`."""

        def count(counts: _Counts) -> tuple[float, float]:
            histogram = counts.times[measure]
            return sum(histogram[bucket + 1 :]), sum(histogram)

        return self._worse(route, count)

    def _worse(self, route: str, count: Any) -> tuple[float, float]:
        recent = count(self._recent.get(route, _Counts()))
        moment = count(self._moment.get(route, _Counts()))
        if moment[0] * max(1.0, recent[1]) > recent[0] * max(1.0, moment[1]):
            return moment
        return recent

    def median_bucket(self, route: str, measure: str) -> int | None:
        """Return the bucket of the median; None with too few answers."""
        counts = self._recent.get(route)
        if counts is None:
            return None
        histogram = counts.times[measure]
        total = sum(histogram)
        if total < MEDIAN_ANSWERS:
            return None
        below = 0.0
        for bucket, count in enumerate(histogram):
            below += count
            if 2 * below >= total:
                return bucket
        return None
