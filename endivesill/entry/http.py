"""HTTP on raw ASGI: size-limited requests, responses and problem documents."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from endivesill import errors
from endivesill.server import CONNECTION_EXTENSION
from endivesill.timer import TimerService

__all__ = [
    "AsgiRequest",
    "RawHeaders",
    "Receive",
    "Response",
    "Scope",
    "Send",
    "problem_document",
    "raw_headers",
]

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
RawHeaders = list[tuple[bytes, bytes]]

PROBLEM_TYPE = b"application/problem+json"


class AsgiRequest:
    """An HTTP request.

    Args:
      scope: the ASGI scope of the request.
      receive: the ASGI receive callable.
    """

    def __init__(self, scope: Scope, receive: Receive) -> None:
        self._receive = receive
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.raw_path = scope.get("raw_path") or self.path.encode()
        self.query: bytes = scope.get("query_string", b"")
        self.raw_headers: RawHeaders = list(scope["headers"])
        self._headers = dict(reversed(self.raw_headers))

    def header(self, name: str) -> str | None:
        """Return the value of the first header with a lower-case name, or None."""
        value = self._headers.get(name.encode())
        return None if value is None else value.decode("latin-1")

    def check_header_size(self, limit_bytes: int) -> None:
        """Check the size of the request line and headers.

        Raises:
          RequestError: they exceed the limit (431).
        """
        size = sum(len(name) + len(value) + 4 for name, value in self.raw_headers)
        size += len(self.raw_path) + len(self.query)
        if size > limit_bytes:
            raise errors.RequestError(431, f"headers over {limit_bytes} bytes")

    async def body(
        self, timer: TimerService, limit_bytes: int, timeout_s: float
    ) -> bytes:
        """Read the complete body.

        Raises:
          RequestError: the body is too large (413) or too slow (408).
          CallerGoneError: the caller disconnected.
        """
        length = self.header("content-length")
        if length is not None and length.isdigit() and int(length) > limit_bytes:
            raise errors.RequestError(413, f"body over {limit_bytes} bytes", "body")
        try:
            return await timer.wait_for(self._read_body(limit_bytes), timeout_s)
        except errors.DeadlineExceededError:
            detail = f"no whole body within {timeout_s} s"
            raise errors.RequestError(408, detail, "body") from None

    async def _read_body(self, limit_bytes: int) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise errors.CallerGoneError()
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > limit_bytes:
                raise errors.RequestError(413, f"body over {limit_bytes} bytes", "body")
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller disconnects."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    async def run_while_connected(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine and cancel it if the caller disconnects.

        Raises:
          CallerGoneError: the caller disconnected.
        """
        task = asyncio.ensure_future(work)
        watcher = asyncio.ensure_future(self.wait_for_disconnect())
        watcher.add_done_callback(lambda _: task.cancel())
        try:
            await task
        except asyncio.CancelledError:
            if not watcher.done() or watcher.cancelled():
                raise
            raise errors.CallerGoneError() from None
        finally:
            task.cancel()
            watcher.cancel()


class Response:
    """The response to one request; it is started once and ended once.

    Args:
      scope: the ASGI scope of the request.
      send: the ASGI send callable.
      request_id: sent in the `x-request-id` header.
      closes_connection: whether to close the connection after this response.

    Attributes:
      status: the HTTP status sent; 0 before the response has started.
    """

    def __init__(
        self, scope: Scope, send: Send, request_id: str, closes_connection: bool = False
    ) -> None:
        self.send = send
        self._closes_connection = closes_connection
        self.request_id = request_id
        self.status = 0
        self._connection = scope.get("extensions", {}).get(CONNECTION_EXTENSION, {})

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Send the status and headers."""
        self.status = status
        with_id = [*headers, (b"x-request-id", self.request_id.encode())]
        if self._closes_connection:
            with_id.append((b"connection", b"close"))
        message = {"type": "http.response.start", "status": status}
        await self.send({**message, "headers": with_id})

    async def send_complete(
        self, status: int, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a complete response with a Content-Length."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.send({"type": "http.response.body", "body": body})

    async def send_problem(self, error: Exception) -> None:
        """Send an error as problem+json (RFC 9457) with its `run` state.

        If the response has already started, the connection is aborted instead, so
        that the caller does not take a truncated response for a complete one.
        """
        if self.status or isinstance(error, errors.CallerGoneError):
            self.abort()
            return
        status, document = problem_document(self.request_id, error)
        headers: RawHeaders = [(b"content-type", PROBLEM_TYPE)]
        if "retry_after_s" in document:
            seconds = max(1, math.ceil(document["retry_after_s"]))
            headers.append((b"retry-after", str(seconds).encode()))
        if status in (408, 413):
            headers.append((b"connection", b"close"))
        await self.send_complete(status, headers, json.dumps(document).encode())

    def abort(self) -> None:
        """Abort the connection immediately."""
        if "abort" in self._connection:
            self._connection["abort"]()

    def is_connection_closing(self) -> bool:
        """Return whether the connection is closing; the caller receives no more."""
        return "is_closing" in self._connection and self._connection["is_closing"]()


def problem_document(request_id: str, error: Exception) -> tuple[int, dict[str, Any]]:
    """Return the HTTP status and the problem document of an error."""
    document: dict[str, Any] = {"type": "about:blank"}
    field, retry_after_s = "", None
    if isinstance(error, errors.RequestError):
        title, run, status = "bad-request", errors.RunState.NOT_RUN, error.status
        field = error.field
    elif isinstance(error, errors.RefusedError):
        title, run, status = error.reason, error.run, error.status
        retry_after_s = error.retry_after_s
    elif isinstance(error, errors.TargetError):
        title, run, status = "target-failed", error.run, 502
    else:
        title, run, status = "internal-error", errors.RunState.UNKNOWN, 500
    detail = str(error) if isinstance(error, errors.EndivesillError) else title
    document.update(title=title, status=status, detail=detail, run=run.value)
    document["request_id"] = request_id
    if field:
        document["field"] = field
    if retry_after_s is not None:
        document["retry_after_s"] = round(retry_after_s, 3)
    return status, document


def raw_headers(headers: tuple[tuple[str, str], ...]) -> RawHeaders:
    """Encode headers for ASGI.

    A Content-Length is kept, so that the caller can detect a truncated response.
    """
    return [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
