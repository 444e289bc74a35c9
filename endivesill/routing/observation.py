"""What an entry observes of a target through its own streams."""

from __future__ import annotations

import math

from endivesill.routing.lengths import LengthHistogram
from endivesill.routing.warmth import JumpDetector

__all__ = ["Observation"]

GAP_UNITS_PER_MS = 10.0
STARTS_WINDOW_S = 3.0
FAILURES_IN_ROW = 3


class Observation:
    """Gaps between tokens, first tokens and answers of one target."""

    def __init__(self) -> None:
        self._gaps = LengthHistogram()
        self._gap_jumps = JumpDetector()
        self._first_token_jumps = JumpDetector()
        self._answers = 0
        self._first_token_sum_ms = 0.0
        self._first_tokens = 0
        self._failures = 0
        self._starts = 0.0
        self._started_s = 0.0
        self.recooled = False

    def gap(self, gap_ms: float, target_ms: float) -> bool:
        """Note a gap between tokens; return whether the target turned cold."""
        self._gaps.add(max(1.0, GAP_UNITS_PER_MS * gap_ms))
        return self._jump(self._gap_jumps.observe(gap_ms, target_ms))

    def first_token(self, time_ms: float, target_ms: float) -> bool:
        """Note a time to the first token; return whether the target turned cold."""
        self._first_token_sum_ms += time_ms
        self._first_tokens += 1
        return self._jump(self._first_token_jumps.observe(time_ms, target_ms))

    def _jump(self, jumped: bool) -> bool:
        if jumped:
            self.recooled = True
            self._answers = 0
        return jumped

    def answered(self) -> None:
        """Count a whole answer."""
        self._answers += 1
        self._failures = 0

    def failed(self) -> bool:
        """Count a failed attempt; return whether too many came in a row."""
        self._failures += 1
        return self._jump(self._failures % FAILURES_IN_ROW == 0)

    def started(self, now_s: float) -> None:
        """Count a request that was given the target."""
        self._starts = self._faded_starts(now_s) + 1.0
        self._started_s = now_s

    def recent_starts(self, now_s: float) -> int:
        """Return about how many requests were given the target lately."""
        return int(self._faded_starts(now_s))

    def _faded_starts(self, now_s: float) -> float:
        return self._starts * math.exp((self._started_s - now_s) / STARTS_WINDOW_S)

    def gap_quantile_ms(self, share: float) -> float:
        """Return a quantile of the recent gaps; 0 if there were none."""
        if self._gaps.total < 1:
            return 0.0
        return self._gaps.quantile(share) / GAP_UNITS_PER_MS

    def take_answers(self) -> tuple[int, float]:
        """Return and reset the answers and their mean time to the first token."""
        mean_ms = self._first_token_sum_ms / max(1, self._first_tokens)
        answers = self._answers
        self._answers = 0
        self._first_token_sum_ms = 0.0
        self._first_tokens = 0
        return answers, mean_ms

    def take_recooled(self) -> bool:
        """Return and reset whether the target was seen to turn cold."""
        recooled, self.recooled = self.recooled, False
        return recooled
