"""What an entry keeps of requests that an engine held, until it is known to live on."""

from __future__ import annotations

import attrs

from endivesill.forwarding.call import Call
from endivesill.forwarding.target_client import ResponseBody
from endivesill.forwarding.targets import Target

__all__ = ["CompletedRun", "CutRuns", "HeldRequest", "end_reason", "request_ids"]

# Requests in one log line.
MAX_LOGGED_REQUESTS = 16


@attrs.frozen
class HeldRequest:
    """A request that an engine held, without what else its `Call` keeps.

    Attributes:
      attempt_id: its id.
      causes: what it may crash engines by.
      ended_s: when its response was complete, or its connection was lost.
      is_complete: whether its response was complete.
    """

    attempt_id: str
    causes: tuple[str, ...]
    ended_s: float
    is_complete: bool = False

    @classmethod
    def of(
        cls, call: Call, ended_s: float, *, is_complete: bool = False
    ) -> HeldRequest:
        """Return what is kept of a request."""
        return cls(call.info.attempt_id, call.causes, ended_s, is_complete)


@attrs.frozen
class CompletedRun:
    """A complete response, whose engine has yet to live on.

    Attributes:
      request: its request.
      target: the engine.
      body: the body, whose connection shows whether the engine lives on.
    """

    request: HeldRequest
    target: Target
    body: ResponseBody


@attrs.define(eq=False)
class CutRuns:
    """The runs that lost their connections at one engine.

    Attributes:
      target: the engine.
      last_s: when the last of them did.
      requests: their requests, and those of responses that were complete just before.
    """

    target: Target
    last_s: float
    requests: list[HeldRequest] = attrs.Factory(list)

    def take_ended_before(self, end_s: float) -> list[HeldRequest]:
        """Remove and return the requests that had ended before a time."""
        taken = [request for request in self.requests if request.ended_s < end_s]
        if taken:
            self.requests = [r for r in self.requests if r.ended_s >= end_s]
        return taken


def request_ids(requests: list[HeldRequest]) -> list[str]:
    """Return the ids of some requests, for logs."""
    return sorted(request.attempt_id for request in requests)[:MAX_LOGGED_REQUESTS]


def end_reason(target: Target) -> str:
    """Return why the list or a response shows an engine's end; empty if not."""
    if target.is_replaced:
        return "another target has its address"
    return "" if target.listed else "it is not listed any more"
