"""What the entry asks of the router and what it reports back."""

from __future__ import annotations

import enum

import attrs

from endivesill.configuration.model import Organisation, Service, Target

__all__ = ["Grant", "Outcome", "RouteRequest"]


class Outcome(enum.Enum):
    """How an attempt at a target ended.

    DONE: answered in full. CANCELLED: the caller went away. NOT_RUN: the target
    refused it or could not be reached. FAILED: the target broke off.
    """

    DONE = "done"
    CANCELLED = "cancelled"
    NOT_RUN = "not-run"
    FAILED = "failed"


@attrs.frozen
class RouteRequest:
    """A request that looks for a target.

    Attributes:
      request_id: the caller's request, the same over all attempts.
      service: the service asked for.
      organisation: who asks.
      prompt_tokens: estimated length of the prompt; 0 for a plain service.
      prefix: hashes of the prompt's prefixes, shortest first.
      maximum_output_tokens: the caller's own bound; 0 for none.
      priority: 0 is first.
      deadline_s: when the first byte must have come, on the timer's clock.
      excluded: targets that have failed this request already.
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
    """Leave to start one attempt at one target.

    The holder reports what happens; `finished` must be called once.

    Args:
      request: what was asked.
      target: where the attempt may go.
    """

    def __init__(self, request: RouteRequest, target: Target) -> None:
        self.request = request
        self.target = target

    def may_start(self) -> bool:
        """Tell whether the grant still holds; asked just before the first byte."""
        return True

    def tokens(self, count: int) -> None:
        """Report tokens that have arrived, in one block."""

    def finished(self, outcome: Outcome) -> None:
        """Report the end of the attempt."""
