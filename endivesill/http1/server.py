"""HTTP/1.1 server connections, with one task per connection.

A request is read completely before it is handled. Pipelined requests are queued
until the response to the current one is complete.
"""

from __future__ import annotations

import asyncio
import collections
import select
from collections.abc import Awaitable, Callable
from typing import Any

import httptools

from endivesill import errors, events
from endivesill.http1.exchange import ConnectionLimits, Exchange, check_framing
from endivesill.http1.head import Headers, encode_head, header_value, status_line
from endivesill.http1.opening_stamp import OpeningStamp
from endivesill.http1.sockets import set_socket_options
from endivesill.timer import TimerHandle, TimerService

__all__ = ["HttpListener", "ServerConnection"]

# Queued requests of a connection above which reading is paused.
MAX_PIPELINED_REQUESTS = 8
# Bytes received between two parts of a body that are not body.
MAX_FRAMING_BYTES = 65_536
# Period of the timeout checks of all connections.
SWEEP_PERIOD_S = 0.25
# How long input is discarded after a close. Without it, unread input would cause a
# TCP reset that may discard the last response before the caller reads it.
LINGER_S = 1.0
BACKLOG_CONNECTIONS = 512
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

BAD_REQUEST = events.define(
    1030, "bad-request", "A request was rejected as malformed, too large or too slow."
)


class ServerConnection(asyncio.Protocol):
    """One connection of a caller.

    Args:
      listener: the listener that accepted the connection.

    Attributes:
      opened_s: when the connection was accepted.
      stamp: value of the listener's `opening_stamp` when it was accepted.
      writable: set unless the transport has paused writing.
      current: the exchange that is being handled; None between requests.
      idle_since_s: when the last exchange ended, or the connection started.
      head_started_s: when the first byte of an incomplete head was received; None
        if no head is being received.
    """

    def __init__(self, listener: HttpListener) -> None:
        self.listener = listener
        self.transport: Any = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.current: Exchange | None = None
        self.opened_s = self.idle_since_s = listener.timer.now_s()
        self.stamp = listener.opening_stamp.value
        self.head_started_s: float | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[Exchange] = collections.deque()
        self._wakeup = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._discarding = False
        self._lost = False
        self._is_closing = False
        self._error: tuple[int, str] | None = None
        self._last_data_s = self.idle_since_s
        self._body_bytes_fed = 0
        self._framing_bytes = 0
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._field_bytes = 0
        self._in_body = False

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its task."""
        self.transport = transport
        self.listener.connections.add(self)
        set_socket_options(transport)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the limit on the head."""
        if self._discarding:
            return
        if not self._in_body:
            self._head_bytes += len(data)
        self._last_data_s = self.listener.timer.now_s()
        self._body_bytes_fed = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(400, "an upgrade of the protocol")
        except httptools.HttpParserError as error:
            self._fail(400, str(error) or type(error).__name__)
        if self._error is None and self._head_exceeds_limit():
            self._fail(431, "the head is too large")
        self._limit_framing(len(data))
        if len(self._pending) > MAX_PIPELINED_REQUESTS and not self._lost:
            self.transport.pause_reading()

    def _limit_framing(self, received_bytes: int) -> None:
        """Bound chunk sizes, chunk extensions and trailers without body bytes."""
        if not self._in_body or self._body_bytes_fed:
            self._framing_bytes = 0
            return
        self._framing_bytes += received_bytes
        limits = self.listener.limits
        # The head may have come with the same data.
        if self._framing_bytes > MAX_FRAMING_BYTES + limits.header_bytes:
            self._fail(400, "too many framing bytes")

    def _head_exceeds_limit(self) -> bool:
        return (
            not self._in_body and self._head_bytes > self.listener.limits.header_bytes
        )

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        self._notify_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the exchanges of the disconnect and end the task."""
        self._lost = True
        self.listener.connections.discard(self)
        self._notify_disconnect()
        self.writable.set()
        self._wakeup.set()

    def pause_writing(self) -> None:
        """Block `Exchange.drain`: the write buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Unblock `Exchange.drain`."""
        self.writable.set()

    def _notify_disconnect(self) -> None:
        for exchange in (self.current, *self._pending):
            if exchange is not None and not exchange.disconnected.is_set():
                exchange.disconnected.set()
                if exchange.on_disconnect is not None:
                    exchange.on_disconnect()

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Start the time limit of a head, also of one that was pipelined."""
        self.head_started_s = self.listener.timer.now_s()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailer fields are dropped."""
        if not self._in_body:
            self._headers.append((name, value))
            self._field_bytes += len(name) + len(value)
            if self._field_bytes > self.listener.limits.header_bytes:
                self._fail(431, "the head is too large")

    def on_headers_complete(self) -> None:
        """Check the framing and the announced length before the body is read.

        Raises:
          RequestError: the framing is rejected.
        """
        self._in_body = True
        self.head_started_s = None
        problem = check_framing(self._headers)
        if problem:
            raise errors.RequestError(400, problem)
        length = header_value(self._headers, b"content-length", b"0")
        if int(length) > self.listener.limits.body_bytes:
            self._fail(413, "the body is too large")
        elif header_value(self._headers, b"expect").lower() == b"100-continue":
            self.transport.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body within the limit."""
        self._body_bytes += len(body)
        self._body_bytes_fed += len(body)
        if self._body_bytes > self.listener.limits.body_bytes:
            self._fail(413, "the body is too large")
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request for the connection's task."""
        if self._error is not None:
            return
        exchange = Exchange(
            self,
            self._parser.get_method().decode("ascii"),
            self._target,
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
        )
        self._reset_request()
        self._pending.append(exchange)
        self._wakeup.set()

    def _fail(self, status: int, reason: str) -> None:
        """Discard further input; the error follows after the responses already due."""
        if self._error is None:
            self._error = (status, reason)
            self._discarding = True
            self._wakeup.set()

    # The connection's task.

    async def _serve(self) -> None:
        try:
            while not self._lost:
                if self._pending:
                    await self._handle_exchange(self._pending.popleft())
                elif self._error is not None:
                    self._send_error(*self._error)
                    return
                else:
                    self._wakeup.clear()
                    await self._wakeup.wait()
        finally:
            self._close()

    async def _handle_exchange(self, exchange: Exchange) -> None:
        self.current = exchange
        if not self._lost:
            self.transport.resume_reading()
        self.listener.active_exchanges += 1
        try:
            await self.listener.handler(exchange)
        except Exception as error:
            events.emit(events.TASK_FAILED, task="http-handler", error=repr(error))
        finally:
            self.listener.active_exchanges -= 1
            self.current = None
            self.idle_since_s = self.listener.timer.now_s()
        if not exchange.finished:
            self.abort()
        if exchange.closes_connection:
            self._lost = True

    def _send_error(self, status: int, reason: str) -> None:
        events.emit(BAD_REQUEST, status=status, reason=reason)
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self.transport.write(encode_head(status_line(status), headers))

    @property
    def has_queued_requests(self) -> bool:
        """Whether further requests were read while one is being handled."""
        return bool(self._pending)

    def check_timeouts(self, now_s: float) -> None:
        """Close an idle connection, or reject a slow request, after its timeout."""
        limits = self.listener.limits
        if self.current is not None or self._pending or self._discarding:
            return
        if self.head_started_s is not None:
            if now_s - self.head_started_s > limits.header_timeout_s:
                self._fail(408, "the head did not come in time")
        elif self._in_body:
            if now_s - self._last_data_s > limits.idle_timeout_s:
                self._fail(408, "the body did not come in time")
        elif now_s - self.idle_since_s > limits.idle_timeout_s:
            self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read, queued or handled."""
        is_reading = self._in_body or self.head_started_s is not None
        if self.current is None and not self._pending and not is_reading:
            self._close()

    def abort(self) -> None:
        """Reset the connection; buffered bytes are lost."""
        self._lost = True
        if self.transport is not None:
            self.transport.abort()

    def _close(self) -> None:
        """Send buffered bytes and the end of the stream; close after `LINGER_S`."""
        self._lost = True
        self._discarding = True
        self._wakeup.set()
        if self._is_closing or self.transport is None or self.transport.is_closing():
            return
        self._is_closing = True
        if self.transport.can_write_eof():
            self.transport.write_eof()
        transport = self.transport
        self.listener.timer.call_after(LINGER_S, transport.close)


class HttpListener:
    """Accepts connections at one address.

    Args:
      timer: the timer service.
      address: HOST:PORT to listen on.
      handler: handles one exchange; it must finish or abort the response.
      limits: limits on requests; may be replaced at any time.

    Attributes:
      connections: the open connections.
      active_exchanges: number of exchanges that are being handled.
      closing: whether connections are closed after their next response.
      opening_stamp: value with which new connections are stamped.
    """

    def __init__(
        self,
        timer: TimerService,
        address: str,
        handler: Callable[[Exchange], Awaitable[None]],
        limits: ConnectionLimits | None = None,
    ) -> None:
        self.timer = timer
        self.handler = handler
        self.limits = limits or ConnectionLimits()
        self.connections: set[ServerConnection] = set()
        self.active_exchanges = 0
        self.closing = False
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
