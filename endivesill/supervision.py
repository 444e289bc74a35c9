"""Background tasks that go on after a failure."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from endivesill import events
from endivesill.timer import TimerService

__all__ = ["supervise"]

RESTART_PAUSE_S = 0.2


def supervise(
    timer: TimerService,
    name: str,
    run: Callable[[], Awaitable[None]],
    pause_s: float = RESTART_PAUSE_S,
) -> asyncio.Task[None]:
    """Run a coroutine function until it returns; failures are logged.

    Args:
      timer: the timer service.
      name: names the task in the log.
      run: what is run, again after each failure.
      pause_s: the time between a failure and the next run.
    """

    async def loop() -> None:
        while True:
            try:
                await run()
                return
            except Exception as error:
                events.emit(events.TASK_FAILED, task=name, error=repr(error))
            await timer.sleep(pause_s)

    return asyncio.ensure_future(loop())
