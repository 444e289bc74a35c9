"""Routing of requests to targets, with credit-based admission."""

from endivesill.routing.credit_client import CreditClient
from endivesill.routing.credit_server import CreditServer
from endivesill.routing.messages import Grant, Outcome, RouteRequest
from endivesill.routing.policy import POLICIES, Candidate, Policy, policy
from endivesill.routing.prefixes import PrefixIndex, prefix_hashes
from endivesill.routing.retries import Backoff, RetryBudgets
from endivesill.routing.router import Router

__all__ = [
    "POLICIES",
    "Backoff",
    "Candidate",
    "Grant",
    "CreditServer",
    "Outcome",
    "Policy",
    "PrefixIndex",
    "RetryBudgets",
    "RouteRequest",
    "Router",
    "CreditClient",
    "policy",
    "prefix_hashes",
]
