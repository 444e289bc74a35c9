"""Least-squares fits of measured points, for the capacity page."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

__all__ = ["Fit", "fit_line"]

MIN_POINTS = 3


@attrs.frozen
class Fit:
    """A least-squares line.

    Attributes:
      slope: increase of the value per unit of size.
      intercept: the value at size zero.
      residual: the largest vertical distance of a point from the line, as a
        fraction of the largest absolute value.
    """

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a line to pairs of size and value.

    Raises:
      ValueError: there are fewer than three points, or all have the same size.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"a fit needs at least {MIN_POINTS} points")
    point_count = len(points)
    mean_x = sum(x for x, _ in points) / point_count
    mean_y = sum(y for _, y in points) / point_count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    if not squared_deviations:
        raise ValueError("all points have the same size")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    intercept = mean_y - slope * mean_x
    max_value = max(abs(y) for _, y in points) or 1.0
    max_distance = max(abs(y - intercept - slope * x) for x, y in points)
    return Fit(slope, intercept, max_distance / max_value)
