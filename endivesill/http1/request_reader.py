"""Parses a connection's requests, costly input in turns with other connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import httptools

from endivesill import errors
from endivesill.http1.exchange import check_framing
from endivesill.http1.head import header_value
from endivesill.http1.request_buffer import RequestBuffer

if TYPE_CHECKING:
    from endivesill.http1.listener import HttpListener

__all__ = ["RequestOwner", "RequestReader"]

# Bytes that are parsed at a time, and the header lines and pieces of bodies after which
# a connection waits for its next turn.
SLICE_BYTES = 16_384
MAX_PIECES_PER_TURN = 512
# Bytes received between two parts of a body that are not body.
MAX_FRAMING_BYTES = 65_536


class RequestOwner(Protocol):
    """The connection that a reader works for."""

    def on_expect(self) -> None:
        """Tell the caller to go on with the body."""

    def on_request(
        self,
        request: RequestBuffer,
        method: str,
        memory_bytes: int,
        *,
        keep_alive: bool,
    ) -> None:
        """Take a complete request, and what it takes in memory until its response."""

    def on_bad_request(self, status: int, reason: str) -> None:
        """Refuse the request that was being read."""

    def on_input(self) -> None:
        """Take note of what was read; the incomplete request may be refused."""


class RequestReader:
    """Parses requests within the limits of a listener.

    Args:
      listener: the listener that accepted the connection.
      owner: the connection.

    Attributes:
      request: the incomplete request.
      started_s: when it began; None without one.
      head_started_s: when the first byte of an incomplete head was received; None if no
        head is being received.
      body_came_s: when the last bytes of a body came.
      is_waiting: whether the input waits for its turn.
    """

    def __init__(self, listener: HttpListener, owner: RequestOwner) -> None:
        self._listener = listener
        self._owner: RequestOwner | None = owner
        self._parser: Any = httptools.HttpRequestParser(self)
        self.request = RequestBuffer()
        self.started_s: float | None = None
        self.head_started_s: float | None = None
        self.body_came_s = listener.timer.now_s()
        self.is_waiting = False
        # The input until the next turn, and the header lines and pieces of bodies since
        # the last one.
        self._unparsed = b""
        self._pieces = 0
        self._has_body_data = False
        self._framing_bytes = 0
        self._is_closed = False
        # Whether the request is complete, but not handed on yet.
        self._is_whole = False

    @property
    def memory_bytes(self) -> int:
        """What the incomplete request and the input behind it take in memory."""
        request = self.request
        held = request.whole_memory_bytes if self._is_whole else request.memory_bytes
        return held + len(self._unparsed)

    @property
    def is_reading(self) -> bool:
        """Whether a request is incomplete."""
        return self.request.in_body or self.head_started_s is not None

    def close(self) -> None:
        """Drop the incomplete request; further input is ignored."""
        self._is_closed = True
        self._drop()
        # Both refer to this object; without the cycles, the memory is free at once.
        self._parser = None
        self._owner = None

    def _drop(self) -> None:
        self.request = RequestBuffer()
        self.started_s = None
        self._unparsed = b""

    def fail(self, status: int, reason: str) -> None:
        """Refuse the incomplete request; further input is ignored."""
        if not self._is_closed:
            self._is_closed = True
            self._drop()
            self._call_owner().on_bad_request(status, reason)

    def _call_owner(self) -> RequestOwner:
        assert self._owner is not None
        return self._owner

    # Input.

    def feed(self, data: bytes) -> None:
        """Parse received bytes up to the end of this connection's turn."""
        if self._is_closed:
            return
        if self.is_waiting:
            self._unparsed += data
            return
        self._pieces = 0
        if len(data) <= SLICE_BYTES:
            self._parse(data)
        else:
            self._parse_slices(data)
        if self._pieces > MAX_PIECES_PER_TURN and not self._is_closed:
            self.is_waiting = True
            self._listener.turns.wait(self)

    def _parse_slices(self, data: bytes) -> None:
        for start in range(0, len(data), SLICE_BYTES):
            if self._is_closed:
                return
            if self._pieces > MAX_PIECES_PER_TURN:
                self._unparsed = data[start:]
                return
            self._parse(data[start : start + SLICE_BYTES])

    def take_turn(self) -> None:
        """Go on with the input."""
        self.is_waiting = False
        data, self._unparsed = self._unparsed, b""
        if not self._is_closed:
            self.feed(data)
            self._call_owner().on_input()

    def _parse(self, data: bytes) -> None:
        """Parse bytes and enforce the limit on the head."""
        if not self.request.in_body:
            self.request.head_bytes += len(data)
        self._has_body_data = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail(400, "an upgrade of the protocol")
        except httptools.HttpParserError as error:
            self.fail(400, str(error) or type(error).__name__)
        if self._is_closed:
            return
        if self._head_exceeds_limit():
            self.fail(431, "the head is too large")
        if self._has_body_data:
            self.body_came_s = self._listener.timer.now_s()
        self._limit_framing(len(data))

    def _limit_framing(self, received_bytes: int) -> None:
        """Bound chunk sizes, chunk extensions and trailers without body bytes."""
        if not self.request.in_body or self._has_body_data:
            self._framing_bytes = 0
            return
        self._framing_bytes += received_bytes
        # The head may have come with the same data.
        limit_bytes = MAX_FRAMING_BYTES + self._listener.limits.header_bytes
        if self._framing_bytes > limit_bytes:
            self.fail(400, "too many framing bytes")

    def _head_exceeds_limit(self) -> bool:
        return (
            not self.request.in_body
            and self.request.head_bytes > self._listener.limits.header_bytes
        )

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Start the time limit of a head, also of one that was pipelined."""
        self.head_started_s = self.started_s = self._listener.timer.now_s()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailer fields are dropped."""
        self._pieces += 1
        if self._is_closed or self.request.in_body:
            return
        if not self.request.add_header(name, value, self._listener.limits):
            self.fail(431, "the head is too large")

    def on_headers_complete(self) -> None:
        """Check the framing and the announced length before the body is read.

        Raises:
          RequestError: the framing is rejected.
        """
        if self._is_closed:
            return
        headers = self.request.headers()
        self.request.in_body = True
        self.head_started_s = None
        self.body_came_s = self._listener.timer.now_s()
        problem = check_framing(headers)
        if problem:
            raise errors.RequestError(400, problem)
        length = header_value(headers, b"content-length", b"0")
        if int(length) > self._listener.limits.body_bytes:
            self.fail(413, "the body is too large")
        elif header_value(headers, b"expect").lower() == b"100-continue":
            self._call_owner().on_expect()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body within the limit."""
        self._pieces += 1
        self._has_body_data = True
        if self._is_closed:
            return
        if not self.request.add_body(body, self._listener.limits):
            self.fail(413, "the body is too large")

    def on_message_complete(self) -> None:
        """Hand the complete request to the connection."""
        owner, request = self._owner, self.request
        if self._is_closed or owner is None:
            return
        memory_bytes = request.whole_memory_bytes
        if self._listener.budget.is_short_of(memory_bytes):
            # The request may be refused as long as nobody handles it.
            self._is_whole = True
            owner.on_input()
            self._is_whole = False
            if self._is_closed:
                return
        self.request = RequestBuffer()
        self.started_s = None
        parser = self._parser
        owner.on_request(
            request,
            parser.get_method().decode("ascii"),
            memory_bytes,
            keep_alive=parser.should_keep_alive(),
        )
