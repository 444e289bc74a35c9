"""Per-entry accounting of a target's credits: usage, allocations, residual load."""

from __future__ import annotations

import collections

import attrs

__all__ = ["PREDECESSOR", "Allocation", "Account", "Residual", "Usage"]

RESIDUAL_LIFETIME_S = 60.0
PREDECESSOR = ""


@attrs.frozen
class Usage:
    """An entry's load at a target and the credits that it requests.

    The fields are sent as a list in this order.

    Attributes:
      slots: requests that the entry has in flight at the target.
      tokens: memory tokens that those requests have reserved.
      headroom_slots: additional requests for which the entry requests credits.
      headroom_tokens: memory tokens that those additional requests would need.
      serial: serial of the allocation that the entry holds; 0 for none.
      median_gap_ms: median gap between output tokens; 0 if unknown.
      tail_gap_ms: 99th percentile of that gap; 0 if unknown.
      completed: responses completed since the last credit request.
      first_token_ms: mean time to first token of those responses.
      suspects_cold: whether the entry suspects that the target has become cold.
      minimum_slots: the fewest requests in flight at any time since the last
        credit request that was answered.
      queued: requests queued at the entry for the target's service.
    """

    slots: int = 0
    tokens: int = 0
    headroom_slots: int = 0
    headroom_tokens: int = 0
    serial: int = 0
    median_gap_ms: float = 0.0
    tail_gap_ms: float = 0.0
    completed: int = 0
    first_token_ms: float = 0.0
    suspects_cold: bool = False
    minimum_slots: int = 0
    queued: int = 0


@attrs.frozen
class Allocation:
    """Credits of one entry at one target.

    Attributes:
      slots: requests that may be in flight at once.
      tokens: memory tokens that may be reserved.
      prefill_tokens: prompt tokens that may be in prefill at once.
      serial: increases with each allocation of an allocator.
      expires_s: expiry time, on the clock of the process that holds the object.
    """

    slots: int
    tokens: int
    prefill_tokens: int
    serial: int
    expires_s: float

    def is_larger_than(self, earlier: Allocation | None) -> bool:
        """Return whether it permits more slots or memory than an earlier one."""
        if earlier is None:
            return True
        return self.slots > earlier.slots or self.tokens > earlier.tokens


@attrs.define
class Account:
    """What an owner has allocated to one entry and what the entry last reported.

    Attributes:
      base_slots: requests in flight at the entry's first credit request,
        started on allocations of the previous owner.
      allocations: the allocations that the entry may still hold, by serial.
      usage: the entry's last report.
      usage_history: time of each credit request, with the fewest requests that
        the entry had in flight since the one before.
    """

    base_slots: int = 0
    allocations: dict[int, Allocation] = attrs.Factory(dict)
    usage: Usage = attrs.Factory(Usage)
    usage_history: collections.deque[tuple[float, int]] = attrs.Factory(
        collections.deque
    )

    def minimum_running(self, from_s: float, until_s: float) -> int:
        """Return a lower bound of the requests in flight throughout a period.

        It is 0 if the last report is older than the end of the period.
        """
        if not self.usage_history or self.usage_history[-1][0] < until_s:
            return 0
        return min(
            minimum
            for requested_s, minimum in self.usage_history
            if requested_s >= from_s
        )

    def committed_slots(self) -> int:
        """Return the most requests that the entry may have in flight."""
        return max(
            [
                self.usage.slots,
                *(allocation.slots for allocation in self.allocations.values()),
            ]
        )

    def committed_tokens(self) -> int:
        """Return the most memory tokens that the entry may have reserved."""
        return max(
            [
                self.usage.tokens,
                *(allocation.tokens for allocation in self.allocations.values()),
            ]
        )

    def expires_s(self) -> float:
        """Return when the last allocation expires; 0 without allocations."""
        return max(
            (allocation.expires_s for allocation in self.allocations.values()),
            default=0.0,
        )


@attrs.define
class Residual:
    """Load that may remain after all allocations of an entry have expired.

    An entry without a valid allocation starts no requests, but those that it
    started before may still be running at the target.

    Attributes:
      entry_id: the entry; `PREDECESSOR` for all entries of the previous owner.
      slots: upper bound of the requests still running.
      tokens: upper bound of the memory tokens that they hold.
      since_s: when the last allocation expired.
      base_slots: the part started on allocations of the previous owner.
    """

    entry_id: str
    slots: int
    tokens: int
    since_s: float
    base_slots: int = 0

    def is_over(self, now_s: float) -> bool:
        """Return whether the load has ended, judged by elapsed time alone."""
        lifetime_s = 0.0 if self.entry_id == PREDECESSOR else RESIDUAL_LIFETIME_S
        return now_s - self.since_s >= lifetime_s
