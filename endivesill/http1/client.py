"""HTTP/1.1 client connections: one request at a time, without pipelining.

A connection is reused only if its last response was complete, ended as its
framing specifies, and was not followed by further bytes.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Any

import httptools

from endivesill import errors
from endivesill.http1.head import Headers, header_value, header_values
from endivesill.http1.response import (
    ReceivedResponse,
    ResponseHead,
    is_final_status,
)
from endivesill.http1.sockets import set_socket_options
from endivesill.timer import TimerService

__all__ = [
    "MAX_BODY_BYTES",
    "ResponseHead",
    "UpstreamConnection",
    "UpstreamError",
    "bounds_exceeded",
]

# Bytes that are received at a time; each connection may hold as many beyond a bound.
RECEIVE_BYTES = 65_536
# Unread body bytes above which reading from the connection is paused.
MAX_BUFFERED_BYTES = 65_536
# Body of a response that is read as a whole.
MAX_BODY_BYTES = 2_097_152
# Bytes received between two parts of a body that are not body: heads, interim
# responses, chunk sizes, chunk extensions and trailers.
MAX_FRAMING_BYTES = 65_536
# Header fields and trailer fields of one response.
MAX_HEADER_FIELDS = 256
INTERIM_STATUSES = range(100, 200)
# Responses received in one exchange, including those to other requests.
MAX_RESPONSES = 4
# Subtracted from the idle timeout that the peer announces, so that no request is
# sent while the peer closes the connection.
KEEP_ALIVE_MARGIN_S = 0.5


# Connections closed because the peer exceeded a bound, by the name of the bound.
bounds_exceeded: collections.Counter[str] = collections.Counter()


class UpstreamError(errors.EndivesillError):
    """A request without a complete response.

    Attributes:
      sent: whether a byte of the request may have reached the peer.
      is_refused: whether the peer's host has refused the connection.
    """

    def __init__(self, detail: str, *, sent: bool, is_refused: bool = False) -> None:
        super().__init__(detail)
        self.sent = sent
        self.is_refused = is_refused


def ignore_head(head: ResponseHead) -> None:
    """Ignore the head of a response."""


# Received bytes are parsed before the next ones are received, so that one buffer serves
# all connections of the process.
_receive_buffer = bytearray(RECEIVE_BYTES)


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to one peer.

    Args:
      timer: the timer service.
      address: the peer's HOST:PORT.

    Attributes:
      reusable: False once something rules out another request.
      requests: number of requests sent.
      idle_since_s: when the last exchange ended.
      peer_idle_timeout_s: idle timeout that the peer announced, less a margin;
        infinite without one.
      on_head: called with the head of each response, also of one to another request.
      ended_by_peer: whether the peer has ended the connection without having
        announced that in a response.
    """

    def __init__(self, timer: TimerService, address: str) -> None:
        self._timer = timer
        self.address = address
        self.transport: Any = None
        self.reusable = True
        self.requests = 0
        self.idle_since_s = timer.now_s()
        self.peer_idle_timeout_s = float("inf")
        self.on_head: Callable[[ResponseHead], None] = ignore_head
        self.ended_by_peer = False
        self._lost = False
        self._in_exchange = False
        self._reset()

    def _reset(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        # The first response is the one that is being read. A peer may send a
        # response to another request before it, or another response after it.
        self._responses = collections.deque([ReceivedResponse()])
        self._failure: str | None = None
        self._updated = asyncio.Event()
        self._expects_no_body = False
        self._framing_bytes = 0
        self._body_bytes_fed = 0

    # asyncio.BufferedProtocol.

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next received bytes."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        self.data_received(bytes(memoryview(_receive_buffer)[:nbytes]))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        self.transport = transport
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; bytes on an idle connection close it."""
        if not self._in_exchange:
            self._invalidate()
            return
        self._body_bytes_fed = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Invalid bytes after a complete response do not invalidate the response.
            self._fail(f"no HTTP answer: {error!r}")
            self._invalidate()
        if self._body_bytes_fed:
            self._framing_bytes = 0
        else:
            self._framing_bytes += len(data)
            if self._framing_bytes > MAX_FRAMING_BYTES:
                self._exceed("framing bytes")
        self._updated.set()

    def _reject(self, reason: str) -> UpstreamError:
        """Close the connection because of what the peer sends.

        Returns:
          The error to raise, which also ends the parsing of the received data.
        """
        self._fail(reason)
        self._invalidate()
        return UpstreamError(reason, sent=True)

    def _exceed(self, bound: str) -> UpstreamError:
        """Close the connection because the peer sends more than a response may have.

        Returns:
          The error to raise, which also ends the parsing of the received data.
        """
        bounds_exceeded[bound] += 1
        return self._reject(f"the response exceeds the bound on {bound}")

    def eof_received(self) -> bool:
        """Handle the end of the stream; it completes a response without framing."""
        self._handle_disconnect(is_eof=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection; it never completes a response."""
        self._handle_disconnect(is_eof=False)
        self._lost = True
        # The parser refers to this object; without the cycle, the memory of both is
        # free at once.
        self._parser = None

    def _handle_disconnect(self, *, is_eof: bool) -> None:
        if self.reusable:
            self.ended_by_peer = True
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
        """Start another response after a complete one; rules out reuse.

        Raises:
          UpstreamError: too many responses; ends the parsing.
        """
        if not self._responses[-1].is_complete:
            return
        self.reusable = False
        if len(self._responses) >= MAX_RESPONSES:
            raise self._exceed("responses")
        self._responses.append(ReceivedResponse())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header or a trailer field.

        Raises:
          UpstreamError: too many fields; ends the parsing.
        """
        response = self._responses[-1]
        response.field_count += 1
        if response.field_count > MAX_HEADER_FIELDS:
            raise self._exceed("header fields")
        fields = response.headers if response.head is None else response.trailers
        fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the head; an interim response (1xx) is dropped.

        Raises:
          UpstreamError: the status is no HTTP status; ends the parsing.
        """
        response = self._responses[-1]
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES:
            response.headers = []
            return
        if not is_final_status(status):
            raise self._reject(f"no HTTP answer: status {status:03}")
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
        self.on_head(response.head)
        self._updated.set()

    def _parse_keep_alive(self, headers: Headers) -> None:
        for part in header_value(headers, b"keep-alive").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                self.peer_idle_timeout_s = max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body; pause reading above the limit.

        Raises:
          UpstreamError: an interim response has a body; ends the parsing.
        """
        response = self._responses[-1]
        if response.head is None:
            # It would become the start of the body of the final response.
            raise self._reject("no HTTP answer: an interim response with a body")
        self._body_bytes_fed += len(body)
        if response.is_complete:
            return
        response.body += body
        if len(response.body) > MAX_BUFFERED_BYTES:
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
          no_body: whether the response has no body, regardless of its head (HEAD).

        Raises:
          UpstreamError: the connection is closed; nothing was sent.
        """
        if self._lost or not self.reusable or self.transport.is_closing():
            raise UpstreamError("the connection was closed while idle", sent=False)
        self._reset()
        self._expects_no_body = no_body
        self._in_exchange = True
        self.requests += 1
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
        while not response.body:
            if response.is_complete:
                return b""
            await self._wait_for_more()
        data = bytes(response.body)
        response.body.clear()
        if len(data) > MAX_BUFFERED_BYTES and not self._lost:
            self.transport.resume_reading()
        return data

    def trailer(self, name: bytes) -> bytes:
        """Return a trailer field (name in lower case) of the response read so far."""
        return header_value(self._responses[0].trailers, name)

    async def _wait_for_more(self) -> None:
        if self._failure is not None:
            raise UpstreamError(self._failure, sent=True)
        self._updated.clear()
        await self._updated.wait()

    async def read_all(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body.

        Raises:
          UpstreamError: the connection failed before the response was complete, or
            the body is longer than `max_bytes`.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while part := await self.read():
            size_bytes += len(part)
            if size_bytes > max_bytes:
                # The error keeps this frame for as long as it is handled.
                parts.clear()
                raise self._exceed("body bytes")
            parts.append(part)
        return b"".join(parts)

    def skip_response(self) -> None:
        """Drop a complete response to another request and continue with the next."""
        self._responses.popleft()
        if not self._responses:
            self._responses.append(ReceivedResponse())

    def end_exchange(self) -> bool:
        """End the exchange; close the connection and return False if not reusable."""
        if not self._in_exchange:
            return self.is_usable(float("inf"))
        self._in_exchange = False
        self.on_head = ignore_head
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
