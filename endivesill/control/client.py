"""Client interface of the replicated state.

`ControlClient` is the base class. `LocalControl`, for tests, keeps the state in this
process and applies each command at once.
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
    """Base class of clients of the replicated state."""

    async def propose(
        self, command: str, message: Message, timeout_s: float
    ) -> Message:
        """Commit a command and return its result.

        Raises:
          UnavailableError: the command was not committed.
          OutcomeUnknownError: the command may have been committed.
          EndivesillError: the command raised an error.
        """
        raise NotImplementedError

    async def query(self, query: str, message: Message, timeout_s: float) -> Message:
        """Run a linearizable query and return its result.

        Raises:
          UnavailableError: no leader confirmed by a majority was reached in time.
          EndivesillError: the query raised an error.
        """
        raise NotImplementedError


class LocalControl(ControlClient):
    """Unreplicated state in this process, for tests.

    Args:
      timer: the timer service.

    Attributes:
      state: the current state, which tests may inspect.
      failure: an error that all calls raise while it is set, or None.
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
