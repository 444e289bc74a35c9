"""Pool of idle HTTP/1.1 connections by address."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

from endivesill import errors
from endivesill.http1.client import (
    MAX_BODY_BYTES,
    ResponseHead,
    UpstreamConnection,
    UpstreamError,
    ignore_head,
)
from endivesill.timer import TimerService

__all__ = ["ConnectionPool"]

TLS_PREFIX = "https://"


class ConnectionPool:
    """Pool of idle connections by address.

    Args:
      timer: the timer service.
      connect_timeout_s: time limit for connecting, including the TLS handshake.
      max_idle_s: idle time from which a connection is not reused.
      source_host: local IP address of the connections; empty for the system's choice.

    Attributes:
      connect_timeout_s: the argument.
      connect_attempts: number of connection attempts so far.
    """

    def __init__(
        self,
        timer: TimerService,
        connect_timeout_s: float,
        max_idle_s: float,
        source_host: str = "",
    ) -> None:
        self._timer = timer
        self._source = (source_host, 0) if source_host else None
        self.connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._tls: ssl.SSLContext | None = None
        self.connect_attempts = 0

    async def acquire(
        self,
        address: str,
        max_idle_s: float | None = None,
        connect_timeout_s: float | None = None,
    ) -> UpstreamConnection:
        """Return an idle or a new connection to a peer.

        Args:
          address: the peer's HOST:PORT, or `https://HOST:PORT` for TLS.
          max_idle_s: a connection that has been idle for longer is not used, but
            stays in the pool; 0 for a new connection, None for the pool's limit.
          connect_timeout_s: time limit for connecting; None for the pool's limit.

        Raises:
          UpstreamError: connecting failed or timed out; nothing was sent.
        """
        limit_s = self._max_idle_s if max_idle_s is None else max_idle_s
        idle = self._idle.get(address, [])
        # The most recently used connection is at the end.
        while idle and not idle[-1].is_usable(self._max_idle_s):
            idle.pop().abort()
        if idle and idle[-1].is_usable(limit_s):
            return idle.pop()
        return await self._connect(address, connect_timeout_s)

    async def _connect(
        self, address: str, connect_timeout_s: float | None
    ) -> UpstreamConnection:
        tls = self._tls_context() if address.startswith(TLS_PREFIX) else None
        host, _, port = address.removeprefix(TLS_PREFIX).rpartition(":")
        self.connect_attempts += 1
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(
            lambda: UpstreamConnection(self._timer, address),
            host.strip("[]"),
            int(port),
            ssl=tls,
            local_addr=self._source,
        )
        try:
            _, connection = await self._timer.wait_for(
                connecting,
                connect_timeout_s or self.connect_timeout_s,
                on_lost=lambda connected: connected[1].abort(),
            )
        except (OSError, errors.DeadlineExceededError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            raise UpstreamError(
                f"{address}: {error!r}", sent=False, is_refused=is_refused
            ) from None
        return connection

    def _tls_context(self) -> ssl.SSLContext:
        if self._tls is None:
            self._tls = ssl.create_default_context()
        return self._tls

    async def exchange(
        self,
        address: str,
        data: bytes,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        on_head: Callable[[ResponseHead], None] = ignore_head,
    ) -> tuple[ResponseHead, bytes]:
        """Send one request and return the head and the body of the response.

        Args:
          address: the peer's HOST:PORT.
          data: the encoded head and body of the request.
          max_body_bytes: longest body that is read.
          on_head: called with the head of each response.

        Raises:
          UpstreamError: there is no complete response.
        """
        connection = await self.acquire(address)
        try:
            connection.on_head = on_head
            connection.send(data)
            return await connection.head(), await connection.read_all(max_body_bytes)
        finally:
            self.release(connection)

    def release(self, connection: UpstreamConnection) -> None:
        """End the exchange of a connection and keep the connection if reusable."""
        if connection.end_exchange():
            self._idle.setdefault(connection.address, []).append(connection)

    def has_lost_idle(self, address: str) -> bool:
        """Return whether the newest idle connection to an address was lost."""
        idle = self._idle.get(address, [])
        return bool(idle) and not idle[-1].is_usable(float("inf"))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def prune(self) -> None:
        """Close connections that have been idle for too long."""
        for address in list(self._idle):
            kept = []
            for connection in self._idle[address]:
                if connection.is_usable(self._max_idle_s):
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)
