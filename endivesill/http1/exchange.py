"""One request received by a server connection, and its response."""

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
    from endivesill.http1.caller_budget import CallerBudget
    from endivesill.http1.server import ServerConnection

__all__ = ["ConnectionLimits", "Exchange", "check_framing"]


@attrs.define
class ConnectionLimits:
    """Limits on what a caller may send.

    Attributes:
      header_bytes: maximum size of a request head.
      body_bytes: maximum size of a request body.
      header_timeout_s: maximum time from the first byte of a head to its end.
      idle_timeout_s: maximum time without a request on an open connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange:
    """One request and its response.

    Attributes:
      method: the request method.
      target: the request target as received.
      headers: the request headers as received, in order.
      body: the complete request body.
      received_s: when the last byte of the request was read.
      disconnected: set when the caller closes the connection or it fails.
      on_disconnect: called once when that happens, if set.
      head_sent: whether the response head was written.
      finished: whether the response is complete or aborted.
      closes_connection: whether the connection is closed after the response.
      memory_bytes: what it takes of the budget for callers.
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
        self.memory_bytes = 0

    @property
    def budget(self) -> CallerBudget:
        """The budget for what the process holds for callers."""
        return self.connection.listener.budget

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header (name in lower case), or empty bytes."""
        return header_value(self.headers, name)

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a complete response."""
        length = (b"Content-Length", b"%d" % len(body))
        head = self._head(status, [*headers, length])
        self._write(head if self.method == "HEAD" else head + body)
        self.finished = True

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of a chunked response; `send` and `finish` follow."""
        chunked = (b"Transfer-Encoding", b"chunked")
        self._write(self._head(status, [*headers, chunked]))

    def send(self, data: bytes) -> None:
        """Write one chunk of the body; empty data, which would end it, is ignored."""
        if data:
            self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self, trailers: Headers | None = None) -> None:
        """Write the last chunk of a chunked response, and trailer fields."""
        self._write(encode_head(b"0", trailers or []))
        self.finished = True

    def abort(self) -> None:
        """Reset the connection, so that the response cannot look complete."""
        self.finished = True
        self.closes_connection = True
        self.connection.abort()

    async def drain(self) -> None:
        """Wait while the transport has paused writing (backpressure)."""
        await self.connection.writable.wait()

    def _head(self, status: int, headers: Headers) -> bytes:
        self.head_sent = True
        connection = self.connection
        if connection.listener.closing and not connection.has_queued_requests:
            self.closes_connection = True
        if self.closes_connection:
            headers = [*headers, (b"Connection", b"close")]
        return encode_head(status_line(status), headers)

    def _write(self, data: bytes) -> None:
        if not self.disconnected.is_set():
            self.connection.transport.write(data)


def check_framing(headers: Headers) -> str:
    """Return why the framing of a request is rejected, or the empty string.

    Ambiguous framing is rejected, since two parties could read different requests
    from the same bytes (request smuggling).
    """
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
