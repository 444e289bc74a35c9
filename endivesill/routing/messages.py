"""Messages between an entry and its router."""

from __future__ import annotations

import enum

import attrs

from endivesill.configuration.model import Organisation, Service, Target

__all__ = ["Grant", "Outcome", "RouteRequest"]


class Outcome(enum.Enum):
    """The outcome of an attempt at a target.

    DONE: the response is complete. CANCELLED: the caller disconnected. NOT_RUN: the
    target refused the attempt or could not be reached. FAILED: the response ended
    prematurely.
    """

    DONE = "done"
    CANCELLED = "cancelled"
    NOT_RUN = "not-run"
    FAILED = "failed"


@attrs.frozen
class RouteRequest:
    """A request to be routed to a target.

    Attributes:
      request_id: id of the caller's request, the same for all attempts.
      service: the requested service.
      organisation: the caller's organisation.
      prompt_tokens: estimated length of the prompt; 0 for a plain service.
      prefix: hashes of the prompt's prefixes, shortest first.
      maximum_output_tokens: limit set by the caller; 0 for none.
      priority: 0 is the highest.
      deadline_s: deadline of the first response byte, on the timer's clock.
      excluded: names of targets that have already failed this request.
    """

    request_id: str
    service: Service
    organisation: Organisation
    prompt_tokens: int = 0
    prefix: tuple[str, ...] = ()
    maximum_output_tokens: int = 0
    priority: int = 1
    deadline_s: float = float("inf")
    excluded: frozenset[str] = frozenset()


class Grant:
    """Permission to start one attempt at one target.

    The holder reports the progress of the attempt and must call `finished` once.

    Args:
      request: the request.
      target: the target of the attempt.
    """

    def __init__(self, request: RouteRequest, target: Target) -> None:
        self.request = request
        self.target = target

    def may_start(self) -> bool:
        """Return whether the grant is valid; called before the first byte is sent."""
        return True

    def tokens(self, count: int) -> None:
        """Report the number of output tokens received in one block."""

    def finished(self, outcome: Outcome) -> None:
        """Report the end of the attempt."""
