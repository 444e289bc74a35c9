"""Background tasks that go on after a failure."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from endivesill import events
from endivesill.timer import TimerService

__all__ = ["supervise"]

RESTART_PAUSE_S = 0.2


def supervise(
    timer: TimerService, name: str, run: Callable[[], Awaitable[None]]
) -> asyncio.Task[None]:
    """Run a coroutine function again and again; failures are logged."""

    async def loop() -> None:
        while True:
            try:
                await run()
                return
            except Exception as error:
                events.emit(events.TASK_FAILED, task=name, error=repr(error))
            await timer.sleep(RESTART_PAUSE_S)

    return asyncio.ensure_future(loop())
