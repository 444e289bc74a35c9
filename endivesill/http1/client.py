"""HTTP/1.1 client connections: one request at a time, without pipelining.

A connection is reused only if its last response was complete, ended where its
framing said, and was not followed by further bytes.
"""

from __future__ import annotations

import asyncio
import collections
import ssl
from typing import Any

import attrs
import httptools

from endivesill import errors
from endivesill.http1.head import Headers, header_value, header_values
from endivesill.http1.sockets import set_socket_options
from endivesill.timer import TimerService

__all__ = ["ConnectionPool", "ResponseHead", "UpstreamConnection", "UpstreamError"]

# Unread body bytes above which reading from the connection is paused.
MAX_BUFFERED_BYTES = 262_144
TLS_PREFIX = "https://"
# Subtracted from the idle timeout that the peer announces, so that no request is
# sent while the peer closes the connection.
KEEP_ALIVE_MARGIN_S = 0.5


class UpstreamError(errors.EndivesillError):
    """A request without a complete response.

    Attributes:
      sent: whether a byte of the request may have reached the peer.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


@attrs.frozen
class ResponseHead:
    """The head of a response.

    Attributes:
      status: the status code.
      headers: the headers as received, in order.
      framed: whether the end of the body is known without the end of the
        connection.
    """

    status: int
    headers: Headers
    framed: bool

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header (name in lower case), or empty bytes."""
        return header_value(self.headers, name)


@attrs.define(eq=False)
class _Response:
    """A response that is being received.

    Attributes:
      headers: the headers received so far.
      head: the head; None until it is complete.
      body_parts: received parts of the body that have not been read.
      buffered_bytes: total length of the body parts.
      is_complete: whether the response has ended as its framing says.
    """

    headers: Headers = attrs.Factory(list)
    head: ResponseHead | None = None
    body_parts: collections.deque[bytes] = attrs.Factory(collections.deque)
    buffered_bytes: int = 0
    is_complete: bool = False


class UpstreamConnection(asyncio.Protocol):
    """A connection to one peer.

    Args:
      timer: the timer service.
      address: the peer's HOST:PORT.

    Attributes:
      reusable: False once something rules out another request.
      idle_since_s: when the last exchange ended.
      peer_idle_timeout_s: idle timeout that the peer announced, less a margin;
        infinite without one.
    """

    def __init__(self, timer: TimerService, address: str) -> None:
        self._timer = timer
        self.address = address
        self.transport: Any = None
        self.reusable = True
        self.idle_since_s = timer.now_s()
        self.peer_idle_timeout_s = float("inf")
        self._lost = False
        self._in_exchange = False
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        # The first response is the one that is being read. A peer may send a
        # response to another request before it, or another response after it.
        self._responses = collections.deque([_Response()])
        self._failure: str | None = None
        self._updated = asyncio.Event()
        self._expects_no_body = False

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        self.transport = transport
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; bytes on an idle connection close it."""
        if not self._in_exchange:
            self._invalidate()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Invalid bytes after a complete response do not invalidate the response.
            self._fail(f"no HTTP answer: {error!r}")
            self._invalidate()
        self._updated.set()

    def eof_received(self) -> bool:
        """Handle the end of the stream; it completes a response without framing."""
        self._handle_disconnect(is_eof=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection; it never completes a response."""
        self._handle_disconnect(is_eof=False)
        self._lost = True

    def _handle_disconnect(self, *, is_eof: bool) -> None:
        self.reusable = False
        last_response = self._responses[-1]
        if is_eof and last_response.head is not None and not last_response.head.framed:
            last_response.is_complete = True
        self._fail("the connection ended")

    def _fail(self, reason: str) -> None:
        self._failure = self._failure or reason
        self._updated.set()

    def _invalidate(self) -> None:
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Start another response after a complete one; rules out reuse."""
        if self._responses[-1].is_complete:
            self.reusable = False
            self._responses.append(_Response())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailer fields are dropped."""
        response = self._responses[-1]
        if response.head is None:
            response.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the head; an interim response (1xx) is dropped."""
        response = self._responses[-1]
        status = self._parser.get_status_code()
        if status < 200:
            response.headers = []
            return
        lengths = header_values(response.headers, b"content-length")
        codings = header_values(response.headers, b"transfer-encoding")
        framed = bool(lengths or codings) or status in (204, 304)
        response.head = ResponseHead(status, response.headers, framed)
        if not framed or len(lengths) > 1 or (lengths and codings):
            self.reusable = False
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._parse_keep_alive(response.headers)
        if self._expects_no_body:
            response.is_complete = True
            self.reusable = False
        self._updated.set()

    def _parse_keep_alive(self, headers: Headers) -> None:
        for part in header_value(headers, b"keep-alive").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                self.peer_idle_timeout_s = max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body; pause reading above the limit."""
        response = self._responses[-1]
        if response.is_complete:
            return
        response.body_parts.append(body)
        response.buffered_bytes += len(body)
        if response.buffered_bytes > MAX_BUFFERED_BYTES:
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark a framed response as complete."""
        response = self._responses[-1]
        if response.head is not None and response.head.framed:
            response.is_complete = True

    # Exchanges.

    def send(self, data: bytes, *, no_body: bool = False) -> None:
        """Send a complete request.

        Args:
          data: the encoded head and body.
          no_body: whether the response has no body, whatever its head says (HEAD).

        Raises:
          UpstreamError: the connection is closed; nothing was sent.
        """
        if self._lost or not self.reusable or self.transport.is_closing():
            raise UpstreamError("the connection was closed while idle", sent=False)
        self._reset()
        self._expects_no_body = no_body
        self._in_exchange = True
        self.transport.write(data)

    async def head(self) -> ResponseHead:
        """Wait for the head of the response.

        Raises:
          UpstreamError: the connection failed before the head was complete.
        """
        response = self._responses[0]
        while response.head is None:
            await self._wait_for_more()
        return response.head

    async def read(self) -> bytes:
        """Return the next part of the body; empty bytes at its end.

        Raises:
          UpstreamError: the connection failed before the response was complete.
        """
        response = self._responses[0]
        while not response.body_parts:
            if response.is_complete:
                return b""
            await self._wait_for_more()
        data = b"".join(response.body_parts)
        response.body_parts.clear()
        if response.buffered_bytes > MAX_BUFFERED_BYTES and not self._lost:
            self.transport.resume_reading()
        response.buffered_bytes = 0
        return data

    async def _wait_for_more(self) -> None:
        if self._failure is not None:
            raise UpstreamError(self._failure, sent=True)
        self._updated.clear()
        await self._updated.wait()

    async def read_all(self) -> bytes:
        """Return the rest of the body.

        Raises:
          UpstreamError: the connection failed before the response was complete.
        """
        parts = []
        while part := await self.read():
            parts.append(part)
        return b"".join(parts)

    def skip_response(self) -> None:
        """Drop a complete response to another request and continue with the next."""
        self._responses.popleft()
        if not self._responses:
            self._responses.append(_Response())

    def end_exchange(self) -> bool:
        """End the exchange; close the connection and return False if not reusable."""
        if not self._in_exchange:
            return self.is_usable(float("inf"))
        self._in_exchange = False
        self.idle_since_s = self._timer.now_s()
        # The peer may respond early, before all bytes of the request are sent.
        has_unsent_bytes = self.transport.get_write_buffer_size() > 0
        is_clean = len(self._responses) == 1 and self._responses[0].is_complete
        if self._lost or has_unsent_bytes or not (is_clean and self.reusable):
            self.abort()
            return False
        return True

    def abort(self) -> None:
        """Close the connection at once, without sending buffered bytes."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def is_usable(self, max_idle_s: float) -> bool:
        """Return whether an idle connection may carry another request."""
        if self._lost or not self.reusable or self.transport.is_closing():
            return False
        idle_s = self._timer.now_s() - self.idle_since_s
        return idle_s < min(max_idle_s, self.peer_idle_timeout_s)


class ConnectionPool:
    """Pool of idle connections by address.

    Args:
      timer: the timer service.
      connect_timeout_s: time limit for connecting, including the TLS handshake.
      max_idle_s: idle time from which a connection is not reused.

    Attributes:
      connect_attempts: number of connection attempts so far.
    """

    def __init__(
        self, timer: TimerService, connect_timeout_s: float, max_idle_s: float
    ) -> None:
        self._timer = timer
        self._connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._tls: ssl.SSLContext | None = None
        self.connect_attempts = 0

    async def acquire(
        self, address: str, max_idle_s: float | None = None
    ) -> UpstreamConnection:
        """Return an idle or a new connection to a peer.

        Args:
          address: the peer's HOST:PORT, or `https://HOST:PORT` for TLS.
          max_idle_s: a connection that has been idle for longer is not used, but
            stays in the pool; 0 for a new connection, None for the pool's limit.

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
        return await self._connect(address)

    async def _connect(self, address: str) -> UpstreamConnection:
        tls = self._tls_context() if address.startswith(TLS_PREFIX) else None
        host, _, port = address.removeprefix(TLS_PREFIX).rpartition(":")
        self.connect_attempts += 1
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(
            lambda: UpstreamConnection(self._timer, address),
            host.strip("[]"),
            int(port),
            ssl=tls,
        )
        try:
            _, connection = await self._timer.wait_for(
                connecting, self._connect_timeout_s
            )
        except (OSError, errors.DeadlineExceededError) as error:
            raise UpstreamError(f"{address}: {error!r}", sent=False) from None
        return connection

    def _tls_context(self) -> ssl.SSLContext:
        if self._tls is None:
            self._tls = ssl.create_default_context()
        return self._tls

    async def exchange(self, address: str, data: bytes) -> tuple[ResponseHead, bytes]:
        """Send one request and return the head and the body of the response.

        Args:
          address: the peer's HOST:PORT.
          data: the encoded head and body of the request.

        Raises:
          UpstreamError: there is no complete response.
        """
        connection = await self.acquire(address)
        try:
            connection.send(data)
            return await connection.head(), await connection.read_all()
        finally:
            self.release(connection)

    def release(self, connection: UpstreamConnection) -> None:
        """End the exchange of a connection and keep the connection if reusable."""
        if connection.end_exchange():
            self._idle.setdefault(connection.address, []).append(connection)

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
