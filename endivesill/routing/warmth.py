"""Cold start of a target: what it bears grows on evidence of answers."""

from __future__ import annotations

__all__ = ["ColdStart", "JumpDetector"]

JUMP_FACTOR = 8.0
JUMP_TARGETS = 3.0
JUMP_COUNT = 3
MEAN_SHARE = 0.05
GOOD_FIRST_TOKEN_FACTOR = 2.0


class ColdStart:
    """The slots that a target bears, doubled on evidence.

    The allowance doubles once as many answers as it has slots have been
    completed under it, with first tokens in good time.

    Args:
      cold_slots: the allowance in cold start.
      maximum_slots: the allowance when warm.
    """

    def __init__(self, cold_slots: int, maximum_slots: int) -> None:
        self.slots = 0
        self.maximum_slots = 0
        self.configure(cold_slots, maximum_slots)
        self.slots = self.cold_slots
        self._answers = 0
        self.boot_id = ""

    def configure(self, cold_slots: int, maximum_slots: int) -> None:
        """Take changed bounds; a warm target stays warm."""
        was_warm = self.slots > 0 and self.is_warm
        self.cold_slots = min(cold_slots, maximum_slots)
        self.maximum_slots = maximum_slots
        self.slots = maximum_slots if was_warm else min(self.slots, maximum_slots)

    @property
    def is_warm(self) -> bool:
        """Whether the allowance has reached its maximum."""
        return self.slots >= self.maximum_slots

    def answered(
        self, count: int, first_token_ms: float, first_token_target_ms: float
    ) -> None:
        """Count completed answers and their mean time to the first token."""
        if self.is_warm:
            return
        if first_token_ms > GOOD_FIRST_TOKEN_FACTOR * first_token_target_ms:
            self._answers = 0
            return
        self._answers += count
        if self._answers >= self.slots:
            self.slots = min(self.maximum_slots, 2 * self.slots)
            self._answers = 0

    def assume(self, slots: int) -> None:
        """Begin from what the target has been seen to bear."""
        self.slots = min(self.maximum_slots, max(self.slots, slots))

    def recool(self) -> None:
        """Fall back to the cold allowance."""
        self.slots = self.cold_slots
        self._answers = 0

    def observe_boot(self, boot_id: str) -> bool:
        """Note a boot id; return whether the target has booted anew."""
        before, self.boot_id = self.boot_id, boot_id
        if before in ("", boot_id):
            return False
        self.recool()
        return True


class JumpDetector:
    """Detects that a target has suddenly become slow, as one turned cold.

    Several times in a row must lie far over the usual time and the target time;
    one slow request alone proves nothing.
    """

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self._jumps = 0

    def observe(self, time_ms: float, target_ms: float) -> bool:
        """Note a time; return whether it completes a jump."""
        usual = self.mean_ms
        if usual and time_ms > max(JUMP_FACTOR * usual, JUMP_TARGETS * target_ms):
            self._jumps += 1
            if self._jumps >= JUMP_COUNT:
                self._jumps = 0
                return True
            return False
        self._jumps = 0
        self.mean_ms = usual + MEAN_SHARE * (time_ms - usual) if usual else time_ms
        return False
