"""Small pieces of HTTP on raw ASGI: requests with bounds, answers, problems."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

from endivesill import errors
from endivesill.timer import TimerService

__all__ = ["AsgiRequest", "Receive", "Scope", "Send", "send_answer", "send_problem"]

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
RawHeaders = list[tuple[bytes, bytes]]

PROBLEM_TYPE = b"application/problem+json"


class AsgiRequest:
    """A caller's request.

    Args:
      scope: the ASGI scope of an HTTP request.
      receive: the ASGI channel of its body.
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
        """Return the first header of that lower-case name."""
        value = self._headers.get(name.encode())
        return None if value is None else value.decode("latin-1")

    def check_header_size(self, limit_bytes: int) -> None:
        """Refuse headers over the limit.

        Raises:
          RequestError: with status 431.
        """
        size = sum(len(name) + len(value) + 4 for name, value in self.raw_headers)
        if size > limit_bytes:
            raise errors.RequestError(431, f"headers over {limit_bytes} bytes")

    async def body(
        self, timer: TimerService, limit_bytes: int, timeout_s: float
    ) -> bytes:
        """Read the whole body.

        Raises:
          RequestError: it is too large (413) or too slow (408), or the caller
            went away (499).
        """
        length = self.header("content-length")
        if length is not None and length.isdigit() and int(length) > limit_bytes:
            raise errors.RequestError(413, f"body over {limit_bytes} bytes")
        try:
            return await timer.wait_for(self._read(limit_bytes), timeout_s)
        except errors.DeadlineExceededError:
            raise errors.RequestError(408, f"no body within {timeout_s} s") from None

    async def _read(self, limit_bytes: int) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise errors.RequestError(499, "the caller went away")
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > limit_bytes:
                raise errors.RequestError(413, f"body over {limit_bytes} bytes")
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)

    async def disconnected(self) -> None:
        """Wait until the caller goes away."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return


async def send_answer(
    send: Send, status: int, headers: RawHeaders, body: bytes
) -> None:
    """Send a whole answer."""
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})


async def send_problem(
    send: Send, request_id: str, error: errors.EndivesillError
) -> None:
    """Send an error as problem+json (RFC 9457) with its `run` state."""
    status, document = problem_document(request_id, error)
    headers: RawHeaders = [
        (b"content-type", PROBLEM_TYPE),
        (b"x-request-id", request_id.encode()),
    ]
    if "retry_after_s" in document:
        seconds = max(1, round(document["retry_after_s"]))
        headers.append((b"retry-after", str(seconds).encode()))
    body = json.dumps(document).encode()
    await send_answer(send, status, headers, body)


def problem_document(
    request_id: str, error: errors.EndivesillError
) -> tuple[int, dict[str, Any]]:
    """Return the status and the problem document of an error."""
    document: dict[str, Any] = {"request_id": request_id, "detail": str(error)}
    if isinstance(error, errors.RequestError):
        document.update(type="about:blank", title="bad request", run="not-run")
        document["status"] = error.status
        if error.field:
            document["field"] = error.field
        return error.status, document
    if isinstance(error, errors.RefusedError):
        title = error.reason
        run, status = error.run, error.status
        if error.retry_after_s is not None:
            document["retry_after_s"] = round(error.retry_after_s, 3)
    elif isinstance(error, errors.TargetError):
        title, run, status = "target-failed", error.run, 502
    else:
        title, run, status = "unavailable", errors.RunState.UNKNOWN, 503
    document.update(type="about:blank", title=title, run=run.value, status=status)
    return status, document
