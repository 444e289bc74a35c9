"""One request of a caller and the way to answer it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs

from endivesill.http1.head import (
    Headers,
    encode_head,
    header_value,
    header_values,
    status_line,
)

if TYPE_CHECKING:
    from endivesill.http1.server import ServerConnection

__all__ = ["ConnectionLimits", "Exchange", "check_framing"]


@attrs.define
class ConnectionLimits:
    """What a caller may send.

    Attributes:
      header_bytes: size of a head.
      body_bytes: size of a body.
      header_timeout_s: time from the first byte of a head to its end.
      idle_timeout_s: time without a request on an open connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange:
    """One request and the way to answer it.

    Attributes:
      method: the request's method.
      target: the request target as it was sent.
      headers: the request's headers as they were sent.
      body: the whole body.
      received_s: when the last byte of the request was read.
      disconnected: set once the caller has closed the connection or it broke.
      on_disconnect: called when that happens, if set.
      head_sent: whether a head was written.
      closes_connection: whether the connection ends with this answer.
    """

    def __init__(
        self,
        connection: ServerConnection,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        keep_alive: bool,
    ) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_s = connection.listener.timer.now_s()
        self.disconnected = asyncio.Event()
        self.on_disconnect: Callable[[], Any] | None = None
        self.head_sent = False
        self.finished = False
        self.closes_connection = not keep_alive

    def header(self, name: bytes) -> bytes:
        """Return the first value of a request header, or empty bytes."""
        return header_value(self.headers, name)

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a whole answer."""
        length = (b"Content-Length", b"%d" % len(body))
        head = self._head(status, [*headers, length])
        self._write(head if self.method == "HEAD" else head + body)
        self.finished = True

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of an answer of unknown length."""
        chunked = (b"Transfer-Encoding", b"chunked")
        self._write(self._head(status, [*headers, chunked]))

    def send(self, data: bytes) -> None:
        """Write a part of the body."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """End the body of an answer of unknown length."""
        self._write(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Break the connection, so that no answer looks complete."""
        self.finished = True
        self.closes_connection = True
        self.connection.abort()

    async def drain(self) -> None:
        """Wait until the caller has read most of what was written."""
        await self.connection.writable.wait()

    def _head(self, status: int, headers: Headers) -> bytes:
        self.head_sent = True
        if self.connection.listener.closing:
            self.closes_connection = True
        if self.closes_connection:
            headers = [*headers, (b"Connection", b"close")]
        return encode_head(status_line(status), headers)

    def _write(self, data: bytes) -> None:
        if not self.disconnected.is_set():
            self.connection.transport.write(data)


def check_framing(headers: Headers) -> str:
    """Return why a head could be read in two ways, or the empty string."""
    lengths = header_values(headers, b"content-length")
    codings = header_values(headers, b"transfer-encoding")
    if len(lengths) > 1 or (lengths and codings):
        return "the length is given twice"
    if lengths and not lengths[0].isdigit():
        return "the length is no number"
    if codings and (len(codings) > 1 or codings[0].lower() != b"chunked"):
        return "a transfer coding other than chunked"
    if len(header_values(headers, b"host")) != 1:
        return "not exactly one Host"
    return ""
