"""A histogram of fixed buckets, as Prometheus text.

hdrhistogram is not installed on the platform's machines; fixed buckets also add up
over processes.
"""

from __future__ import annotations

import bisect

__all__ = ["Histogram"]


class Histogram:
    """Durations by bucket.

    Args:
      bounds_s: the upper bounds of the buckets, ascending; one more bucket takes
        what is longer.
    """

    def __init__(self, bounds_s: tuple[float, ...]) -> None:
        self._bounds_s = bounds_s
        self._counts = [0] * (len(bounds_s) + 1)
        self._sum_s = 0.0

    def record_s(self, duration_s: float) -> None:
        """Count one duration."""
        self._counts[bisect.bisect_left(self._bounds_s, duration_s)] += 1
        self._sum_s += duration_s

    def lines(self, name: str, labels: str = "") -> list[str]:
        """Return the lines of a metric.

        Args:
          name: its name.
          labels: `name="value"` pairs, joined by commas.
        """
        lines = []
        total = 0
        more = f"{labels}," if labels else ""
        for bound, count in zip((*self._bounds_s, "+Inf"), self._counts, strict=True):
            total += count
            lines.append(f'{name}_bucket{{{more}le="{bound}"}} {total}')
        braces = f"{{{labels}}}" if labels else ""
        lines.append(f"{name}_count{braces} {total}")
        lines.append(f"{name}_sum{braces} {self._sum_s:.4f}")
        return lines
