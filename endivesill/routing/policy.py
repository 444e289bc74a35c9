"""Routing policies, by name.

A policy picks one of the candidate targets. The baseline is the least
outstanding requests under a fixed limit; later ones are measured against it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

from endivesill.configuration.model import Target
from endivesill.routing.messages import RouteRequest

__all__ = ["POLICIES", "Candidate", "Policy", "policy"]

PolicyT = TypeVar("PolicyT", bound="type[Policy]")

POLICIES: dict[str, type[Policy]] = {}


@attrs.define
class Candidate:
    """A target as a policy sees it.

    Attributes:
      target: the target.
      outstanding: requests that this entry has running there.
    """

    target: Target
    outstanding: int = 0


class Policy:
    """Base of the routing policies."""

    def choose(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the target to use now, or None to wait."""
        raise NotImplementedError


def policy(name: str) -> Callable[[PolicyT], PolicyT]:
    """Register a policy under the name that services give."""

    def register(kind: PolicyT) -> PolicyT:
        POLICIES[name] = kind
        return kind

    return register


@policy("least-outstanding")
class LeastOutstandingPolicy(Policy):
    """The baseline: fewest outstanding requests, fixed limit a target."""

    def choose(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the least loaded target under its limit."""
        free = [c for c in candidates if c.outstanding < c.target.maximum_slots]
        if not free:
            return None
        return min(free, key=lambda c: (c.outstanding, c.target.name))
