"""One request on its way through this entry."""

from __future__ import annotations

import attrs

from endivesill.fleet.model import Route, Service
from endivesill.forwarding.protocol import RequestInfo
from endivesill.forwarding.targets import ResourceDemand, Target
from endivesill.http1 import Exchange

__all__ = ["Call"]


@attrs.define(eq=False)
class Call:
    """A request and what has become of it so far.

    Attributes:
      exchange: the caller's side.
      info: what its head says.
      route: the route that it has taken.
      service: the service that it goes to.
      organisation: who sent it; empty if requests need no key.
      priority: 0 is the most urgent.
      demand: what it takes at a target.
      received_s: when it was read.
      deadline_s: when the caller or the route gives up on it.
      caller_deadline_s: when the caller gives up on it.
      sends: how many targets it was sent to.
      runs: how many of them may have begun to work on it.
      excluded: targets that it is not sent to again.
      may_have_run: whether "not run" would be untrue.
      waited_s: how long it has waited for a place.
    """

    exchange: Exchange
    info: RequestInfo
    route: Route
    service: Service
    organisation: str
    priority: int
    demand: ResourceDemand
    received_s: float
    deadline_s: float
    caller_deadline_s: float
    sends: int = 0
    runs: int = 0
    excluded: list[Target] = attrs.Factory(list)
    may_have_run: bool = False
    waited_s: float = 0.0

    def note_sent(self) -> None:
        """Note that it may have reached a target."""
        self.sends += 1
        self.may_have_run = True

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind.is_idempotent

    @property
    def latency_deadline_s(self) -> float:
        """When an answer must have begun to be on time."""
        return self.received_s + self.route.target_latency_s
