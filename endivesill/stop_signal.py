"""Signals that stop a process."""

from __future__ import annotations

import asyncio
import signal

from endivesill.timer import TimerService

__all__ = ["StopSignal"]


class StopSignal:
    """Waits for SIGTERM or SIGINT.

    Args:
      timer: the timer service.

    Attributes:
      received_s: time of the first signal; 0 before it.
    """

    def __init__(self, timer: TimerService) -> None:
        self._event = asyncio.Event()
        self._timer = timer
        self.received_s = 0.0
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._handle_signal)

    def _handle_signal(self) -> None:
        if not self._event.is_set():
            self.received_s = self._timer.now_s()
            self._event.set()

    async def wait(self) -> None:
        """Wait until the first signal arrives."""
        await self._event.wait()
