"""Stamps connections with a value that was noted before they were opened."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from endivesill.timer import TimerService

__all__ = ["OpeningStamp"]

# Iterations of the event loop after which a connection that was taken from the accept
# queue has its protocol; asyncio creates it one iteration later.
SETUP_ITERATIONS = 3
# Period of the checks while connections wait in the accept queue.
CHECK_PERIOD_S = 0.001


class OpeningStamp:
    """The newest value that was noted before any unaccepted connection was opened.

    A suspended process finds messages and connections that came in the meantime, in any
    order. A value that it notes on reading a message counts only once no connection
    waits to be accepted: those that do may have been opened before the message was
    sent.

    Args:
      timer: the timer service.
      has_waiting_connections: returns whether connections wait to be accepted.

    Attributes:
      value: the value.
    """

    def __init__(
        self, timer: TimerService, has_waiting_connections: Callable[[], bool]
    ) -> None:
        self._timer = timer
        self._has_waiting_connections = has_waiting_connections
        self._newest = 0
        self._is_pending = False
        self.value = 0

    def note(self, value: int) -> None:
        """Note a value, which must not decrease."""
        self._newest = value
        if not self._is_pending:
            self._is_pending = True
            self._check(value)

    def _check(self, value: int) -> None:
        if self._has_waiting_connections():
            self._timer.call_after(CHECK_PERIOD_S, lambda: self._check(value))
        else:
            self._settle(value, SETUP_ITERATIONS)

    def _settle(self, value: int, iterations: int) -> None:
        if iterations:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._settle, value, iterations - 1)
            return
        self.value = value
        self._is_pending = False
        if self._newest > value:
            self.note(self._newest)
