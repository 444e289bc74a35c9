"""Latency and outcome statistics of a target, from this entry's own requests."""

from __future__ import annotations

import math

from endivesill.routing.lengths import LengthHistogram
from endivesill.routing.slow_start import SlowdownDetector

__all__ = ["Observation"]

# The histogram's buckets begin at 1, so gaps are counted in tenths of a ms.
GAP_UNITS_PER_MS = 10.0
STARTS_WINDOW_S = 3.0
CONSECUTIVE_FAILURES = 3


class Observation:
    """Latencies, outcomes and request rate of one target, as seen by this entry.

    `record_gap`, `record_first_token` and `count_failure` return whether the sample
    raises the suspicion that the target has become cold.
    """

    def __init__(self) -> None:
        self._gaps = LengthHistogram()
        self._gap_slowdowns = SlowdownDetector()
        self._first_token_slowdowns = SlowdownDetector()
        self._completed = 0
        self._first_token_sum_ms = 0.0
        self._first_tokens = 0
        self._consecutive_failures = 0
        self._starts = 0.0
        self._last_start_s = 0.0
        self.suspects_cold = False

    def record_gap(self, gap_ms: float, target_ms: float) -> bool:
        """Record a gap between output tokens."""
        self._gaps.add(max(1.0, GAP_UNITS_PER_MS * gap_ms))
        return self._suspect_cold(self._gap_slowdowns.observe(gap_ms, target_ms))

    def record_first_token(self, time_ms: float, target_ms: float) -> bool:
        """Record a time to first token."""
        self._first_token_sum_ms += time_ms
        self._first_tokens += 1
        return self._suspect_cold(
            self._first_token_slowdowns.observe(time_ms, target_ms)
        )

    def _suspect_cold(self, is_slow: bool) -> bool:
        if is_slow:
            self.suspects_cold = True
            self._completed = 0
        return is_slow

    def count_completed(self) -> None:
        """Record a completed response, which ends a series of failures."""
        self._completed += 1
        self._consecutive_failures = 0

    def count_failure(self) -> bool:
        """Record a failed attempt; `CONSECUTIVE_FAILURES` of them raise suspicion."""
        self._consecutive_failures += 1
        return self._suspect_cold(
            self._consecutive_failures % CONSECUTIVE_FAILURES == 0
        )

    def count_start(self, now_s: float) -> None:
        """Record a request that was granted the target."""
        self._starts = self._decayed_starts(now_s) + 1.0
        self._last_start_s = now_s

    def recent_starts(self, now_s: float) -> int:
        """Return about how many requests were granted the target recently."""
        return int(self._decayed_starts(now_s))

    def _decayed_starts(self, now_s: float) -> float:
        return self._starts * math.exp((self._last_start_s - now_s) / STARTS_WINDOW_S)

    def gap_quantile_ms(self, share: float) -> float:
        """Return a quantile of the recent gaps; 0 without samples."""
        if self._gaps.total < 1:
            return 0.0
        return self._gaps.quantile(share) / GAP_UNITS_PER_MS

    def take_completed(self) -> tuple[int, float]:
        """Return and reset the completed responses and mean time to first token."""
        mean_ms = self._first_token_sum_ms / max(1, self._first_tokens)
        completed = self._completed
        self._completed = 0
        self._first_token_sum_ms = 0.0
        self._first_tokens = 0
        return completed, mean_ms

    def take_suspects_cold(self) -> bool:
        """Return and reset whether the target is suspected to be cold."""
        suspects_cold, self.suspects_cold = self.suspects_cold, False
        return suspects_cold
