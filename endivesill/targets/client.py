"""Requests to targets over the connections that all forwarding shares."""

from __future__ import annotations

import json
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
from endivesill.timer import TimerService

__all__ = ["TargetAnswer", "TargetClient", "TargetRequest", "place_of"]

CONNECT_TIMEOUT_S = 1.0
# Targets keep idle connections longer than this.
POOLED_IDLE_S = 4.0
DEFAULT_PORTS = {"http": 80, "https": 443}
# Requests of these methods without a body have no length.
BODILESS = ("GET", "HEAD", "DELETE", "OPTIONS")

Header = tuple[str, str]


@attrs.frozen
class TargetRequest:
    """A request to a target.

    Attributes:
      method: the HTTP method.
      path: path and query, after the target's own path.
      headers: the end-to-end headers, in order.
      body: the whole body.
    """

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class TargetAnswer:
    """A target's answer, whose body is read in pieces.

    Args:
      pool: takes the connection back.
      connection: has the answer.
      head: its head.
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
        """The headers as the target sent them."""
        return tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._head.headers
        )

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty text."""
        value = header_value(self._head.headers, name.lower().encode())
        return value.decode("latin-1")

    async def read(self) -> bytes:
        """Return bytes of the body that have arrived; b"" at its end.

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
        """Return the whole body; see `read`."""
        parts = []
        while part := await self.read():
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Give the connection back; it is closed unless the answer was read whole.

        A reader that waits is woken with a TargetError.
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
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, POOLED_IDLE_S)

    async def open(
        self,
        target: Target,
        request: TargetRequest,
        *,
        fresh: bool = False,
        may_start: Callable[[], bool] | None = None,
    ) -> TargetAnswer:
        """Send a request and return its answer once the head is there.

        Args:
          target: whom it goes to.
          request: what is sent.
          fresh: whether it gets a new connection: a target may close an idle one
            just when it is used.
          may_start: asked once connected, before the first byte goes out.

        Raises:
          TargetUnreachableError: no connection was made; it has not run.
          GrantExpiredError: it may not start any more; it has not run.
          TargetError: it may have run.
        """
        address, prefix = place_of(target.url)
        try:
            connection, head = await send_request(
                self._pool,
                address,
                lambda: _encode(address, prefix, request),
                max_idle_s=0.0 if fresh else None,
                may_start=may_start or (lambda: True),
                no_body=request.method == "HEAD",
            )
        except SendError as error:
            raise _target_error(error) from None
        return TargetAnswer(self._pool, connection, head)

    async def json(
        self,
        target: Target,
        request: TargetRequest,
        timeout_s: float,
    ) -> tuple[int, Any]:
        """Send a request and return the status and the JSON document of its answer.

        Raises:
          TargetError: there is no such answer in time.
        """

        async def ask() -> tuple[int, bytes]:
            answer = await self.open(target, request)
            try:
                return answer.status, await answer.read_all()
            finally:
                answer.close()

        try:
            status, body = await self._timer.wait_for(ask(), timeout_s)
        except errors.DeadlineExceededError:
            raise errors.TargetError(f"no answer within {timeout_s} s") from None
        if status != 200:
            return status, body.decode("utf-8", "replace")
        try:
            return status, json.loads(body)
        except ValueError as error:
            raise errors.TargetError(f"no JSON document: {error}") from None

    async def close(self) -> None:
        """Close idle connections."""
        self._pool.close()


def place_of(url: str) -> tuple[str, str]:
    """Return the address that the pool takes and the path before every path."""
    parts = urllib.parse.urlsplit(url)
    host = parts.hostname or ""
    port = parts.port or DEFAULT_PORTS[parts.scheme]
    where = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    return (f"https://{where}" if parts.scheme == "https" else where), parts.path


def _encode(address: str, prefix: str, request: TargetRequest) -> bytes:
    start = f"{request.method} {prefix}{request.path} HTTP/1.1".encode()
    headers = [("Host", address.removeprefix("https://")), *request.headers]
    needs_length = bool(request.body) or request.method not in BODILESS
    if needs_length and not _names(request.headers, "content-length"):
        headers.append(("Content-Length", str(len(request.body))))
    pairs = [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]
    return encode_head(start, pairs) + request.body


def _names(headers: Iterable[Header], name: str) -> bool:
    return any(key.lower() == name for key, _ in headers)


def _target_error(error: SendError) -> errors.TargetError:
    if error.failure is SendFailure.NO_CONNECTION:
        return errors.TargetUnreachableError(f"no connection: {error}")
    if error.failure is SendFailure.NOT_STARTED:
        return errors.GrantExpiredError("the grant ended before the first byte")
    return errors.TargetError(f"no answer: {error}")
