"""Sends one request to one peer and reads the head of its response.

Each failure states whether the request may have run, which decides whether it may be
sent again.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from endivesill.http1.client import (
    ResponseHead,
    UpstreamConnection,
    UpstreamError,
    ignore_head,
)
from endivesill.http1.pool import ConnectionPool

__all__ = ["IsOwnResponse", "SendError", "SendFailure", "send_request"]

IsOwnResponse = Callable[[ResponseHead, bool], bool]


class SendFailure(enum.Enum):
    """Why a request has no response."""

    NO_CONNECTION = "no-connection"
    NOT_STARTED = "not-started"
    BROKEN = "broken"
    FOREIGN_RESPONSE = "foreign-answer"

    @property
    def not_run(self) -> bool:
        """Whether the request has certainly not run, so that a retry is safe."""
        return self in (SendFailure.NO_CONNECTION, SendFailure.NOT_STARTED)


class SendError(UpstreamError):
    """A request without a response.

    Attributes:
      failure: the kind of failure.
    """

    def __init__(
        self, failure: SendFailure, detail: str, *, is_refused: bool = False
    ) -> None:
        super().__init__(detail, sent=not failure.not_run, is_refused=is_refused)
        self.failure = failure


async def send_request(
    pool: ConnectionPool,
    address: str,
    encode: Callable[[], bytes],
    *,
    max_idle_s: float | None = None,
    may_start: Callable[[], bool] = lambda: True,
    on_started: Callable[[], None] = lambda: None,
    is_own_response: IsOwnResponse = lambda head, is_first: True,
    max_foreign_responses: int = 0,
    on_head: Callable[[ResponseHead], None] = ignore_head,
    no_body: bool = False,
    connect_timeout_s: float | None = None,
) -> tuple[UpstreamConnection, ResponseHead]:
    """Send a request and wait for the head of its response.

    Args:
      pool: connections to peers.
      address: the peer, as `ConnectionPool.acquire` takes it.
      encode: returns the encoded request; called after connecting.
      max_idle_s: a connection that has been idle for longer is not used; 0 for a
        new one, None for the pool's limit.
      may_start: checked after connecting, before the first byte is sent; False
        cancels the request.
      on_started: called after the request was handed to the connection; from then
        on it may have reached the peer.
      is_own_response: returns whether a response belongs to this request, given its
        head and whether the connection carries its first request.
      max_foreign_responses: number of complete responses to other requests that
        are skipped.
      on_head: called with the head of each response, also of one to another request.
      no_body: whether the response has no body, regardless of its head (HEAD).
      connect_timeout_s: time limit for connecting; None for the pool's limit.

    Returns:
      The connection, with the body of the response unread, and the head. The
      caller releases the connection.

    Raises:
      SendError: there is no response.
    """
    try:
        connection = await pool.acquire(address, max_idle_s, connect_timeout_s)
    except UpstreamError as error:
        raise SendError(
            SendFailure.NO_CONNECTION, str(error), is_refused=error.is_refused
        ) from None
    try:
        if not may_start():
            raise SendError(SendFailure.NOT_STARTED, address)
        data = encode()
        connection.on_head = on_head
        try:
            connection.send(data, no_body=no_body)
        except UpstreamError as error:
            raise SendError(SendFailure.NO_CONNECTION, str(error)) from None
        on_started()
        return connection, await _read_own_head(
            connection, is_own_response, max_foreign_responses
        )
    except BaseException:
        pool.release(connection)
        raise


async def _read_own_head(
    connection: UpstreamConnection,
    is_own_response: IsOwnResponse,
    max_foreign_responses: int,
) -> ResponseHead:
    """Read the head of this request's response; skip late ones to other requests."""
    skipped = 0
    while True:
        try:
            head = await connection.head()
            if is_own_response(head, connection.requests == 1):
                return head
            if skipped == max_foreign_responses:
                detail = f"{skipped + 1} answers to other requests"
                raise SendError(SendFailure.FOREIGN_RESPONSE, detail)
            await connection.read_all()
        except SendError:
            raise
        except UpstreamError as error:
            raise SendError(SendFailure.BROKEN, str(error)) from None
        skipped += 1
        connection.skip_response()
