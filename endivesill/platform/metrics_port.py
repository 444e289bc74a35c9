"""Serves a process's metrics as text."""

from __future__ import annotations

from collections.abc import Callable

from endivesill.http1 import Exchange, HttpListener
from endivesill.platform.settings import NodeSettings
from endivesill.timer import TimerService

__all__ = ["METRICS_PORT", "MetricsPort"]

# The port that deploy/system.toml names.
METRICS_PORT = 9464


class MetricsPort:
    """The listener for metrics.

    Args:
      timer: the timer service.
      settings: the process's settings.
      lines: returns the metrics' lines.
    """

    def __init__(
        self,
        timer: TimerService,
        settings: NodeSettings,
        lines: Callable[[], list[str]],
    ) -> None:
        self._lines = lines
        self._listener = HttpListener(
            timer, f"{settings.ip}:{METRICS_PORT}", self._answer
        )

    async def start(self) -> None:
        """Listen."""
        await self._listener.start()

    async def _answer(self, exchange: Exchange) -> None:
        body = ("\n".join(self._lines()) + "\n").encode()
        exchange.respond(200, [(b"Content-Type", b"text/plain")], body)
