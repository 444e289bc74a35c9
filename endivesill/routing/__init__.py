"""Routing: which target a request goes to, and when."""

from endivesill.routing.messages import Grant, Outcome, RouteRequest
from endivesill.routing.policy import POLICIES, Candidate, Policy, policy
from endivesill.routing.router import Router

__all__ = [
    "POLICIES",
    "Candidate",
    "Grant",
    "Outcome",
    "Policy",
    "RouteRequest",
    "Router",
    "policy",
]
