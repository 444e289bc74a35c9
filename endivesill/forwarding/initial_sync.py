"""Lets requests wait for the first state that a restarted entry gets."""

from __future__ import annotations

from endivesill import errors
from endivesill.forwarding.stop_deadline import StopDeadline
from endivesill.forwarding.targets import TargetTable
from endivesill.signals import Signal
from endivesill.timer import TimerService

__all__ = ["InitialSync"]

# Longest wait for the first configuration and list of engines. After a restart of all
# VMs it takes about an election of the control VMs.
MAX_WAIT_S = 1.5
# The same as a fraction of the caller's remaining time; the rest is for a retry.
MAX_WAIT_FRACTION = 0.5
# Remaining time assumed for a caller that does not state it.
DEFAULT_REMAINING_S = 1.0


class InitialSync:
    """Waits for the first configuration and the first list of engines.

    When all VMs have restarted, entries accept connections before the control VMs have
    elected a leader. Callers retry only once or twice, and would be refused on each
    attempt.

    Args:
      timer: the timer service.
      table: the targets.
    """

    def __init__(self, timer: TimerService, table: TargetTable) -> None:
        self._timer = timer
        self._table = table
        self._has_configuration = False
        self._changed = Signal()
        table.watchers.add(self._changed.notify)

    def note_configuration(self) -> None:
        """Record that there is a configuration."""
        self._has_configuration = True
        self._changed.notify()

    @property
    def is_complete(self) -> bool:
        """Whether there are a configuration and a list of engines."""
        return self._has_configuration and self._table.has_list()

    async def wait(
        self, remaining_s: float | None, stop_deadline: StopDeadline
    ) -> None:
        """Wait until the state is complete, while the caller can still be served.

        Args:
          remaining_s: time until the caller's deadline; None if not given.
          stop_deadline: when this process ends its requests.
        """
        if self.is_complete:
            return
        if remaining_s is None:
            remaining_s = DEFAULT_REMAINING_S
        remaining_s = min(remaining_s, stop_deadline.remaining_s())
        wait_s = min(MAX_WAIT_S, MAX_WAIT_FRACTION * remaining_s)
        try:
            await self._timer.wait_for(self._wait_until_complete(), wait_s)
        except errors.DeadlineExceededError:
            return

    async def _wait_until_complete(self) -> None:
        while not self.is_complete:
            await self._changed.wait()
