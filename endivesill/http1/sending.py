"""One sending of a request to one peer, up to the head of its own answer.

What each failure says of the request is the same for all who forward: whether it
may have run decides whether it may be sent again.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from endivesill.http1.client import (
    ConnectionPool,
    ResponseHead,
    UpstreamConnection,
    UpstreamError,
)

__all__ = ["SendError", "SendFailure", "send_request"]


class SendFailure(enum.Enum):
    """Why a sending has no answer."""

    NO_CONNECTION = "no-connection"
    NOT_STARTED = "not-started"
    BROKEN = "broken"
    FOREIGN_RESPONSE = "foreign-answer"

    @property
    def not_run(self) -> bool:
        """Whether the request has certainly not run."""
        return self in (SendFailure.NO_CONNECTION, SendFailure.NOT_STARTED)


class SendError(UpstreamError):
    """A sending without an answer.

    Attributes:
      failure: why.
    """

    def __init__(self, failure: SendFailure, detail: str) -> None:
        super().__init__(detail, sent=not failure.not_run)
        self.failure = failure


async def send_request(
    pool: ConnectionPool,
    address: str,
    encode: Callable[[], bytes],
    *,
    max_idle_s: float | None = None,
    may_start: Callable[[], bool] = lambda: True,
    on_started: Callable[[], None] = lambda: None,
    is_own_response: Callable[[ResponseHead], bool] = lambda head: True,
    max_foreign_responses: int = 0,
    no_body: bool = False,
) -> tuple[UpstreamConnection, ResponseHead]:
    """Send a request and wait for the head of its answer.

    Args:
      pool: connections to peers.
      address: the peer, as `ConnectionPool.acquire` takes it.
      encode: returns the request's bytes; called once connected.
      max_idle_s: an idle connection older than this is not used; 0 for a new
        one, None for the pool's own limit.
      may_start: asked once connected, before the first byte goes out.
      on_started: called when the request may have reached the peer.
      is_own_response: tells whether an answer is this request's.
      max_foreign_responses: whole answers to others that are skipped before its own.
      no_body: whether the answer has no body whatever its head says.

    Returns:
      The connection, whose answer has not been read, and the head; the caller
      releases the connection.

    Raises:
      SendError: there is no answer.
    """
    try:
        connection = await pool.acquire(address, max_idle_s)
    except UpstreamError as error:
        raise SendError(SendFailure.NO_CONNECTION, str(error)) from None
    try:
        if not may_start():
            raise SendError(SendFailure.NOT_STARTED, address)
        data = encode()
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
    is_own_response: Callable[[ResponseHead], bool],
    max_foreign_responses: int,
) -> ResponseHead:
    """Skip late answers to others that stand before this request's own."""
    skipped = 0
    while True:
        try:
            head = await connection.head()
            if is_own_response(head):
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
