"""The adapter to plain services: passes calls through unchanged."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.targets.adapter import TargetAdapter, adapter
from endivesill.targets.client import TargetAnswer, TargetRequest
from endivesill.targets.engine import NOT_RUN, RUN_HEADER

__all__ = ["PlainAdapter", "PlainAnswer", "PlainCall", "end_to_end_headers"]

HOP_BY_HOP = frozenset(
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
      body: the whole body.
      attempt_id: unique to this attempt.
      repeatable: whether it may be sent on a pooled connection.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    attempt_id: str
    repeatable: bool = True


class PlainAnswer:
    """A plain service's answer, whose body is read in pieces.

    Args:
      answer: the answer, whose body has not been read.
    """

    def __init__(self, answer: TargetAnswer) -> None:
        self._answer = answer
        self.status = answer.status
        self.headers = end_to_end_headers(answer.headers)

    def says_not_run(self) -> bool:
        """Tell whether the target says itself that it did not run the call."""
        return self.status == 503 and self._answer.header(RUN_HEADER) == NOT_RUN

    async def read(self) -> bytes:
        """Return bytes of the body that have arrived; b"" at its end.

        Raises:
          TargetError: the connection broke or was closed.
        """
        return await self._answer.read()

    def close(self) -> None:
        """Close the connection, unless the answer has been read to its end."""
        self._answer.close()


def end_to_end_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return headers without the hop-by-hop ones and those Connection names."""
    pairs = list(headers)
    named = {
        word.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for word in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return tuple((n, v) for n, v in pairs if n.lower() not in dropped)


@adapter("plain")
class PlainAdapter(TargetAdapter):
    """Passes calls to plain services."""

    async def call(
        self,
        target: Target,
        call: PlainCall,
        timeout_s: float,
        may_start: Callable[[], bool] | None = None,
    ) -> PlainAnswer:
        """Send one call and return the answer once its headers are there.

        Args:
          target: the plain service.
          call: the call.
          timeout_s: the longest wait for the answer's headers.
          may_start: asked once connected, before the first byte goes out.

        Raises:
          TargetRefusedError: no connection was made or it may not start any
            more, so it has not run; or the target says so itself.
          TargetError: it may have run.
        """
        headers = (*call.headers, ("X-Attempt-Id", call.attempt_id))
        request = TargetRequest(call.method, call.path, headers, call.body)
        opening = self.client.open(
            target, request, fresh=not call.repeatable, may_start=may_start
        )
        try:
            opened = await self.timer.wait_for(opening, timeout_s)
        except errors.DeadlineExceededError:
            raise errors.TargetError(f"no answer within {timeout_s} s") from None
        answer = PlainAnswer(opened)
        if answer.says_not_run():
            answer.close()
            raise errors.TargetRefusedError("the target says that it did not run it")
        return answer
