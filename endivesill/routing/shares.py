"""Fair shares of a capacity."""

from __future__ import annotations

__all__ = ["fair_share"]


def fair_share(demands: list[int], total: int) -> int:
    """Return the max-min fair share: the largest cap per entry that fits the total."""
    left = max(0, total)
    ordered = sorted(demands)
    for index, requested in enumerate(ordered):
        share = left // (len(ordered) - index)
        if requested > share:
            return share
        left -= requested
    return max([left, *demands])
