"""Quantiles of what a run of the routing bench counted."""

from __future__ import annotations

__all__ = ["GAP_BUCKET_MS", "gap_quantiles", "quantiles"]

GAP_BUCKET_MS = 0.5


def quantiles(values: list[float]) -> dict[str, float]:
    """Return 50, 95 and 99 in 100 of some values."""
    ordered = sorted(values) or [0.0]
    last = len(ordered) - 1
    return {
        f"p{share}": round(ordered[int(last * share / 100)], 1)
        for share in (50, 95, 99)
    }


def gap_quantiles(gaps: dict[int, int]) -> dict[str, float]:
    """Return 50, 95 and 99 in 100 of the counted gaps."""
    total = sum(gaps.values()) or 1
    found = {}
    for share in (50, 95, 99):
        seen = 0
        for bucket in sorted(gaps):
            seen += gaps[bucket]
            if seen * 100 >= share * total:
                found[f"p{share}"] = (bucket + 1) * GAP_BUCKET_MS
                break
        else:
            found[f"p{share}"] = 0.0
    return found
