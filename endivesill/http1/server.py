"""HTTP/1.1 server connections, with one task per connection.

A request is read completely before it is handled. Pipelined requests are queued
until the response to the current one is complete.
"""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Any

from endivesill import events
from endivesill.http1.exchange import Exchange
from endivesill.http1.head import encode_head, status_line
from endivesill.http1.request_buffer import RequestBuffer
from endivesill.http1.request_reader import RequestReader
from endivesill.http1.sockets import set_socket_options

if TYPE_CHECKING:
    from endivesill.http1.listener import HttpListener

__all__ = ["ServerConnection"]

# Queued requests of a connection above which reading is paused.
MAX_PIPELINED_REQUESTS = 8
# Bytes of queued and incomplete requests of a connection, while one is handled, above
# which reading is paused.
MAX_PIPELINED_BYTES = 65_536
# When callers whose request was given up may try again, in seconds.
RETRY_AFTER_S = b"1"
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
      held_bytes: memory that it holds of the listener's budget.
      is_sorted: whether the budget has it among those that may be given up.
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
        self._reader = RequestReader(listener, self)
        self._pending: collections.deque[Exchange] = collections.deque()
        self._wakeup = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._lost = False
        self._is_closing = False
        self._is_paused = False
        self._error: tuple[int, str] | None = None
        self.held_bytes = 0
        self.is_sorted = False
        self.unread_since_s: float | None = None
        # Memory of the requests that are queued or handled.
        self._queued_bytes = 0
        # Memory of the request that runs on after the caller has left.
        self._kept_bytes = 0

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its task."""
        self.transport = transport
        self.listener.connections.add(self)
        set_socket_options(transport)
        self._task = asyncio.get_running_loop().create_task(self._serve())
        self.listener.budget.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, costly ones in turns with other connections."""
        self._reader.feed(data)
        self.on_input()

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        self._notify_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the exchanges of the disconnect and end the task."""
        self._lost = True
        self.listener.connections.discard(self)
        self._reader.close()
        self.listener.budget.remove(self)
        self._keep_current()
        self._notify_disconnect()
        self.writable.set()
        self._wakeup.set()

    def _keep_current(self) -> None:
        """Count the request that runs on although its caller has left."""
        if self.current is not None:
            self._kept_bytes = self.current.memory_bytes
            self.listener.budget.keep(self._kept_bytes)

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
        held_bytes = self._queued_bytes
        if self._reader.started_s is not None or self._reader.is_waiting:
            held_bytes += self._reader.memory_bytes
        if self.unread_since_s is not None and self.transport is not None:
            held_bytes += self.transport.get_write_buffer_size()
        self.listener.budget.update(self, 0 if self._lost else held_bytes)

    def _notify_disconnect(self) -> None:
        for exchange in (self.current, *self._pending):
            if exchange is not None and not exchange.disconnected.is_set():
                exchange.disconnected.set()
                if exchange.on_disconnect is not None:
                    exchange.on_disconnect()

    # The reader's owner.

    def on_expect(self) -> None:
        """Tell the caller to go on with the body."""
        self.transport.write(CONTINUE_RESPONSE)

    def on_request(
        self,
        request: RequestBuffer,
        method: str,
        memory_bytes: int,
        *,
        keep_alive: bool,
    ) -> None:
        """Queue a complete request for the connection's task."""
        exchange = Exchange(
            self,
            method,
            request.target,
            request.headers(),
            bytes(request.body),
            keep_alive,
        )
        exchange.memory_bytes = memory_bytes
        self._queued_bytes += memory_bytes
        self._pending.append(exchange)
        self._wakeup.set()

    def on_bad_request(self, status: int, reason: str) -> None:
        """Discard further input; the error follows after the responses already due."""
        self._error = (status, reason)
        self._wakeup.set()
        self._update_budget()

    def on_input(self) -> None:
        """Count what was read, and pause or resume reading."""
        self._update_budget()
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading by how much waits behind a request."""
        must_pause = self._reader.is_waiting or self._has_much_behind()
        if must_pause != self._is_paused and not self._lost:
            self._is_paused = must_pause
            if must_pause:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def _has_much_behind(self) -> bool:
        """Return whether there is much input behind the request that is handled."""
        pending = self._pending
        if self._reader.started_s is None and not pending:
            return False
        if self.current is None and not pending:
            return False
        behind_bytes = self._reader.memory_bytes
        behind_bytes += sum(exchange.memory_bytes for exchange in pending)
        is_long = len(pending) > MAX_PIPELINED_REQUESTS
        return is_long or behind_bytes > MAX_PIPELINED_BYTES

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
        self._update_reading()
        self.listener.active_exchanges += 1
        try:
            await self.listener.handler(exchange)
        except Exception as error:
            events.emit(events.TASK_FAILED, task="http-handler", error=repr(error))
        finally:
            self.listener.active_exchanges -= 1
            self.current = None
            self._queued_bytes -= exchange.memory_bytes
            self.listener.budget.release(self._kept_bytes)
            self._kept_bytes = 0
            self._update_budget()
            self.idle_since_s = self.listener.timer.now_s()
        if not exchange.finished:
            self.abort()
        if exchange.closes_connection:
            self._lost = True
        # Reading may have been paused in the middle of the next request.
        self._update_reading()

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
        if self.current is not None or self._pending or self._error is not None:
            return
        reader = self._reader
        if reader.head_started_s is not None:
            if now_s - reader.head_started_s > limits.header_timeout_s:
                reader.fail(408, "the head did not come in time")
        elif reader.request.in_body:
            is_late = now_s - reader.body_came_s > limits.idle_timeout_s
            if is_late and not reader.is_waiting:
                reader.fail(408, "the body did not come in time")
        elif now_s - self.idle_since_s > limits.idle_timeout_s:
            self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read, queued or handled."""
        if self.is_idle:
            self._close()

    # The budget of the process.

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, queued or handled."""
        is_handling = self.current is not None or bool(self._pending)
        return not is_handling and not self._reader.is_reading

    @property
    def incomplete_since_s(self) -> float | None:
        """Since when it only has an incomplete request; None otherwise."""
        if self.current is not None or self._pending:
            return None
        return self._reader.started_s

    def peer_address(self) -> str:
        """Return the IP address of the caller."""
        peer = self.transport.get_extra_info("peername")
        return peer[0] if peer else ""

    def shed(self) -> None:
        """Refuse the incomplete request, for which nothing is held any more."""
        self._reader.fail(503, "too much is held for callers")

    def abort(self) -> None:
        """Reset the connection; buffered bytes are lost."""
        self._lost = True
        if self.transport is not None:
            self.transport.abort()

    def _close(self) -> None:
        """Send buffered bytes and the end of the stream; close after `LINGER_S`."""
        self._lost = True
        self._reader.close()
        self._wakeup.set()
        if self._is_closing or self.transport is None or self.transport.is_closing():
            return
        self._is_closing = True
        if self.transport.can_write_eof():
            self.transport.write_eof()
        transport = self.transport
        self.listener.timer.call_after(LINGER_S, transport.close)
