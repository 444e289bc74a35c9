"""Repeats allowed to this entry out of the bound for all entries."""

from __future__ import annotations

import collections
from collections.abc import Callable

from endivesill.timer import TimerService

__all__ = ["RetryBudget"]

# Kept back from the bound: windows of different entries do not begin together.
BUDGET_SAFETY_FRACTION = 0.8


class RetryBudget:
    """Counts requests and repeats to each service over a sliding window.

    Args:
      timer: the timer service.
      ratio: repeats allowed for each request.
      slack: repeats allowed besides to all entries together, in a window.
      window_s: the window.
      share: returns the part of the slack that this entry may use now.
    """

    def __init__(
        self,
        timer: TimerService,
        ratio: float,
        slack: float,
        window_s: float,
        share: Callable[[], float],
    ) -> None:
        self._timer = timer
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._share = share
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def note_request(self, service: str) -> None:
        """Count the first sending of a request."""
        self._recent(self._requests, service).append(self._timer.now_s())

    def try_acquire(self, service: str) -> bool:
        """Take one repeat; False if the budget is used up."""
        retries = self._recent(self._retries, service)
        requests = len(self._recent(self._requests, service))
        allowed = self._ratio * requests + self._share() * self._slack
        if len(retries) + 1 > BUDGET_SAFETY_FRACTION * allowed:
            return False
        retries.append(self._timer.now_s())
        return True

    def _recent(
        self, table: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        times_s = table.setdefault(service, collections.deque())
        window_start_s = self._timer.now_s() - self._window_s
        while times_s and times_s[0] < window_start_s:
            times_s.popleft()
        return times_s
