"""Straight lines through measured points, for the capacity page."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

__all__ = ["Fit", "fit_line"]

MINIMUM_POINTS = 3


@attrs.frozen
class Fit:
    """A least-squares line.

    Attributes:
      slope: the figure's growth for one more of the size.
      intercept: the figure at size zero.
      residual: the largest distance of a point from the line, as a share of
        the largest figure.
    """

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the figure at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a line through three points or more.

    Raises:
      ValueError: there are fewer points, or all have one size.
    """
    if len(points) < MINIMUM_POINTS:
        raise ValueError(f"a slope needs {MINIMUM_POINTS} points at least")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        raise ValueError("all points have the same size")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    largest = max(abs(y) for _, y in points) or 1.0
    distance = max(abs(y - intercept - slope * x) for x, y in points)
    return Fit(slope, intercept, distance / largest)
