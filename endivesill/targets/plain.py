"""Adapter for plain services, which forwards calls unchanged."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.targets.adapter import TargetAdapter, adapter
from endivesill.targets.client import TargetRequest, TargetResponse
from endivesill.targets.engine import NOT_RUN, RUN_HEADER

__all__ = ["PlainAdapter", "PlainCall", "PlainResponse", "end_to_end_headers"]

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

Header = tuple[str, str]


@attrs.frozen
class PlainCall:
    """A caller's call to a plain service.

    Attributes:
      method: the HTTP method.
      path: path and query as the caller sent them, without the service prefix.
      headers: the end-to-end headers, in order.
      body: the complete body.
      attempt_id: unique to this attempt.
      repeatable: whether the call may be sent on a pooled connection.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    attempt_id: str
    repeatable: bool = True


class PlainResponse:
    """A plain service's response, whose body is read incrementally.

    Args:
      response: the target's response, whose body has not been read.
    """

    def __init__(self, response: TargetResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers = end_to_end_headers(response.headers)

    def reports_not_run(self) -> bool:
        """Return whether the target reports that it did not run the call."""
        return self.status == 503 and self._response.header(RUN_HEADER) == NOT_RUN

    async def read(self) -> bytes:
        """Wait for bytes of the body and return them; b"" at the end.

        Raises:
          TargetError: the connection broke or was closed.
        """
        return await self._response.read()

    def close(self) -> None:
        """Release the connection, which is reused only after the end of the body."""
        self._response.close()


def end_to_end_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return headers without hop-by-hop ones, those listed in Connection included."""
    pairs = list(headers)
    listed = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | listed
    return tuple((n, v) for n, v in pairs if n.lower() not in dropped)


@adapter("plain")
class PlainAdapter(TargetAdapter):
    """Forwards calls to plain services."""

    async def call(
        self,
        target: Target,
        call: PlainCall,
        timeout_s: float,
        may_start: Callable[[], bool] | None = None,
    ) -> PlainResponse:
        """Send a call and return the response once its headers have arrived.

        Args:
          target: the plain service.
          call: the call.
          timeout_s: limit on the wait for the response headers.
          may_start: called once connected, before the first byte is sent.

        Raises:
          TargetRefusedError: the call has not run: no connection was made,
            `may_start` returned False, or the target reports so.
          TargetError: the call may have run.
        """
        headers = (*call.headers, ("X-Attempt-Id", call.attempt_id))
        request = TargetRequest(call.method, call.path, headers, call.body)
        opening = self.client.open(
            target, request, new_connection=not call.repeatable, may_start=may_start
        )
        try:
            opened = await self.timer.wait_for(opening, timeout_s)
        except errors.DeadlineExceededError:
            raise errors.TargetError(f"no answer within {timeout_s} s") from None
        response = PlainResponse(opened)
        if response.reports_not_run():
            response.close()
            raise errors.TargetRefusedError("the target says that it did not run it")
        return response
