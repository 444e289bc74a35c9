"""The peer port as a kernel service, with a bounded stop."""

from __future__ import annotations

import asyncio
from typing import Any

from endivesill import errors, events
from endivesill.http_peers import HttpPeerTransport
from endivesill.kernel import Service
from endivesill.server import HttpServer
from endivesill.timer import TimerService

__all__ = ["PeerPort"]

STOP_LIMIT_S = 2.0

CALLS_CUT = events.define(
    1020, "peer-calls-cut", "The peer port closed with calls that had no answer."
)


class PeerPort(Service):
    """The listener for the system's own processes.

    Args:
      timer: the timer service.
      transport: the peer transport that answers.
      options: further options of the listener, such as its TLS files.
    """

    def __init__(
        self, timer: TimerService, transport: HttpPeerTransport, **options: Any
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._server = HttpServer(transport.address, transport.application(), **options)

    @property
    def address(self) -> str:
        """The address in use, once started."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the port and the client's connections.

        Peers ask elsewhere when a call breaks, so calls that do not end are cut.
        """
        stopping = asyncio.ensure_future(self._server.stop())
        try:
            await self._timer.wait_for(asyncio.shield(stopping), STOP_LIMIT_S)
        except errors.DeadlineExceededError:
            running = {path: n for path, n in self._transport.running.items() if n}
            events.emit(CALLS_CUT, calls=running)
            await self._server.kill()
            await asyncio.gather(stopping, return_exceptions=True)
        await self._transport.close()
