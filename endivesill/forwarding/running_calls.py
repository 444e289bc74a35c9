"""The requests that an entry serves, each until its deadline or an earlier end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from endivesill import errors
from endivesill.fleet.model import RequestKind
from endivesill.forwarding.call import Call
from endivesill.timer import TimerService

__all__ = ["CallEndedError", "RunningCalls"]


class CallEndedError(errors.EndivesillError):
    """A request that was ended early by its own process.

    Attributes:
      reason: short reason for logs and metrics.
      retry_after_s: when the caller may retry.
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class RunningCalls:
    """Serves requests and ends them early on demand.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._tasks: dict[Call, asyncio.Task[None]] = {}
        self._ends: dict[Call, CallEndedError] = {}

    async def serve(self, call: Call, serving: Coroutine[Any, Any, None]) -> None:
        """Serve a request until its deadline or until its caller disconnects.

        Args:
          call: the request.
          serving: serves it.

        Raises:
          DeadlineExceededError: it was not served by its deadline.
          CallEndedError: it was ended by `end`.
        """
        own_task = asyncio.current_task()
        assert own_task is not None

        def cancel_call() -> None:
            # A non-idempotent call that may have reached a target runs to its end.
            if call.route.kind is not RequestKind.UNSAFE or not call.may_have_run:
                own_task.cancel()

        call.exchange.on_disconnect = cancel_call
        self._tasks[call] = task = asyncio.ensure_future(serving)
        try:
            await self._timer.wait_for(task, call.deadline_s - self._timer.now_s())
        except asyncio.CancelledError:
            end = self._ends.get(call)
            if end is None or own_task.cancelling():
                raise
            try:
                raise end from None
            finally:
                # Its traceback refers to this frame.
                del end
        finally:
            call.exchange.on_disconnect = None
            del self._tasks[call], task
            self._ends.pop(call, None)

    def end(
        self,
        condition: Callable[[Call], bool],
        reason: str,
        retry_after_s: float = 0.0,
    ) -> None:
        """End the requests that meet a condition."""
        for call, task in list(self._tasks.items()):
            if condition(call):
                self._ends[call] = CallEndedError(reason, retry_after_s)
                task.cancel()
