"""State of one request while this entry handles it."""

from __future__ import annotations

import attrs

from endivesill.fleet.model import Organisation, Route, Service
from endivesill.forwarding.protocol import RequestInfo
from endivesill.forwarding.targets import ResourceDemand, Target
from endivesill.http1 import Exchange

__all__ = ["Call", "hopeless_reason", "priority_of"]


def priority_of(route: Route, organisation: Organisation | None) -> int:
    """Return the priority of an organisation's requests to a route; 0 comes first."""
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority


@attrs.define(eq=False)
class Call:
    """A caller's request and its progress.

    Attributes:
      exchange: the exchange with the caller.
      info: what routing needs of its head.
      route: the route that it matched.
      service: the service chosen for it.
      organisation: who sent it; None if no key is needed.
      priority: 0 is the most urgent.
      demand: resources that it takes at a target.
      received_s: when it was read.
      deadline_s: the earlier of the caller's deadline and the route's time-out.
      caller_deadline_s: the caller's deadline.
      causes: what it may crash engines by; see `crash_causes`.
      sends: how many targets it was sent to.
      runs: how many of them may have started to run it.
      excluded: targets that it must not be sent to again.
      may_have_run: whether a target may have started to run it.
      waited_s: total time spent waiting for placements.
      is_under_way: whether a run of it has sent events for some time.
      is_suspect: whether parts of its prompt were in earlier crashes.
      is_trial: whether it is let through although its prompt is blocked.
    """

    exchange: Exchange
    info: RequestInfo
    route: Route
    service: Service
    organisation: Organisation | None
    priority: int
    demand: ResourceDemand
    received_s: float
    deadline_s: float
    caller_deadline_s: float
    causes: tuple[str, ...] = ()
    sends: int = 0
    runs: int = 0
    excluded: list[Target] = attrs.Factory(list)
    may_have_run: bool = False
    waited_s: float = 0.0
    is_under_way: bool = False
    is_suspect: bool = False
    is_trial: bool = False

    def note_sent(self) -> None:
        """Record that the request may have reached a target."""
        self.sends += 1
        self.may_have_run = True

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty without one."""
        return self.organisation.name if self.organisation is not None else ""

    @property
    def connection_age_s(self) -> float:
        """Time from the start of the caller's connection to the whole request."""
        return self.received_s - self.exchange.connection.opened_s

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind.is_idempotent

    @property
    def latency_deadline_s(self) -> float:
        """Latest start of the response that meets the route's target latency."""
        return self.received_s + self.route.target_latency_s


def hopeless_reason(call: Call, now_s: float) -> str | None:
    """Return why a request cannot be served whatever happens; None if it may be."""
    if call.route.max_attempts < 1:
        return "the route allows no attempt"
    if call.deadline_s <= now_s:
        return "no time left"
    return None
