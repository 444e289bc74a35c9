"""Routing policies, by name.

A policy picks one of the candidate targets. The baseline is the least
outstanding requests under a fixed limit; `credit` is measured against it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

from endivesill.configuration.model import Target
from endivesill.routing.credits import Loan
from endivesill.routing.messages import RouteRequest
from endivesill.routing.prefixes import PrefixIndex
from endivesill.routing.queue import FairQueue, FifoQueue, WaitQueue

__all__ = ["POLICIES", "Candidate", "Choice", "Policy", "policy"]

AFFINITY_LIMIT_TOKENS = 1024
SLOTS_COST_TOKENS = 1024
MEMORY_COST_TOKENS = 2048
STRETCH_DIVISOR = 32.0

PolicyT = TypeVar("PolicyT", bound="type[Policy]")

POLICIES: dict[str, type[Policy]] = {}


@attrs.define
class Candidate:
    """A target as a policy sees it.

    Attributes:
      target: the target.
      outstanding: requests that this entry has running there.
      reserved_tokens: memory tokens that they have reserved.
      prefill_tokens: prompt tokens sent that have given no token yet.
      loan: this entry's credits there.
    """

    target: Target
    outstanding: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    loan: Loan | None = None


@attrs.define
class Choice:
    """A decision as it is made.

    Attributes:
      request: what looks for a target.
      now_s: the time of the decision.
      output_tokens: memory that its output will need, as reserved.
      prefixes: what the targets cache, if known.
      uncached_tokens: prompt tokens to prefill at the target chosen.
      rejected: how many candidates were rejected, by reason.
      short_of_credit: candidates whose credits were too few.
    """

    request: RouteRequest
    now_s: float = 0.0
    output_tokens: int = 0
    prefixes: PrefixIndex | None = None
    uncached_tokens: int = 0
    rejected: dict[str, int] = attrs.Factory(dict)
    short_of_credit: list[Candidate] = attrs.Factory(list)

    def reject(self, reason: str) -> None:
        """Count a rejected candidate."""
        self.rejected[reason] = self.rejected.get(reason, 0) + 1


class Policy:
    """Base of the routing policies.

    Attributes:
      needs_credit: whether a target may only be used on its home's credits.
      queue: the kind of queue that requests wait in.
    """

    needs_credit = False
    queue: type[WaitQueue] = FifoQueue

    def choose(
        self, choice: Choice, candidates: Sequence[Candidate]
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
        self, choice: Choice, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the least loaded target under its limit."""
        free = [c for c in candidates if c.outstanding < c.target.maximum_slots]
        if not free:
            choice.rejected["limit"] = len(candidates)
            return None
        chosen = min(free, key=lambda c: (c.outstanding, c.target.name))
        choice.uncached_tokens = choice.request.prompt_tokens
        return chosen


@policy("credit")
class CreditPolicy(Policy):
    """Credits, memory reservations, paced prefill and prefix affinity.

    Each candidate that has room costs the tokens to prefill there, those ahead
    of them, a price for how full its memory is, and the tokens of others that
    the prefill would hold up. A cached prefix saves at most
    `AFFINITY_LIMIT_TOKENS`, so that it never outweighs a fuller target by more.
    """

    needs_credit = True
    queue = FairQueue

    def choose(
        self, choice: Choice, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the cheapest target with credits for the request."""
        best: Candidate | None = None
        best_cost = float("inf")
        request = choice.request
        need_tokens = request.prompt_tokens + choice.output_tokens
        for candidate in candidates:
            reason = self._shortage(candidate, need_tokens, choice)
            if reason:
                choice.reject(reason)
                continue
            cached = self._cached(candidate, choice)
            uncached = request.prompt_tokens - cached
            pending = candidate.prefill_tokens
            assert candidate.loan is not None
            if pending and pending + uncached > candidate.loan.prefill_tokens:
                choice.reject("prefill")
                continue
            cost = self._cost(candidate, uncached, cached, need_tokens)
            if cost < best_cost:
                best, best_cost = candidate, cost
                choice.uncached_tokens = uncached
        return best

    def _shortage(
        self, candidate: Candidate, need_tokens: int, choice: Choice
    ) -> str | None:
        loan = candidate.loan
        if loan is None or loan.expires_s <= choice.now_s:
            choice.short_of_credit.append(candidate)
            return "no-credit"
        if candidate.outstanding >= loan.slots:
            choice.short_of_credit.append(candidate)
            return "slots"
        if loan.tokens and candidate.reserved_tokens + need_tokens > loan.tokens:
            choice.short_of_credit.append(candidate)
            return "memory"
        return None

    def _cached(self, candidate: Candidate, choice: Choice) -> int:
        if choice.prefixes is None or not choice.request.prefix:
            return 0
        cached = choice.prefixes.cached_tokens(
            candidate.target.name, choice.request.prefix
        )
        return min(cached, max(0, choice.request.prompt_tokens - 1))

    def _cost(
        self, candidate: Candidate, uncached: int, cached: int, need_tokens: int
    ) -> float:
        loan = candidate.loan
        assert loan is not None
        saved = min(cached, AFFINITY_LIMIT_TOKENS)
        cost = float(candidate.prefill_tokens + uncached + cached - saved)
        if not loan.tokens:
            slots = max(1, loan.slots)
            return cost + SLOTS_COST_TOKENS * candidate.outstanding / slots
        filled = (candidate.reserved_tokens + need_tokens) / loan.tokens
        cost += MEMORY_COST_TOKENS * filled
        cost += uncached * candidate.outstanding / STRETCH_DIVISOR
        return cost
