"""The timer service: the only source of time.

`SystemTimer` runs on the machine's clocks. `ManualTimer` stands still until a
test advances it, so that a test with no real input or output has one history.
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
    """A subscription to the timer service that can be cancelled."""

    def __init__(self, cancel: Callable[[], Any] | None = None) -> None:
        self.cancelled = False
        self.cancel_inner = cancel

    def cancel(self) -> None:
        """Cancel the subscription; a second call does nothing."""
        self.cancelled = True
        if self.cancel_inner is not None:
            self.cancel_inner()


class TimerService:
    """Base of the timers: clocks, delays and periodic calls."""

    def now_s(self) -> float:
        """Return a clock that never goes back and counts suspended time."""
        raise NotImplementedError

    def wall_time_s(self) -> float:
        """Return the time of day in seconds since 1970; it may jump."""
        raise NotImplementedError

    def call_after(self, delay_s: float, callback: Callable[[], Any]) -> TimerHandle:
        """Call back once after a delay."""
        raise NotImplementedError

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for a time."""
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
        """Call back once a period until the handle is cancelled."""
        handle = TimerHandle()

        def fire() -> None:
            if handle.cancelled:
                return
            handle.cancel_inner = self.call_after(period_s, fire).cancel
            callback()

        handle.cancel_inner = self.call_after(period_s, fire).cancel
        return handle

    async def wait_for(self, awaitable: Awaitable[T], timeout_s: float) -> T:
        """Wait for a result, for a bounded time.

        Args:
          awaitable: what to wait for; it is cancelled when the time is over.
          timeout_s: the bound.

        Returns:
          The awaitable's result.

        Raises:
          DeadlineExceededError: the time was over first.
        """
        task = asyncio.ensure_future(awaitable)
        expired = False

        def expire() -> None:
            nonlocal expired
            expired = not task.done()
            task.cancel()

        handle = self.call_after(timeout_s, expire)
        try:
            return await task
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if expired and not (current and current.cancelling()):
                raise errors.DeadlineExceededError(
                    f"no result within {timeout_s} s"
                ) from None
            raise
        finally:
            handle.cancel()


class SystemTimer(TimerService):
    """The timer of a running process."""

    def now_s(self) -> float:
        """Return CLOCK_BOOTTIME, which goes on while the machine sleeps."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time_s(self) -> float:
        """Return the time of day."""
        return time.time()

    def call_after(self, delay_s: float, callback: Callable[[], Any]) -> TimerHandle:
        """Call back once after a delay, on the running loop."""
        inner = asyncio.get_running_loop().call_later(delay_s, callback)
        return TimerHandle(inner.cancel)


class ManualTimer(TimerService):
    """A timer for tests: time moves only in `advance`.

    Args:
      start_s: the first reading of both clocks.
    """

    def __init__(self, start_s: float = 1_000.0) -> None:
        self._now_s = start_s
        self.wall_offset_s = 0.0
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, TimerHandle, Callable[[], Any]]] = []

    def now_s(self) -> float:
        """Return the manual clock."""
        return self._now_s

    def wall_time_s(self) -> float:
        """Return the manual clock plus `wall_offset_s`, which tests may set."""
        return self._now_s + self.wall_offset_s

    def call_after(self, delay_s: float, callback: Callable[[], Any]) -> TimerHandle:
        """Call back when the clock has been advanced far enough."""
        handle = TimerHandle()
        due_s = self._now_s + max(0.0, delay_s)
        heapq.heappush(self._heap, (due_s, next(self._sequence), handle, callback))
        return handle

    async def advance(self, delta_s: float) -> None:
        """Move the clock on and run all that falls due, in order of time."""
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
        """Move the clock on without running anything, as a suspended process."""
        self._now_s += delta_s


async def run_ready_tasks() -> None:
    """Let every ready task of the loop run until none is ready."""
    ready = getattr(asyncio.get_running_loop(), "_ready", None)
    if ready is None:
        for _ in range(100):
            await asyncio.sleep(0)
        return
    await asyncio.sleep(0)
    while ready:  # noqa: ASYNC110
        await asyncio.sleep(0)
