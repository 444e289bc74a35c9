"""A histogram with fixed buckets, in the Prometheus text format.

hdrhistogram is not installed on the platform's machines. Fixed buckets can also be
summed over processes.
"""

from __future__ import annotations

import bisect

__all__ = ["Histogram"]


class Histogram:
    """Counts of durations by bucket.

    Args:
      bounds_s: the upper bounds of the buckets, ascending; an additional bucket
        counts longer durations.
    """

    def __init__(self, bounds_s: tuple[float, ...]) -> None:
        self._bounds_s = bounds_s
        self._counts = [0] * (len(bounds_s) + 1)
        self._sum_s = 0.0

    def record_s(self, duration_s: float) -> None:
        """Record one duration."""
        self._counts[bisect.bisect_left(self._bounds_s, duration_s)] += 1
        self._sum_s += duration_s

    def lines(self, name: str, labels: str = "") -> list[str]:
        """Return the metric as Prometheus text lines, with cumulative buckets.

        Args:
          name: the name of the metric.
          labels: `name="value"` pairs, joined by commas.
        """
        lines = []
        total = 0
        label_prefix = f"{labels}," if labels else ""
        for bound, count in zip((*self._bounds_s, "+Inf"), self._counts, strict=True):
            total += count
            lines.append(f'{name}_bucket{{{label_prefix}le="{bound}"}} {total}')
        label_set = f"{{{labels}}}" if labels else ""
        lines.append(f"{name}_count{label_set} {total}")
        lines.append(f"{name}_sum{label_set} {self._sum_s:.4f}")
        return lines
