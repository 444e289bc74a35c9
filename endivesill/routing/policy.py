"""Routing policies, by name.

A policy chooses one of the candidate targets. `least-outstanding` is the baseline
that `credit` is compared with.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence, Set
from typing import TypeVar

import attrs

from endivesill.configuration.model import Target
from endivesill.routing.credits import Allocation
from endivesill.routing.messages import RouteRequest
from endivesill.routing.prefixes import NO_HOLDERS, PrefixIndex
from endivesill.routing.queue import FairQueue, FifoQueue, WaitQueue

__all__ = ["POLICIES", "Candidate", "Decision", "Policy", "policy"]

AFFINITY_LIMIT_TOKENS = 1024
SLOTS_COST_TOKENS = 1024
MEMORY_COST_TOKENS = 2048
STRETCH_DIVISOR = 32.0
SAMPLE_SIZE = 6
AFFINITY_SAMPLE_SIZE = 2

PolicyT = TypeVar("PolicyT", bound="type[Policy]")

POLICIES: dict[str, type[Policy]] = {}


@attrs.define(eq=False)
class Candidate:
    """A target with this entry's load and credits there.

    Attributes:
      target: the target.
      outstanding: requests in flight.
      reserved_tokens: memory tokens that those requests have reserved.
      prefill_tokens: prompt tokens of requests without a first token yet.
      allocation: the entry's credits; None without any.
      minimum_outstanding: the fewest requests in flight since the last credit
        request that was answered.
      minimum_since_request: the fewest requests in flight since the last credit
        request.
    """

    target: Target
    outstanding: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    allocation: Allocation | None = None
    minimum_outstanding: int = 0
    minimum_since_request: int = 0

    def started(self) -> None:
        """Count a request that was granted the target."""
        self.outstanding += 1

    def ended(self) -> None:
        """Count the end of a request."""
        self.outstanding -= 1
        self.minimum_outstanding = min(self.minimum_outstanding, self.outstanding)
        self.minimum_since_request = min(self.minimum_since_request, self.outstanding)

    def credit_requested(self) -> int:
        """Begin a new period of the minimum; return the minimum to report."""
        self.minimum_since_request = self.outstanding
        return self.minimum_outstanding

    def credit_received(self, allocation: Allocation | None) -> None:
        """Set the allocation, or None, that ends the reported period."""
        self.allocation = allocation
        self.minimum_outstanding = self.minimum_since_request


@attrs.define
class Decision:
    """Input and result of one choice of a target.

    Attributes:
      request: the request to place.
      now_s: the time of the decision.
      output_tokens: memory tokens to reserve for the output.
      prefixes: index of the prefixes that the targets cache, if known.
      uncached_tokens: prompt tokens to prefill at the chosen target.
      rejected: number of rejected candidates by reason.
      short_of_credit: candidates rejected for a lack of credits.
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

    def reject_short_of_credit(self, reason: str, candidate: Candidate) -> None:
        """Count a candidate rejected for a lack of credits."""
        self.reject(reason)
        self.short_of_credit.append(candidate)

    def holders(self) -> Set[str]:
        """Return the names of the targets that cache a prefix of the prompt."""
        if self.prefixes is None:
            return NO_HOLDERS
        return self.prefixes.holders(self.request.prefix)

    def cached_tokens(self, candidate: Candidate) -> int:
        """Return how many prompt tokens a target caches; at least one is uncached."""
        assert self.prefixes is not None
        name = candidate.target.name
        cached = self.prefixes.cached_tokens(name, self.request.prefix)
        return min(cached, max(0, self.request.prompt_tokens - 1))


class Policy:
    """Base of the routing policies.

    Attributes:
      needs_credit: whether a request needs credits from the target's owner.
      queue: the class of the queue in which requests wait.
    """

    needs_credit = False
    queue: type[WaitQueue] = FifoQueue

    def choose(
        self, decision: Decision, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the target to use now, or None if the request has to wait."""
        raise NotImplementedError


def policy(name: str) -> Callable[[PolicyT], PolicyT]:
    """Register a policy class under the name used in a service's configuration."""

    def register(policy_class: PolicyT) -> PolicyT:
        POLICIES[name] = policy_class
        return policy_class

    return register


@policy("least-outstanding")
class LeastOutstandingPolicy(Policy):
    """Fewest requests in flight, with the fixed limit of each target."""

    def choose(
        self, decision: Decision, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the target with the fewest requests in flight under its limit."""
        free = [c for c in candidates if c.outstanding < c.target.maximum_slots]
        if not free:
            decision.rejected["limit"] = len(candidates)
            return None
        chosen = min(free, key=lambda c: (c.outstanding, c.target.name))
        decision.uncached_tokens = decision.request.prompt_tokens
        return chosen


@policy("credit")
class CreditPolicy(Policy):
    """Credits, memory reservations, limited prefill and prefix affinity.

    The cost of a candidate with capacity is the sum of the prompt tokens to
    prefill, the prompt tokens already in prefill there, a price for its memory
    utilisation, and the delay that the prefill causes to running requests. A
    cached prefix saves at most `AFFINITY_LIMIT_TOKENS`, which bounds the extra
    load accepted for the sake of affinity.
    """

    needs_credit = True
    queue = FairQueue

    def __init__(self) -> None:
        self._sample_start = 0

    def choose(
        self, decision: Decision, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the target of least cost that has credits for the request."""
        holders = decision.holders()
        if len(candidates) <= SAMPLE_SIZE:
            return self._cheapest(decision, candidates, holders)
        sample = self._sample(candidates, holders)
        chosen = self._cheapest(decision, sample, holders)
        if chosen is not None:
            return chosen
        rest = [candidate for candidate in candidates if candidate not in sample]
        return self._cheapest(decision, rest, holders)

    def _sample(
        self, candidates: Sequence[Candidate], holders: Set[str]
    ) -> list[Candidate]:
        """Return a rotating sample of candidates plus a few that cache the prefix."""
        count = len(candidates)
        first = self._sample_start = (self._sample_start + SAMPLE_SIZE) % count
        sample = [candidates[(first + n) % count] for n in range(SAMPLE_SIZE)]
        if holders:
            cached = [c for c in candidates if c.target.name in holders]
            sample += [c for c in cached[:AFFINITY_SAMPLE_SIZE] if c not in sample]
        return sample

    def _cheapest(
        self, decision: Decision, candidates: Sequence[Candidate], holders: Set[str]
    ) -> Candidate | None:
        best: Candidate | None = None
        best_cost = math.inf
        prompt_tokens = decision.request.prompt_tokens
        need_tokens = prompt_tokens + decision.output_tokens
        for candidate in candidates:
            allocation = candidate.allocation
            if allocation is None or allocation.expires_s <= decision.now_s:
                decision.reject_short_of_credit("no-credit", candidate)
                continue
            if candidate.outstanding >= allocation.slots:
                decision.reject_short_of_credit("slots", candidate)
                continue
            reserved_tokens = candidate.reserved_tokens + need_tokens
            if allocation.tokens and reserved_tokens > allocation.tokens:
                decision.reject_short_of_credit("memory", candidate)
                continue
            cached = 0
            if candidate.target.name in holders:
                cached = decision.cached_tokens(candidate)
            uncached = prompt_tokens - cached
            pending = candidate.prefill_tokens
            if pending and pending + uncached > allocation.prefill_tokens:
                decision.reject("prefill")
                continue
            cost = float(pending + prompt_tokens - min(cached, AFFINITY_LIMIT_TOKENS))
            if allocation.tokens:
                cost += MEMORY_COST_TOKENS * reserved_tokens / allocation.tokens
                cost += uncached * candidate.outstanding / STRETCH_DIVISOR
            else:
                cost += SLOTS_COST_TOKENS * candidate.outstanding / allocation.slots
            if cost < best_cost:
                best, best_cost = candidate, cost
                decision.uncached_tokens = uncached
        return best
