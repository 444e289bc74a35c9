"""The client side of HTTP/1.1: one request at a time on a connection.

A connection is used again only after a clean and complete answer that ended
where its framing said.
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
from endivesill.http1.sockets import set_options
from endivesill.timer import TimerService

__all__ = ["ConnectionPool", "ResponseHead", "UpstreamConnection", "UpstreamError"]

# Body bytes that may wait for the reader before the connection is paused.
BUFFER_BYTES = 262_144
TLS_PREFIX = "https://"
# Kept back from the time that the peer says it keeps an idle connection.
KEEP_ALIVE_MARGIN_S = 0.5


class UpstreamError(errors.EndivesillError):
    """A request that got no complete answer.

    Attributes:
      sent: whether a byte of the request may have reached the peer.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


@attrs.frozen
class ResponseHead:
    """The head of an answer.

    Attributes:
      status: its status.
      headers: its headers as they were sent.
      framed: whether its end shows before the end of the connection.
    """

    status: int
    headers: Headers
    framed: bool

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or empty bytes."""
        return header_value(self.headers, name)


@attrs.define(eq=False)
class _Answer:
    """One answer that is being read.

    Attributes:
      headers: the headers so far.
      head: the head, once it is complete.
      pieces: parts of the body that nobody has read yet.
      buffered_bytes: their length.
      is_complete: whether the answer has ended as its framing says.
    """

    headers: Headers = attrs.Factory(list)
    head: ResponseHead | None = None
    pieces: collections.deque[bytes] = attrs.Factory(collections.deque)
    buffered_bytes: int = 0
    is_complete: bool = False


class UpstreamConnection(asyncio.Protocol):
    """A connection to one peer.

    Args:
      timer: the timer service.
      address: the peer's HOST:PORT.

    Attributes:
      reusable: whether the last exchange left the connection clean.
      idle_since_s: when the last exchange ended.
      idle_limit_s: how long the peer keeps the idle connection, if it says so.
    """

    def __init__(self, timer: TimerService, address: str) -> None:
        self._timer = timer
        self.address = address
        self.transport: Any = None
        self.reusable = True
        self.idle_since_s = timer.now_s()
        self.idle_limit_s = float("inf")
        self._lost = False
        self._busy = False
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        # The first is the one that is read now. A peer may send one that belongs
        # to another request before the right one, or one more after it.
        self._answers = collections.deque([_Answer()])
        self._failure: str | None = None
        self._changed = asyncio.Event()
        self._no_body = False

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        set_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer; an idle connection must not get any."""
        if not self._busy:
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # What comes after a complete answer does not take the answer back.
            self._fail(f"no HTTP answer: {error!r}")
            self._spoil()
        self._changed.set()

    def eof_received(self) -> bool:
        """Take the end of the stream; it ends an answer without a length."""
        self._note_end(clean=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the loss of the connection; it completes nothing."""
        self._note_end(clean=False)
        self._lost = True

    def _note_end(self, *, clean: bool) -> None:
        self.reusable = False
        newest = self._answers[-1]
        if clean and newest.head is not None and not newest.head.framed:
            newest.is_complete = True
        self._fail("the connection ended")

    def _fail(self, reason: str) -> None:
        self._failure = self._failure or reason
        self._changed.set()

    def _spoil(self) -> None:
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Begin an answer after the answer."""
        if self._answers[-1].is_complete:
            self.reusable = False
            self._answers.append(_Answer())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailer fields are dropped."""
        answer = self._answers[-1]
        if answer.head is None:
            answer.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the head."""
        answer = self._answers[-1]
        status = self._parser.get_status_code()
        if status < 200:
            answer.headers = []
            return
        lengths = header_values(answer.headers, b"content-length")
        codings = header_values(answer.headers, b"transfer-encoding")
        framed = bool(lengths or codings) or status in (204, 304)
        answer.head = ResponseHead(status, answer.headers, framed)
        if not framed or len(lengths) > 1 or (lengths and codings):
            self.reusable = False
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._note_keep_alive(answer.headers)
        if self._no_body:
            answer.is_complete = True
            self.reusable = False
        self._changed.set()

    def _note_keep_alive(self, headers: Headers) -> None:
        for part in header_value(headers, b"keep-alive").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                self.idle_limit_s = max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        answer = self._answers[-1]
        if answer.is_complete:
            return
        answer.pieces.append(body)
        answer.buffered_bytes += len(body)
        if answer.buffered_bytes > BUFFER_BYTES:
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        answer = self._answers[-1]
        if answer.head is not None and answer.head.framed:
            answer.is_complete = True

    # The exchange.

    def send(self, data: bytes, *, no_body: bool = False) -> None:
        """Send a whole request.

        Args:
          data: the bytes of its head and body.
          no_body: whether the answer has no body whatever its head says.

        Raises:
          UpstreamError: the connection is closed; nothing was sent.
        """
        if self._lost or not self.reusable or self.transport.is_closing():
            raise UpstreamError("the connection was closed while idle", sent=False)
        self._reset()
        self._no_body = no_body
        self._busy = True
        self.transport.write(data)

    async def head(self) -> ResponseHead:
        """Wait for the head of the answer.

        Raises:
          UpstreamError: the connection broke first.
        """
        answer = self._answers[0]
        while answer.head is None:
            await self._wait_for_more()
        return answer.head

    async def read(self) -> bytes:
        """Return the next part of the body; empty bytes at its end.

        Raises:
          UpstreamError: the answer broke off.
        """
        answer = self._answers[0]
        while not answer.pieces:
            if answer.is_complete:
                return b""
            await self._wait_for_more()
        data = b"".join(answer.pieces)
        answer.pieces.clear()
        if answer.buffered_bytes > BUFFER_BYTES and not self._lost:
            self.transport.resume_reading()
        answer.buffered_bytes = 0
        return data

    async def _wait_for_more(self) -> None:
        if self._failure is not None:
            raise UpstreamError(self._failure, sent=True)
        self._changed.clear()
        await self._changed.wait()

    async def read_all(self) -> bytes:
        """Return the whole body."""
        parts = []
        while part := await self.read():
            parts.append(part)
        return b"".join(parts)

    def skip_response(self) -> None:
        """Drop a complete answer to another request; the next one is read then."""
        self._answers.popleft()
        if not self._answers:
            self._answers.append(_Answer())

    def end_exchange(self) -> bool:
        """End the exchange; return whether the connection can be used again."""
        if not self._busy:
            return self.is_usable(float("inf"))
        self._busy = False
        self.idle_since_s = self._timer.now_s()
        # A body that the peer answered before it had read it is still due.
        unread = self.transport.get_write_buffer_size() > 0
        is_clean = len(self._answers) == 1 and self._answers[0].is_complete
        if self._lost or unread or not (is_clean and self.reusable):
            self.abort()
            return False
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def is_usable(self, max_idle_s: float) -> bool:
        """Tell whether an idle connection may take another request."""
        if self._lost or not self.reusable or self.transport.is_closing():
            return False
        idle_s = self._timer.now_s() - self.idle_since_s
        return idle_s < min(max_idle_s, self.idle_limit_s)


class ConnectionPool:
    """Idle connections by address.

    Args:
      timer: the timer service.
      connect_timeout_s: bound of the set-up of a connection.
      max_idle_s: age from which an idle connection is not used again.
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
        """Return a connection to a peer, an idle one or a new one.

        Args:
          address: the peer's HOST:PORT, or `https://HOST:PORT` for TLS.
          max_idle_s: an idle connection older than this is left alone; 0 for a
            new one, None for the pool's own limit.

        Raises:
          UpstreamError: no connection could be set up; nothing was sent.
        """
        limit_s = self._max_idle_s if max_idle_s is None else max_idle_s
        idle = self._idle.get(address, [])
        # The one that was used last is the last one.
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
        """Send one request and return the head and the body of its answer.

        Args:
          address: the peer's HOST:PORT.
          data: the bytes of the request's head and body.

        Raises:
          UpstreamError: there is no whole answer.
        """
        connection = await self.acquire(address)
        try:
            connection.send(data)
            return await connection.head(), await connection.read_all()
        finally:
            self.release(connection)

    def release(self, connection: UpstreamConnection) -> None:
        """End a connection's exchange and keep it if it is clean."""
        if connection.end_exchange():
            self._idle.setdefault(connection.address, []).append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def prune(self) -> None:
        """Close idle connections that are too old to be used again."""
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
