"""Grants of the router, with the resources reserved for an attempt."""

from __future__ import annotations

from typing import Protocol

from endivesill.routing.messages import Grant, Outcome, RouteRequest
from endivesill.routing.policy import Candidate

__all__ = ["GrantIssuer", "RoutedGrant"]

BLOCKS_PER_GAP_SAMPLE = 8
MINIMUM_UPDATE_TOKENS = 32


class GrantIssuer(Protocol):
    """What a grant needs of its router."""

    def now_s(self) -> float:
        """Return the timer's time."""

    def is_valid(self, grant: RoutedGrant) -> bool:
        """Return whether the attempt may start now."""

    def reservation_tokens(self, request: RouteRequest, produced: int) -> int:
        """Return the memory tokens to reserve after some output tokens."""

    def first_token(self, grant: RoutedGrant, time_s: float) -> None:
        """Record the time to first token."""

    def gap(self, grant: RoutedGrant, gap_s: float) -> None:
        """Record a gap between output tokens."""

    def released(self, grant: RoutedGrant, outcome: Outcome) -> None:
        """Record the outcome; the reservations have been released."""


class RoutedGrant(Grant):
    """A grant that holds reservations at its target until it is finished.

    Args:
      issuer: the router.
      request: the request.
      candidate: the target with this entry's load, to which the attempt is added.
      uncached_tokens: prompt tokens that the target has to prefill.
      reserved_tokens: memory tokens reserved initially.
    """

    def __init__(
        self,
        issuer: GrantIssuer,
        request: RouteRequest,
        candidate: Candidate,
        uncached_tokens: int,
        reserved_tokens: int,
    ) -> None:
        super().__init__(request, candidate.target)
        self._issuer = issuer
        self.candidate = candidate
        self.produced = 0
        self._prefill_tokens = uncached_tokens
        self._started_s = issuer.now_s()
        self._last_token_s = self._started_s
        self._blocks = 0
        self._next_update_tokens = MINIMUM_UPDATE_TOKENS
        self._finished = False
        self._reserved_tokens = reserved_tokens
        candidate.started()
        candidate.prefill_tokens += uncached_tokens
        candidate.reserved_tokens += self._reserved_tokens

    def may_start(self) -> bool:
        """Return whether the lease, the target and the credits still permit a start."""
        return not self._finished and self._issuer.is_valid(self)

    def tokens(self, count: int) -> None:
        """Count output tokens; the reservation is updated periodically."""
        now_s = self._issuer.now_s()
        first = not self.produced
        self.produced += count
        if first:
            self._end_prefill()
            self._issuer.first_token(self, now_s - self._started_s)
        else:
            self._blocks += 1
            if self._blocks % BLOCKS_PER_GAP_SAMPLE == 0:
                self._issuer.gap(self, now_s - self._last_token_s)
        self._last_token_s = now_s
        if self.produced >= self._next_update_tokens:
            self._update_reservation()

    def _update_reservation(self) -> None:
        step = max(MINIMUM_UPDATE_TOKENS, self.produced // 4)
        self._next_update_tokens = self.produced + step
        reserved = self._issuer.reservation_tokens(self.request, self.produced)
        self.candidate.reserved_tokens += reserved - self._reserved_tokens
        self._reserved_tokens = reserved

    def _end_prefill(self) -> None:
        self.candidate.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0

    def finished(self, outcome: Outcome) -> None:
        """Release all reservations; further calls do nothing."""
        if self._finished:
            return
        self._finished = True
        self._end_prefill()
        self.candidate.ended()
        self.candidate.reserved_tokens -= self._reserved_tokens
        self._issuer.released(self, outcome)
