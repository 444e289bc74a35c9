"""Background tasks that restart after a failure, without a kernel."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from endivesill import events
from endivesill.timer import TimerService

__all__ = ["supervise"]

RESTART_DELAY_S = 0.2


def supervise(
    timer: TimerService,
    name: str,
    run: Callable[[], Awaitable[None]],
    restart_delay_s: float = RESTART_DELAY_S,
) -> asyncio.Task[None]:
    """Start a task that runs a coroutine function until it returns.

    Each failure is logged, and the function runs again after a fixed delay.

    Args:
      timer: the timer service.
      name: the name of the task in the log.
      run: the coroutine function.
      restart_delay_s: the delay between a failure and the next run.
    """

    async def loop() -> None:
        while True:
            try:
                await run()
                return
            except Exception as error:
                events.emit(events.TASK_FAILED, task=name, error=repr(error))
            await timer.sleep(restart_delay_s)

    return asyncio.ensure_future(loop())
