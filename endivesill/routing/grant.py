"""Grants of the router: they account for an attempt until it is finished."""

from __future__ import annotations

from typing import Protocol

from endivesill.routing.messages import Grant, Outcome, RouteRequest
from endivesill.routing.policy import Candidate

__all__ = ["GrantKeeper", "RoutedGrant"]

GAP_SAMPLE_BLOCKS = 8
UPDATE_MINIMUM_TOKENS = 32


class GrantKeeper(Protocol):
    """What a grant needs of its router."""

    def now_s(self) -> float:
        """Return the timer's clock."""

    def still_holds(self, grant: RoutedGrant) -> bool:
        """Tell whether the attempt may start."""

    def reservation_tokens(self, request: RouteRequest, produced: int) -> int:
        """Return the memory to reserve after so many output tokens."""

    def first_token(self, grant: RoutedGrant, time_s: float) -> None:
        """Note the first token."""

    def gap(self, grant: RoutedGrant, gap_s: float) -> None:
        """Note a gap between tokens."""

    def released(self, grant: RoutedGrant, outcome: Outcome) -> None:
        """Note the end of the attempt."""


class RoutedGrant(Grant):
    """A grant with its reservations.

    Args:
      keeper: the router.
      request: what was asked.
      candidate: the target's account at this entry.
      uncached_tokens: prompt tokens that the target has to prefill.
      reserved_tokens: memory that is reserved for it at first.
    """

    def __init__(
        self,
        keeper: GrantKeeper,
        request: RouteRequest,
        candidate: Candidate,
        uncached_tokens: int,
        reserved_tokens: int,
    ) -> None:
        super().__init__(request, candidate.target)
        self._keeper = keeper
        self.candidate = candidate
        self.produced = 0
        self._prefill_tokens = uncached_tokens
        self._started_s = keeper.now_s()
        self._last_s = self._started_s
        self._blocks = 0
        self._update_at = UPDATE_MINIMUM_TOKENS
        self._finished = False
        self._reserved_tokens = reserved_tokens
        candidate.started()
        candidate.prefill_tokens += uncached_tokens
        candidate.reserved_tokens += self._reserved_tokens

    def may_start(self) -> bool:
        """Tell whether the lease, the target and the credits still hold."""
        return not self._finished and self._keeper.still_holds(self)

    def tokens(self, count: int) -> None:
        """Count tokens, and correct the reservation now and then."""
        now_s = self._keeper.now_s()
        first = not self.produced
        self.produced += count
        if first:
            self._end_prefill()
            self._keeper.first_token(self, now_s - self._started_s)
        else:
            self._blocks += 1
            if self._blocks % GAP_SAMPLE_BLOCKS == 0:
                self._keeper.gap(self, now_s - self._last_s)
        self._last_s = now_s
        if self.produced >= self._update_at:
            self._update()

    def _update(self) -> None:
        step = max(UPDATE_MINIMUM_TOKENS, self.produced // 4)
        self._update_at = self.produced + step
        reserved = self._keeper.reservation_tokens(self.request, self.produced)
        self.candidate.reserved_tokens += reserved - self._reserved_tokens
        self._reserved_tokens = reserved

    def _end_prefill(self) -> None:
        self.candidate.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0

    def finished(self, outcome: Outcome) -> None:
        """Give everything back; a second call does nothing."""
        if self._finished:
            return
        self._finished = True
        self._end_prefill()
        self.candidate.ended()
        self.candidate.reserved_tokens -= self._reserved_tokens
        self._keeper.released(self, outcome)
