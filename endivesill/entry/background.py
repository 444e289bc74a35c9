"""Background tasks that outlive the request that started them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Keeps references to running tasks until they complete."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Start a coroutine as a task; its exceptions are not propagated."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_all(self) -> None:
        """Wait until all tasks are done, including those started meanwhile."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)
