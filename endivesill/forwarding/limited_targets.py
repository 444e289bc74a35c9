"""Placement of requests at targets that limit the rate from all entries together."""

from __future__ import annotations

from collections.abc import Sequence

from endivesill.forwarding.targets import Target, TargetTable
from endivesill.timer import TimerService

__all__ = ["LimitedTargets"]

# Retry-Afters are spread over this time at most; refused callers of a longer overload
# share it.
MAX_SPREAD_S = 10.0


class LimitedTargets:
    """Tells which targets have permits, and when refused requests may return.

    Args:
      timer: the timer service.
      table: the targets, with the permits.
    """

    def __init__(self, timer: TimerService, table: TargetTable) -> None:
        self._timer = timer
        self._table = table
        # By service: when the last refused caller was told to return.
        self._last_return_s: dict[str, float] = {}

    def are_limited(self, targets: Sequence[Target]) -> bool:
        """Return whether all of some targets have a limit."""
        limit_per_s = self._table.permits.limit_per_s
        return bool(targets) and all(
            limit_per_s(t.info.incarnation) is not None for t in targets
        )

    def with_permit(self, targets: Sequence[Target]) -> list[Target]:
        """Return the targets that have no limit, or a permit for one more request."""
        may_send = self._table.permits.may_send
        return [t for t in targets if may_send(t.info.incarnation)]

    def requestable(self, service: str, targets: Sequence[Target]) -> list[Target]:
        """Return the targets for which a permit may be had soon."""
        permits = self._table.permits
        return [
            t
            for t in targets
            if not permits.may_send(t.info.incarnation)
            and permits.may_request(service, t.info.incarnation)
        ]

    def expected_wait_s(self, targets: Sequence[Target], ahead: int) -> float | None:
        """Return the least time until one of some targets has a permit.

        Args:
          targets: the targets that a request may be placed at.
          ahead: requests that get a permit before it.

        Returns:
          None if a target has no limit or a permit, or if it isn't known yet.
        """
        permits = self._table.permits
        # Nothing tells when a slot of a brittle engine without a limit is free.
        if not self.are_limited(targets) or self.with_permit(targets):
            return None
        free_at_s = [permits.free_at_s(t.info.incarnation) for t in targets]
        known_s = [time_s for time_s in free_at_s if time_s is not None]
        if len(known_s) < len(free_at_s):
            return None
        wait_s = max(0.0, min(known_s) - self._timer.now_s())
        return wait_s + ahead / self._total_per_s(targets)

    def return_after_s(self, service: str, targets: Sequence[Target]) -> float:
        """Return when the next refused caller finds a permit, in seconds.

        Each one gets a time of its own, at the rate that this process can expect.
        """
        now_s = self._timer.now_s()
        wait_s = self.expected_wait_s(targets, 0) or 0.0
        rate_per_s = self._total_per_s(targets) * self._table.permits.rate_share
        last_s = self._last_return_s.get(service, now_s)
        return_s = max(now_s + wait_s, last_s + 1 / rate_per_s)
        if return_s > now_s + wait_s + MAX_SPREAD_S:
            return_s = now_s + wait_s
        self._last_return_s[service] = return_s
        return return_s - now_s

    def _total_per_s(self, targets: Sequence[Target]) -> float:
        limit_per_s = self._table.permits.limit_per_s
        return sum(limit_per_s(t.info.incarnation) or 0.0 for t in targets)
