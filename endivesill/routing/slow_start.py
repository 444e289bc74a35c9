"""Slow start of cold targets and detection of targets that become slow."""

from __future__ import annotations

__all__ = ["SlowStart", "SlowdownDetector"]

SLOWDOWN_FACTOR = 8.0
SLOWDOWN_TARGET_FACTOR = 3.0
SLOWDOWN_COUNT = 3
MEAN_WEIGHT = 0.05
FIRST_TOKEN_LIMIT_FACTOR = 2.0


class SlowStart:
    """The slots that a target may use, doubled as responses complete.

    The allowance doubles once as many responses as it has slots have completed
    with an acceptable time to first token.

    Args:
      cold_slots: the allowance of a cold target.
      maximum_slots: the allowance of a warm target.
    """

    def __init__(self, cold_slots: int, maximum_slots: int) -> None:
        self.slots = 0
        self.maximum_slots = 0
        self.configure(cold_slots, maximum_slots)
        self.slots = self.cold_slots
        self._completed = 0
        self.boot_id = ""

    def configure(self, cold_slots: int, maximum_slots: int) -> None:
        """Apply changed bounds; a warm target stays warm."""
        was_warm = self.slots > 0 and self.is_warm
        self.cold_slots = min(cold_slots, maximum_slots)
        self.maximum_slots = maximum_slots
        self.slots = maximum_slots if was_warm else min(self.slots, maximum_slots)

    @property
    def is_warm(self) -> bool:
        """Whether the allowance has reached its maximum."""
        return self.slots >= self.maximum_slots

    def add_completed(
        self, count: int, first_token_ms: float, first_token_target_ms: float
    ) -> None:
        """Record completed responses; late first tokens discard the progress.

        Args:
          count: number of responses.
          first_token_ms: their mean time to first token.
          first_token_target_ms: the service's target for that time.
        """
        if self.is_warm:
            return
        if first_token_ms > FIRST_TOKEN_LIMIT_FACTOR * first_token_target_ms:
            self._completed = 0
            return
        self._completed += count
        if self._completed >= self.slots:
            self.slots = min(self.maximum_slots, 2 * self.slots)
            self._completed = 0

    def raise_to(self, slots: int) -> None:
        """Raise the allowance to a load that the target has been seen to sustain."""
        self.slots = min(self.maximum_slots, max(self.slots, slots))

    def reset(self) -> None:
        """Return to the cold allowance."""
        self.slots = self.cold_slots
        self._completed = 0

    def observe_boot(self, boot_id: str) -> bool:
        """Record a boot id; reset and return True if the target has rebooted."""
        before, self.boot_id = self.boot_id, boot_id
        if before in ("", boot_id):
            return False
        self.reset()
        return True


class SlowdownDetector:
    """Detects a sudden increase of a latency, as of a target that became cold.

    Several consecutive samples must exceed both a multiple of the moving average
    and a multiple of the target time, so that one slow request does not count.
    """

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self._slow_samples = 0

    def observe(self, time_ms: float, target_ms: float) -> bool:
        """Record a sample; return whether it completes a slowdown."""
        average_ms = self.mean_ms
        if average_ms and time_ms > max(
            SLOWDOWN_FACTOR * average_ms, SLOWDOWN_TARGET_FACTOR * target_ms
        ):
            self._slow_samples += 1
            if self._slow_samples >= SLOWDOWN_COUNT:
                self._slow_samples = 0
                return True
            return False
        self._slow_samples = 0
        self.mean_ms = (
            average_ms + MEAN_WEIGHT * (time_ms - average_ms) if average_ms else time_ms
        )
        return False
