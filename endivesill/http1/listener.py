"""Listens for HTTP/1.1 connections of callers."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Awaitable, Callable

from endivesill.http1.caller_budget import CallerBudget
from endivesill.http1.exchange import ConnectionLimits, Exchange
from endivesill.http1.input_turns import InputTurns
from endivesill.http1.opening_stamp import OpeningStamp
from endivesill.http1.server import ServerConnection
from endivesill.timer import TimerHandle, TimerService

__all__ = ["HttpListener"]

# Period of the timeout checks of all connections.
SWEEP_PERIOD_S = 0.25
BACKLOG_CONNECTIONS = 512


class HttpListener:
    """Accepts connections at one address.

    Args:
      timer: the timer service.
      address: HOST:PORT to listen on.
      handler: handles one exchange; it must finish or abort the response.
      limits: limits on requests; may be replaced at any time.
      budget: bounds what the process holds for callers; one of its own by default.

    Attributes:
      connections: the open connections.
      active_exchanges: number of exchanges that are being handled.
      closing: whether connections are closed after their next response.
      opening_stamp: value with which new connections are stamped.
      turns: the connections whose input is costly.
    """

    def __init__(
        self,
        timer: TimerService,
        address: str,
        handler: Callable[[Exchange], Awaitable[None]],
        limits: ConnectionLimits | None = None,
        budget: CallerBudget | None = None,
    ) -> None:
        self.timer = timer
        self.budget = budget or CallerBudget(timer)
        self.handler = handler
        self.limits = limits or ConnectionLimits()
        self.connections: set[ServerConnection] = set()
        self.active_exchanges = 0
        self.closing = False
        self.turns = InputTurns()
        self.opening_stamp = OpeningStamp(timer, self._has_waiting_connections)
        self._address = address
        self._server: asyncio.Server | None = None
        self._sweep_timer: TimerHandle | None = None

    async def start(self) -> None:
        """Start to listen and to check timeouts."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self),
            host,
            int(port),
            backlog=BACKLOG_CONNECTIONS,
        )
        self._sweep_timer = self.timer.call_every(SWEEP_PERIOD_S, self._sweep)

    @property
    def address(self) -> str:
        """HOST:PORT of the listening socket; available after `start`."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def _has_waiting_connections(self) -> bool:
        if self._server is None or not self._server.sockets:
            return False
        poll = select.poll()
        for listening_socket in self._server.sockets:
            poll.register(listening_socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _sweep(self) -> None:
        now_s = self.timer.now_s()
        for connection in list(self.connections):
            connection.check_timeouts(now_s)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_accepting(self) -> None:
        """Stop listening; the open connections stay."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self.stop_accepting()
        for connection in list(self.connections):
            connection.abort()
