"""Buckets of durations for histograms that are sent in messages."""

from __future__ import annotations

import math

__all__ = ["BUCKETS", "BUCKET_RATIO", "bucket_of"]

# Ratio of a bucket's bounds, and the upper bound of the first one in seconds; the last
# bucket begins at three minutes.
BUCKET_RATIO = 1.25
FIRST_BUCKET_S = 0.005
BUCKETS = 48


def bucket_of(duration_s: float) -> int:
    """Return the bucket of a duration."""
    if duration_s <= FIRST_BUCKET_S:
        return 0
    ratio = math.log(duration_s / FIRST_BUCKET_S) / math.log(BUCKET_RATIO)
    return min(BUCKETS - 1, math.ceil(ratio))
