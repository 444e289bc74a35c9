"""How services reach the replicated state.

`ControlClient` is the base; `LocalControl` is the in-memory sibling for tests:
one state in this process, each command applied at once.
"""

from __future__ import annotations

from endivesill import errors
from endivesill.control.commands import (
    CommandContext,
    State,
    run_command,
    run_query,
)
from endivesill.kernel import Service
from endivesill.peers import Message
from endivesill.timer import TimerService

__all__ = ["ControlClient", "LocalControl"]


class ControlClient(Service):
    """Base of the clients of the replicated state."""

    async def propose(
        self, command: str, message: Message, timeout_s: float
    ) -> Message:
        """Commit a command and return its result.

        Raises:
          UnavailableError: nothing was changed.
          OutcomeUnknownError: it may or may not have been committed.
        """
        raise NotImplementedError

    async def query(self, query: str, message: Message, timeout_s: float) -> Message:
        """Run a linearizable query.

        Raises:
          UnavailableError: no majority answered in time.
        """
        raise NotImplementedError


class LocalControl(ControlClient):
    """The replicated state of a test, in one process.

    Args:
      timer: the timer service.

    Attributes:
      state: the state, for a test to look at.
      failure: an error to raise in place of the next calls, or None.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._index = 0
        self.state = State()
        self.failure: errors.EndivesillError | None = None

    async def propose(
        self, command: str, message: Message, timeout_s: float
    ) -> Message:
        """Apply a command; see the base class."""
        if self.failure is not None:
            raise self.failure
        self._index += 1
        context = CommandContext(self._index, self._timer.now_s())
        return run_command(self.state, command, message, context)

    async def query(self, query: str, message: Message, timeout_s: float) -> Message:
        """Run a query; see the base class."""
        if self.failure is not None:
            raise self.failure
        return run_query(self.state, query, message)
