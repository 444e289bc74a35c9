"""Routing policies, by name.

A policy picks one of the candidate targets. The baseline is the least
outstanding requests under a fixed limit; `credit` is measured against it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence, Set
from typing import TypeVar

import attrs

from endivesill.configuration.model import Target
from endivesill.routing.credits import Loan
from endivesill.routing.messages import RouteRequest
from endivesill.routing.prefixes import NO_HOLDERS, PrefixIndex
from endivesill.routing.queue import FairQueue, FifoQueue, WaitQueue

__all__ = ["POLICIES", "Candidate", "Choice", "Policy", "policy"]

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
    """A target as a policy sees it.

    Attributes:
      target: the target.
      outstanding: requests that this entry has running there.
      reserved_tokens: memory tokens that they have reserved.
      prefill_tokens: prompt tokens sent that have given no token yet.
      loan: this entry's credits there.
      least_outstanding: the fewest outstanding since the ask last answered.
      least_since_ask: the fewest outstanding since the last ask.
    """

    target: Target
    outstanding: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    loan: Loan | None = None
    least_outstanding: int = 0
    least_since_ask: int = 0

    def started(self) -> None:
        """Count a request that was given the target."""
        self.outstanding += 1

    def ended(self) -> None:
        """Count the end of a request there."""
        self.outstanding -= 1
        self.least_outstanding = min(self.least_outstanding, self.outstanding)
        self.least_since_ask = min(self.least_since_ask, self.outstanding)

    def asked(self) -> int:
        """Return the fewest outstanding since the ask that was last answered."""
        self.least_since_ask = self.outstanding
        return self.least_outstanding

    def answered(self, loan: Loan | None) -> None:
        """Take the loan that an ask brought."""
        self.loan = loan
        self.least_outstanding = self.least_since_ask


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

    def reject_short(self, reason: str, candidate: Candidate) -> None:
        """Count a candidate whose credits are too few."""
        self.reject(reason)
        self.short_of_credit.append(candidate)

    def holders(self) -> Set[str]:
        """Return the targets that hold a part of the prompt."""
        if self.prefixes is None:
            return NO_HOLDERS
        return self.prefixes.holders(self.request.prefix)

    def cached_tokens(self, candidate: Candidate) -> int:
        """Return how much of the prompt a target holds; never all of it."""
        assert self.prefixes is not None
        name = candidate.target.name
        cached = self.prefixes.cached_tokens(name, self.request.prefix)
        return min(cached, max(0, self.request.prompt_tokens - 1))


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

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, choice: Choice, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the cheapest target with credits for the request."""
        holders = choice.holders()
        if len(candidates) <= SAMPLE_SIZE:
            return self._cheapest(choice, candidates, holders)
        sample = self._sample(candidates, holders)
        chosen = self._cheapest(choice, sample, holders)
        if chosen is not None:
            return chosen
        rest = [candidate for candidate in candidates if candidate not in sample]
        return self._cheapest(choice, rest, holders)

    def _sample(
        self, candidates: Sequence[Candidate], holders: Set[str]
    ) -> list[Candidate]:
        """Return some candidates by turns, and a few that hold the prefix."""
        count = len(candidates)
        first = self._turn = (self._turn + SAMPLE_SIZE) % count
        sample = [candidates[(first + n) % count] for n in range(SAMPLE_SIZE)]
        if holders:
            cached = [c for c in candidates if c.target.name in holders]
            sample += [c for c in cached[:AFFINITY_SAMPLE_SIZE] if c not in sample]
        return sample

    def _cheapest(
        self, choice: Choice, candidates: Sequence[Candidate], holders: Set[str]
    ) -> Candidate | None:
        best: Candidate | None = None
        best_cost = math.inf
        prompt_tokens = choice.request.prompt_tokens
        need_tokens = prompt_tokens + choice.output_tokens
        for candidate in candidates:
            loan = candidate.loan
            if loan is None or loan.expires_s <= choice.now_s:
                choice.reject_short("no-credit", candidate)
                continue
            if candidate.outstanding >= loan.slots:
                choice.reject_short("slots", candidate)
                continue
            reserved_tokens = candidate.reserved_tokens + need_tokens
            if loan.tokens and reserved_tokens > loan.tokens:
                choice.reject_short("memory", candidate)
                continue
            cached = 0
            if candidate.target.name in holders:
                cached = choice.cached_tokens(candidate)
            uncached = prompt_tokens - cached
            pending = candidate.prefill_tokens
            if pending and pending + uncached > loan.prefill_tokens:
                choice.reject("prefill")
                continue
            cost = float(pending + prompt_tokens - min(cached, AFFINITY_LIMIT_TOKENS))
            if loan.tokens:
                cost += MEMORY_COST_TOKENS * reserved_tokens / loan.tokens
                cost += uncached * candidate.outstanding / STRETCH_DIVISOR
            else:
                cost += SLOTS_COST_TOKENS * candidate.outstanding / loan.slots
            if cost < best_cost:
                best, best_cost = candidate, cost
                choice.uncached_tokens = uncached
        return best
