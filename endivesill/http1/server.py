"""HTTP/1.1 server connections, with one task per connection.

A request is read completely before it is handled. Pipelined requests are queued
until the response to the current one is complete.
"""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Any

import httptools

from endivesill import errors, events
from endivesill.http1.exchange import Exchange, check_framing
from endivesill.http1.head import encode_head, header_value, status_line
from endivesill.http1.request_buffer import RequestBuffer, body_memory_bytes
from endivesill.http1.sockets import set_socket_options

if TYPE_CHECKING:
    from endivesill.http1.listener import HttpListener

__all__ = ["ServerConnection"]

# Queued requests of a connection above which reading is paused.
MAX_PIPELINED_REQUESTS = 8
# Bytes of queued and incomplete requests of a connection, while one is handled, above
# which reading is paused.
MAX_PIPELINED_BYTES = 65_536
# Bytes of a body that must come in each idle timeout; an honest link that is slow
# carries more in a second.
MIN_BODY_PROGRESS_BYTES = 1_024
# When callers whose request was given up may try again, in seconds.
RETRY_AFTER_S = b"1"
# Bytes received between two parts of a body that are not body.
MAX_FRAMING_BYTES = 65_536
# How long input is discarded after a close. Without it, unread input would cause a
# TCP reset that may discard the last response before the caller reads it.
LINGER_S = 1.0
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
      held_bytes: memory that it holds of the listener's budget.
      unread_since_s: since when its caller has not read what was written; None while
        it reads.
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
        self._parser: Any = httptools.HttpRequestParser(self)
        self._pending: collections.deque[Exchange] = collections.deque()
        self._wakeup = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._discarding = False
        self._lost = False
        self._is_closing = False
        self._error: tuple[int, str] | None = None
        self._has_body_data = False
        self._framing_bytes = 0
        # When the current window of a body's progress began, and its bytes then.
        self._progress = (self.idle_since_s, 0)
        self._request = RequestBuffer()
        self._request_started_s: float | None = None
        self.held_bytes = 0
        self.unread_since_s: float | None = None
        # Memory of the requests that are queued or handled.
        self._queued_bytes = 0

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its task."""
        self.transport = transport
        self.listener.connections.add(self)
        set_socket_options(transport)
        self._task = asyncio.get_running_loop().create_task(self._serve())
        self.listener.budget.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the limit on the head."""
        if self._discarding:
            return
        if not self._request.in_body:
            self._request.head_bytes += len(data)
        self._has_body_data = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(400, "an upgrade of the protocol")
        except httptools.HttpParserError as error:
            self._fail(400, str(error) or type(error).__name__)
        if self._error is None and self._head_exceeds_limit():
            self._fail(431, "the head is too large")
        self._limit_framing(len(data))
        self._update_budget()
        behind_bytes = self._request.memory_bytes
        behind_bytes += sum(len(exchange.body) for exchange in self._pending)
        is_behind = self.current is not None or bool(self._pending)
        if not self._lost and (
            len(self._pending) > MAX_PIPELINED_REQUESTS
            or (is_behind and behind_bytes > MAX_PIPELINED_BYTES)
        ):
            self.transport.pause_reading()

    def _limit_framing(self, received_bytes: int) -> None:
        """Bound chunk sizes, chunk extensions and trailers without body bytes."""
        if not self._request.in_body or self._has_body_data:
            self._framing_bytes = 0
            return
        self._framing_bytes += received_bytes
        limits = self.listener.limits
        # The head may have come with the same data.
        if self._framing_bytes > MAX_FRAMING_BYTES + limits.header_bytes:
            self._fail(400, "too many framing bytes")

    def _head_exceeds_limit(self) -> bool:
        return (
            not self._request.in_body
            and self._request.head_bytes > self.listener.limits.header_bytes
        )

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        self._notify_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the exchanges of the disconnect and end the task."""
        self._lost = True
        self.listener.connections.discard(self)
        self._request = RequestBuffer()
        # The parser refers to this object; without the cycle, the memory of both is
        # free at once.
        self._parser = None
        self.listener.budget.remove(self)
        self._notify_disconnect()
        self.writable.set()
        self._wakeup.set()

    def pause_writing(self) -> None:
        """Block `Exchange.drain`: the write buffer is full."""
        self.writable.clear()
        self.unread_since_s = self.listener.timer.now_s()
        self._update_budget()

    def resume_writing(self) -> None:
        """Unblock `Exchange.drain`."""
        self.writable.set()
        self.unread_since_s = None
        self._update_budget()

    def _update_budget(self) -> None:
        """Tell the budget what this connection holds."""
        held_bytes = self._queued_bytes + self._request.memory_bytes
        if self.unread_since_s is not None and self.transport is not None:
            held_bytes += self.transport.get_write_buffer_size()
        self.listener.budget.update(self, 0 if self._lost else held_bytes)

    def _notify_disconnect(self) -> None:
        for exchange in (self.current, *self._pending):
            if exchange is not None and not exchange.disconnected.is_set():
                exchange.disconnected.set()
                if exchange.on_disconnect is not None:
                    exchange.on_disconnect()

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Start the time limit of a head, also of one that was pipelined."""
        self.head_started_s = self._request_started_s = self.listener.timer.now_s()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailer fields are dropped."""
        request = self._request
        if self._error is not None or request.in_body:
            return
        if not request.add_header(name, value, self.listener.limits):
            self._fail(431, "the head is too large")

    def on_headers_complete(self) -> None:
        """Check the framing and the announced length before the body is read.

        Raises:
          RequestError: the framing is rejected.
        """
        headers = self._request.headers
        self._request.in_body = True
        self.head_started_s = None
        self._progress = (self.listener.timer.now_s(), 0)
        problem = check_framing(headers)
        if problem:
            raise errors.RequestError(400, problem)
        length = header_value(headers, b"content-length", b"0")
        if int(length) > self.listener.limits.body_bytes:
            self._fail(413, "the body is too large")
        elif header_value(headers, b"expect").lower() == b"100-continue":
            self.transport.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body within the limit."""
        self._has_body_data = True
        if self._error is None and not self._request.add_body(
            body, self.listener.limits
        ):
            self._fail(413, "the body is too large or in too small pieces")

    def on_message_complete(self) -> None:
        """Queue the complete request for the connection's task."""
        if self._error is not None:
            return
        request = self._request
        exchange = Exchange(
            self,
            self._parser.get_method().decode("ascii"),
            request.target,
            request.headers,
            bytes(request.body),
            self._parser.should_keep_alive(),
        )
        exchange.memory_bytes = request.head_memory_bytes + body_memory_bytes(
            len(request.body)
        )
        self._queued_bytes += exchange.memory_bytes
        self._request = RequestBuffer()
        self._request_started_s = None
        self._pending.append(exchange)
        self._wakeup.set()

    def _fail(self, status: int, reason: str) -> None:
        """Discard further input; the error follows after the responses already due."""
        if self._error is None:
            self._error = (status, reason)
            self._discarding = True
            self._request = RequestBuffer()
            self._request_started_s = None
            self._wakeup.set()
            self._update_budget()

    # The connection's task.

    async def _serve(self) -> None:
        try:
            while not self._lost:
                if self._pending:
                    # The next response waits until the caller has read earlier ones.
                    await self.writable.wait()
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
            self._queued_bytes -= exchange.memory_bytes
            self._update_budget()
            self.idle_since_s = self.listener.timer.now_s()
        if not exchange.finished:
            self.abort()
        if exchange.closes_connection:
            self._lost = True
        if not self._lost:
            # Reading may have been paused in the middle of the next request.
            self.transport.resume_reading()

    def _send_error(self, status: int, reason: str) -> None:
        events.emit(BAD_REQUEST, status=status, reason=reason)
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == 503:
            headers.append((b"Retry-After", RETRY_AFTER_S))
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
        elif self._request.in_body:
            if now_s - self._progress[0] > limits.idle_timeout_s:
                self._check_progress(now_s)
        elif now_s - self.idle_since_s > limits.idle_timeout_s:
            self._close()

    def _check_progress(self, now_s: float) -> None:
        """Reject a request whose body has not come on in the last idle timeout."""
        body_bytes = len(self._request.body)
        if body_bytes - self._progress[1] < MIN_BODY_PROGRESS_BYTES:
            self._fail(408, "the body did not come in time")
        self._progress = (now_s, body_bytes)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read, queued or handled."""
        if self.is_idle:
            self._close()

    # The budget of the process.

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, queued or handled."""
        is_reading = self._request.in_body or self.head_started_s is not None
        return self.current is None and not self._pending and not is_reading

    @property
    def incomplete_since_s(self) -> float | None:
        """Since when it only has an incomplete request; None otherwise."""
        if self.current is not None or self._pending or self._discarding:
            return None
        return self._request_started_s

    def peer_address(self) -> str:
        """Return the IP address of the caller."""
        peer = self.transport.get_extra_info("peername")
        return peer[0] if peer else ""

    def shed(self) -> None:
        """Refuse the incomplete request, for which nothing is held any more."""
        self._fail(503, "too much is held for callers")

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
