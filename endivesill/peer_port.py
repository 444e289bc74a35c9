"""The peer port as a kernel service, with a time limit on its shutdown."""

from __future__ import annotations

import asyncio
from typing import Any

from endivesill import errors, events
from endivesill.http_peers import HttpPeerTransport
from endivesill.kernel import Service
from endivesill.server import HttpServer
from endivesill.timer import TimerService

__all__ = ["PeerPort"]

STOP_TIMEOUT_S = 2.0

CALLS_ABORTED = events.define(
    1020, "peer-calls-cut", "The peer port closed while calls were still in progress."
)


class PeerPort(Service):
    """The listener for calls from peers.

    Args:
      timer: the timer service.
      transport: the peer transport that handles the calls.
      options: further options of `HttpServer`, such as its TLS files.
    """

    def __init__(
        self, timer: TimerService, transport: HttpPeerTransport, **options: Any
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._server = HttpServer(transport.address, transport.application(), **options)

    @property
    def address(self) -> str:
        """HOST:PORT; the bound port once the service has started."""
        return self._server.address

    async def start(self) -> None:
        """Start listening.

        Raises:
          OSError: the address cannot be bound.
        """
        await self._server.start()

    async def stop(self) -> None:
        """Close the port and the connections of the client.

        Calls that do not end within the time limit are aborted; peers retry them
        at another VM.
        """
        stopping = asyncio.ensure_future(self._server.stop())
        try:
            await self._timer.wait_for(asyncio.shield(stopping), STOP_TIMEOUT_S)
        except errors.DeadlineExceededError:
            in_flight = {path: n for path, n in self._transport.in_flight.items() if n}
            events.emit(CALLS_ABORTED, calls=in_flight)
            await self._server.kill()
            await asyncio.gather(stopping, return_exceptions=True)
        await self._transport.close()
