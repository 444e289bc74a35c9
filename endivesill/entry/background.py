"""Small tasks that outlive the request that began them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["Background"]


class Background:
    """Holds tasks until they have ended."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run some work on its own."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait until all work has ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)
