"""Routing: which target a request goes to, and when."""

from endivesill.routing.lender import Lender
from endivesill.routing.messages import Grant, Outcome, RouteRequest
from endivesill.routing.policy import POLICIES, Candidate, Policy, policy
from endivesill.routing.prefixes import PrefixIndex, prefix_hashes
from endivesill.routing.retries import Backoff, RetryBudgets
from endivesill.routing.router import Router
from endivesill.routing.wallet import Wallet

__all__ = [
    "POLICIES",
    "Backoff",
    "Candidate",
    "Grant",
    "Lender",
    "Outcome",
    "Policy",
    "PrefixIndex",
    "RetryBudgets",
    "RouteRequest",
    "Router",
    "Wallet",
    "policy",
    "prefix_hashes",
]
