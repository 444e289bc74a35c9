"""The timer service: the only source of time.

`SystemTimer` uses the clocks of the machine. The time of `ManualTimer` changes only
when a test advances it, so that tests without real I/O are deterministic.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from endivesill import errors

__all__ = ["ManualTimer", "SystemTimer", "TimerHandle", "TimerService"]

T = TypeVar("T")


class TimerHandle:
    """A handle that cancels a scheduled call.

    Attributes:
      cancelled: whether `cancel` was called.
      on_cancel: called by `cancel`; None for no action.
    """

    def __init__(self, cancel: Callable[[], Any] | None = None) -> None:
        self.cancelled = False
        self.on_cancel = cancel

    def cancel(self) -> None:
        """Cancel the scheduled call; may be called more than once."""
        self.cancelled = True
        if self.on_cancel is not None:
            self.on_cancel()


class TimerService:
    """Base class of the timers: clocks, delays and periodic calls."""

    def now_s(self) -> float:
        """Return a monotonic time in seconds that includes suspended time."""
        raise NotImplementedError

    def wall_time_s(self) -> float:
        """Return the wall time in seconds since 1970; it may jump."""
        raise NotImplementedError

    def call_after(self, delay_s: float, callback: Callable[[], Any]) -> TimerHandle:
        """Call a callback once after a delay."""
        raise NotImplementedError

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for a delay."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def wake() -> None:
            if not future.done():
                future.set_result(None)

        handle = self.call_after(delay_s, wake)
        try:
            await future
        finally:
            handle.cancel()

    def call_every(self, period_s: float, callback: Callable[[], Any]) -> TimerHandle:
        """Call a callback once per period until the handle is cancelled.

        The first call comes after one period.
        """
        handle = TimerHandle()

        def fire() -> None:
            if handle.cancelled:
                return
            handle.on_cancel = self.call_after(period_s, fire).cancel
            callback()

        handle.on_cancel = self.call_after(period_s, fire).cancel
        return handle

    async def wait_for(
        self,
        awaitable: Awaitable[T],
        timeout_s: float,
        on_lost: Callable[[T], None] | None = None,
    ) -> T:
        """Wait for a result with a time limit.

        Args:
          awaitable: the awaitable; it is cancelled at the time limit.
          timeout_s: the time limit.
          on_lost: called with a result that came in the same turn of the event loop as
            the cancellation of the caller, who does not get it.

        Returns:
          The awaitable's result.

        Raises:
          DeadlineExceededError: there was no result within the time limit.
        """
        task = asyncio.ensure_future(awaitable)
        expired = False

        def expire(waited: asyncio.Future[T] = task) -> None:
            nonlocal expired
            expired = not waited.done()
            waited.cancel()

        handle = self.call_after(timeout_s, expire)
        try:
            return await task
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if expired and not (current and current.cancelling()):
                raise errors.DeadlineExceededError(
                    f"no result within {timeout_s} s"
                ) from None
            if on_lost is not None and _has_result(task):
                on_lost(task.result())
            raise
        finally:
            handle.cancel()
            # The traceback of a failed task refers to this frame; without the cycle,
            # what its frames hold is free at once.
            del task, expire


def _has_result(future: asyncio.Future[Any]) -> bool:
    return future.done() and not future.cancelled() and future.exception() is None


class SystemTimer(TimerService):
    """The timer of a running process."""

    def now_s(self) -> float:
        """Return CLOCK_BOOTTIME, which includes time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time_s(self) -> float:
        """Return the system's wall time."""
        return time.time()

    def call_after(self, delay_s: float, callback: Callable[[], Any]) -> TimerHandle:
        """Call a callback once after a delay, on the running event loop."""
        loop_handle = asyncio.get_running_loop().call_later(delay_s, callback)
        return TimerHandle(loop_handle.cancel)


class ManualTimer(TimerService):
    """A timer for tests whose time changes only by `advance` and `jump`.

    Args:
      start_s: the initial time of both clocks.

    Attributes:
      wall_offset_s: difference between wall time and monotonic time; tests may
        set it.
    """

    def __init__(self, start_s: float = 1_000.0) -> None:
        self._now_s = start_s
        self.wall_offset_s = 0.0
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, TimerHandle, Callable[[], Any]]] = []

    def now_s(self) -> float:
        """Return the manual time."""
        return self._now_s

    def wall_time_s(self) -> float:
        """Return the manual time plus `wall_offset_s`."""
        return self._now_s + self.wall_offset_s

    def call_after(self, delay_s: float, callback: Callable[[], Any]) -> TimerHandle:
        """Call a callback once the time has been advanced by a delay."""
        handle = TimerHandle()
        due_s = self._now_s + max(0.0, delay_s)
        heapq.heappush(self._heap, (due_s, next(self._sequence), handle, callback))
        return handle

    async def advance(self, delta_s: float) -> None:
        """Advance the time and run the calls that become due, in order of time.

        All ready tasks run before the first and after each call.
        """
        end_s = self._now_s + delta_s
        await run_ready_tasks()
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, handle, callback = heapq.heappop(self._heap)
            if handle.cancelled:
                continue
            self._now_s = max(self._now_s, due_s)
            callback()
            await run_ready_tasks()
        self._now_s = end_s
        await run_ready_tasks()

    def jump(self, delta_s: float) -> None:
        """Advance the time without running any call, like a suspended process."""
        self._now_s += delta_s


async def run_ready_tasks() -> None:
    """Run the ready tasks of the event loop until none is ready."""
    ready = getattr(asyncio.get_running_loop(), "_ready", None)
    if ready is None:
        for _ in range(100):
            await asyncio.sleep(0)
        return
    await asyncio.sleep(0)
    while ready:  # noqa: ASYNC110
        await asyncio.sleep(0)
