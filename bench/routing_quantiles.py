"""Quantiles of the latencies measured in a run of the routing benchmark."""

from __future__ import annotations

__all__ = ["GAP_BUCKET_MS", "gap_quantiles", "quantiles"]

GAP_BUCKET_MS = 0.5


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the quantiles `p50`, `p95` and `p99` of some values; zeros without any."""
    ordered = sorted(values) or [0.0]
    last = len(ordered) - 1
    return {
        f"p{percent}": round(ordered[int(last * percent / 100)], 1)
        for percent in (50, 95, 99)
    }


def gap_quantiles(gaps: dict[int, int]) -> dict[str, float]:
    """Return `p50`, `p95` and `p99` in ms of a histogram of token gaps.

    Args:
      gaps: number of gaps by bucket of `GAP_BUCKET_MS`. A quantile is the upper
        bound of its bucket, or zero without gaps.
    """
    total = sum(gaps.values()) or 1
    quantile_by_name = {}
    for percent in (50, 95, 99):
        cumulative = 0
        for bucket in sorted(gaps):
            cumulative += gaps[bucket]
            if cumulative * 100 >= percent * total:
                quantile_by_name[f"p{percent}"] = (bucket + 1) * GAP_BUCKET_MS
                break
        else:
            quantile_by_name[f"p{percent}"] = 0.0
    return quantile_by_name
