"""A notification that asyncio tasks wait for."""

from __future__ import annotations

import asyncio

__all__ = ["Signal"]


class Signal:
    """Wakes all currently waiting tasks.

    It keeps no state: a task that waits after `notify` waits for the next one.
    """

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()

    async def wait(self) -> None:
        """Wait for the next `notify`."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(future)
        try:
            await future
        finally:
            self._waiters.discard(future)

    def notify(self) -> None:
        """Wake all tasks that are currently in `wait`."""
        for future in self._waiters:
            if not future.done():
                future.set_result(None)
