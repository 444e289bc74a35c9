"""Serves the metrics of a process as text over HTTP."""

from __future__ import annotations

from collections.abc import Callable

from endivesill.http1 import Exchange, HttpListener, bounds_exceeded
from endivesill.timer import TimerService

__all__ = ["METRICS_PORT", "MetricsListener"]

# Must equal the port in deploy/system.toml.
METRICS_PORT = 9464


class MetricsListener:
    """Answers every request with the current metrics.

    Args:
      timer: the timer service.
      ip: IP address of the VM.
      lines: returns the metric lines, without line ends.
    """

    def __init__(
        self,
        timer: TimerService,
        ip: str,
        lines: Callable[[], list[str]],
    ) -> None:
        self._lines = lines
        self._listener = HttpListener(timer, f"{ip}:{METRICS_PORT}", self._handle)

    async def start(self) -> None:
        """Start to listen on the VM's address."""
        await self._listener.start()

    async def _handle(self, exchange: Exchange) -> None:
        lines = [*self._lines(), *_bound_lines()]
        body = ("\n".join(lines) + "\n").encode()
        exchange.respond(200, [(b"Content-Type", b"text/plain")], body)


def _bound_lines() -> list[str]:
    """Return how many peers exceeded each bound on responses, as metric lines."""
    return [
        f'endivesill_response_bounds_exceeded_total{{bound="{bound}"}} {count}'
        for bound, count in sorted(bounds_exceeded.items())
    ]
