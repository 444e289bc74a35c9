"""HTTP client for requests to targets, with pooled connections."""

from __future__ import annotations

import urllib.parse
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.http1 import (
    ConnectionPool,
    ResponseHead,
    SendError,
    SendFailure,
    UpstreamConnection,
    UpstreamError,
    encode_head,
    header_value,
    send_request,
)
from endivesill.json_text import parse_json
from endivesill.timer import TimerService

__all__ = ["TargetClient", "TargetRequest", "TargetResponse", "split_target_url"]

CONNECT_TIMEOUT_S = 1.0
# Shorter than the idle timeout of the targets.
POOL_IDLE_TIMEOUT_S = 4.0
DEFAULT_PORTS = {"http": 80, "https": 443}
# Requests of these methods get no Content-Length header if they have no body.
METHODS_WITHOUT_LENGTH = ("GET", "HEAD", "DELETE", "OPTIONS")

Header = tuple[str, str]


@attrs.frozen
class TargetRequest:
    """A request to a target.

    Attributes:
      method: the HTTP method.
      path: path and query, appended to the path of the target's URL.
      headers: the end-to-end headers, in order.
      body: the complete body.
    """

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class TargetResponse:
    """A target's response, whose body is read incrementally.

    Args:
      pool: the pool to which the connection returns.
      connection: the connection that receives the response.
      head: the status and headers of the response.
    """

    def __init__(
        self, pool: ConnectionPool, connection: UpstreamConnection, head: ResponseHead
    ) -> None:
        self._pool = pool
        self._connection: UpstreamConnection | None = connection
        self._head = head
        self.status = head.status

    @property
    def headers(self) -> tuple[Header, ...]:
        """The headers in the order in which the target sent them."""
        return tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._head.headers
        )

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        value = header_value(self._head.headers, name.lower().encode())
        return value.decode("latin-1")

    async def read(self) -> bytes:
        """Wait for bytes of the body and return them; b"" at the end.

        Raises:
          TargetError: the connection broke or was closed.
        """
        if self._connection is None:
            raise errors.TargetError("the answer was closed")
        try:
            return await self._connection.read()
        except UpstreamError as error:
            raise errors.TargetError(f"no whole answer: {error}") from None

    async def read_all(self) -> bytes:
        """Return the rest of the body; raises the errors of `read`."""
        parts = []
        while part := await self.read():
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Release the connection, which is reused only if the body was read to its end.

        A pending `read` raises TargetError.
        """
        if self._connection is not None:
            self._pool.release(self._connection)
            self._connection = None


class TargetClient:
    """Sends requests to all targets.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, POOL_IDLE_TIMEOUT_S)

    async def open(
        self,
        target: Target,
        request: TargetRequest,
        *,
        new_connection: bool = False,
        may_start: Callable[[], bool] | None = None,
    ) -> TargetResponse:
        """Send a request and return the response once its head has arrived.

        Args:
          target: the target.
          request: the request.
          new_connection: whether to use a new connection. A target may close an
            idle pooled one at the moment when the request is sent.
          may_start: called once connected, before the first byte is sent.

        Raises:
          TargetUnreachableError: no connection was made; the request has not run.
          GrantExpiredError: `may_start` returned False; the request has not run.
          TargetError: the request may have run.
        """
        address, prefix = split_target_url(target.url)
        try:
            connection, head = await send_request(
                self._pool,
                address,
                lambda: _encode_request(address, prefix, request),
                max_idle_s=0.0 if new_connection else None,
                may_start=may_start or (lambda: True),
                no_body=request.method == "HEAD",
            )
        except SendError as error:
            raise _target_error(error) from None
        return TargetResponse(self._pool, connection, head)

    async def json(
        self,
        target: Target,
        request: TargetRequest,
        timeout_s: float,
    ) -> tuple[int, Any]:
        """Send a request and return the status and body of the response.

        Returns:
          The parsed JSON body for status 200; the text of the body otherwise.

        Raises:
          TargetError: no response in time, or status 200 without valid JSON.
        """

        async def exchange() -> tuple[int, bytes]:
            response = await self.open(target, request)
            try:
                return response.status, await response.read_all()
            finally:
                response.close()

        try:
            status, body = await self._timer.wait_for(exchange(), timeout_s)
        except errors.DeadlineExceededError:
            raise errors.TargetError(f"no answer within {timeout_s} s") from None
        if status != 200:
            return status, body.decode("utf-8", "replace")
        try:
            return status, parse_json(body)
        except ValueError as error:
            raise errors.TargetError(f"no JSON document: {error}") from None

    async def close(self) -> None:
        """Close idle connections."""
        self._pool.close()


def split_target_url(url: str) -> tuple[str, str]:
    """Return the pool's address for a target's URL, and the URL's path."""
    parts = urllib.parse.urlsplit(url)
    host = parts.hostname or ""
    port = parts.port or DEFAULT_PORTS[parts.scheme]
    authority = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    return (
        f"https://{authority}" if parts.scheme == "https" else authority
    ), parts.path


def _encode_request(address: str, prefix: str, request: TargetRequest) -> bytes:
    start = f"{request.method} {prefix}{request.path} HTTP/1.1".encode()
    headers = [("Host", address.removeprefix("https://")), *request.headers]
    needs_length = bool(request.body) or request.method not in METHODS_WITHOUT_LENGTH
    if needs_length and not _has_header(request.headers, "content-length"):
        headers.append(("Content-Length", str(len(request.body))))
    pairs = [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]
    return encode_head(start, pairs) + request.body


def _has_header(headers: Iterable[Header], name: str) -> bool:
    return any(key.lower() == name for key, _ in headers)


def _target_error(error: SendError) -> errors.TargetError:
    if error.failure is SendFailure.NO_CONNECTION:
        return errors.TargetUnreachableError(f"no connection: {error}")
    if error.failure is SendFailure.NOT_STARTED:
        return errors.GrantExpiredError("the grant ended before the first byte")
    return errors.TargetError(f"no answer: {error}")
