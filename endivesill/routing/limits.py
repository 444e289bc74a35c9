"""Adaptive limits of one engine: concurrency, memory and tokens in prefill."""

from __future__ import annotations

__all__ = ["DecodeLimit", "MemoryLimit", "PrefillLimit"]

DECODE_INCREASE_SLOTS = 1.0
DECODE_DECREASE_FACTOR = 0.9
DECODE_INCREASE_THRESHOLD = 0.8
OVERCOMMIT_INITIAL = 1.0
OVERCOMMIT_MINIMUM = 0.7
OVERCOMMIT_MAXIMUM = 1.2
OVERCOMMIT_DECREASE_FACTOR = 0.95
OVERCOMMIT_INCREASE = 0.0025
PREFILL_INITIAL_TOKENS = 512.0
PREFILL_MINIMUM_TOKENS = 128.0
PREFILL_MAXIMUM_TOKENS = 1024.0
PREFILL_INCREASE_TOKENS = 64.0
PREFILL_DECREASE_FACTOR = 0.9


class DecodeLimit:
    """Concurrent requests, by additive increase and multiplicative decrease (AIMD).

    The limit follows the median gap between output tokens. A long tail alone is
    caused by prefill, which a smaller batch would not shorten.

    Args:
      maximum_slots: the upper bound.
    """

    def __init__(self, maximum_slots: int) -> None:
        self.maximum_slots = maximum_slots
        self._slots = float(maximum_slots)

    def configure(self, maximum_slots: int) -> None:
        """Apply a changed bound; a limit at the old bound moves to the new one."""
        was_at_bound = self._slots >= self.maximum_slots
        self.maximum_slots = maximum_slots
        bound = float(maximum_slots)
        self._slots = bound if was_at_bound else min(self._slots, bound)

    @property
    def slots(self) -> int:
        """The current limit."""
        return int(self._slots)

    def observe(self, median_gap_ms: float, gap_target_ms: float, running: int) -> None:
        """Adapt to the median gap of a period.

        Args:
          median_gap_ms: the median gap between output tokens.
          gap_target_ms: the service's limit on that gap.
          running: requests in flight in that period.
        """
        if median_gap_ms > gap_target_ms:
            self._slots = max(1.0, DECODE_DECREASE_FACTOR * min(self._slots, running))
        elif median_gap_ms < DECODE_INCREASE_THRESHOLD * gap_target_ms:
            raised = self._slots + DECODE_INCREASE_SLOTS
            self._slots = min(float(self.maximum_slots), raised)


class MemoryLimit:
    """Memory tokens that may be reserved; overcommit adapts to preemptions."""

    def __init__(self) -> None:
        self.overcommit = OVERCOMMIT_INITIAL
        self._preemptions: int | None = None

    def tokens(self, memory_tokens: int) -> float:
        """Return how many tokens may be reserved of a memory of this size."""
        return self.overcommit * memory_tokens

    def observe(self, preemptions: int, *, is_limiting: bool) -> None:
        """Adapt to the engine's count of preemptions.

        Args:
          preemptions: preemptions since the engine's boot.
          is_limiting: whether requests have waited for this memory. Otherwise the
            absence of preemptions does not show that a higher limit is safe.
        """
        before, self._preemptions = self._preemptions, preemptions
        if before is None or preemptions < before:
            return
        if preemptions > before:
            lowered = self.overcommit * OVERCOMMIT_DECREASE_FACTOR
            self.overcommit = max(OVERCOMMIT_MINIMUM, lowered)
        elif is_limiting:
            raised = self.overcommit + OVERCOMMIT_INCREASE
            self.overcommit = min(OVERCOMMIT_MAXIMUM, raised)


class PrefillLimit:
    """Limit of prompt tokens in prefill at once; prefill lengthens decode steps."""

    def __init__(self) -> None:
        self.tokens = PREFILL_INITIAL_TOKENS

    def observe(self, tail_gap_ms: float, gap_target_ms: float) -> None:
        """Adapt to the 99th percentile of the gap between output tokens."""
        if tail_gap_ms > gap_target_ms:
            lowered = self.tokens * PREFILL_DECREASE_FACTOR
            self.tokens = max(PREFILL_MINIMUM_TOKENS, lowered)
        else:
            raised = self.tokens + PREFILL_INCREASE_TOKENS
            self.tokens = min(PREFILL_MAXIMUM_TOKENS, raised)
