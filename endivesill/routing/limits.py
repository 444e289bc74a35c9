"""Limits of one engine: decode concurrency, memory and prefill in flight."""

from __future__ import annotations

__all__ = ["DecodeLimit", "MemoryLimit", "PrefillLimit"]

DECODE_INCREASE_SLOTS = 1.0
DECODE_DECREASE = 0.9
DECODE_ROOM = 0.8
OVERBOOKING_START = 1.0
OVERBOOKING_MINIMUM = 0.7
OVERBOOKING_MAXIMUM = 1.2
OVERBOOKING_DECREASE = 0.95
OVERBOOKING_INCREASE = 0.0025
PREFILL_START_TOKENS = 512.0
PREFILL_MINIMUM_TOKENS = 128.0
PREFILL_MAXIMUM_TOKENS = 1024.0
PREFILL_INCREASE_TOKENS = 64.0
PREFILL_DECREASE = 0.9


class DecodeLimit:
    """Requests at once, by additive increase and multiplicative decrease.

    It follows the median gap: what stretches only the tail is prefill, which a
    smaller batch would not shorten.

    Args:
      maximum_slots: the configured bound.
    """

    def __init__(self, maximum_slots: int) -> None:
        self.maximum_slots = maximum_slots
        self._slots = float(maximum_slots)

    def configure(self, maximum_slots: int) -> None:
        """Take a changed bound."""
        was_full = self._slots >= self.maximum_slots
        self.maximum_slots = maximum_slots
        bound = float(maximum_slots)
        self._slots = bound if was_full else min(self._slots, bound)

    @property
    def slots(self) -> int:
        """The limit now."""
        return int(self._slots)

    def observe(self, median_gap_ms: float, gap_target_ms: float, running: int) -> None:
        """Adapt to a period's median gap, with so many requests running."""
        if median_gap_ms > gap_target_ms:
            self._slots = max(1.0, DECODE_DECREASE * min(self._slots, running))
        elif median_gap_ms < DECODE_ROOM * gap_target_ms:
            raised = self._slots + DECODE_INCREASE_SLOTS
            self._slots = min(float(self.maximum_slots), raised)


class MemoryLimit:
    """Tokens that may be reserved; overbooking follows the preemptions seen."""

    def __init__(self) -> None:
        self.overbooking = OVERBOOKING_START
        self._preemptions: int | None = None

    def tokens(self, memory_tokens: int) -> float:
        """Return how much may be reserved of a memory."""
        return self.overbooking * memory_tokens

    def observe(self, preemptions: int, *, pressed: bool) -> None:
        """Adapt to the preemptions since the boot.

        Args:
          preemptions: the engine's count.
          pressed: whether requests wait for this memory; a limit that holds
            nothing back has not proved itself.
        """
        before, self._preemptions = self._preemptions, preemptions
        if before is None or preemptions < before:
            return
        if preemptions > before:
            lowered = self.overbooking * OVERBOOKING_DECREASE
            self.overbooking = max(OVERBOOKING_MINIMUM, lowered)
        elif pressed:
            raised = self.overbooking + OVERBOOKING_INCREASE
            self.overbooking = min(OVERBOOKING_MAXIMUM, raised)


class PrefillLimit:
    """Prompt tokens in flight, so that prefill does not stretch decode steps."""

    def __init__(self) -> None:
        self.tokens = PREFILL_START_TOKENS

    def observe(self, tail_gap_ms: float, gap_target_ms: float) -> None:
        """Adapt to a period's 95th percentile of the gap."""
        if tail_gap_ms > gap_target_ms:
            lowered = self.tokens * PREFILL_DECREASE
            self.tokens = max(PREFILL_MINIMUM_TOKENS, lowered)
        else:
            raised = self.tokens + PREFILL_INCREASE_TOKENS
            self.tokens = min(PREFILL_MAXIMUM_TOKENS, raised)
