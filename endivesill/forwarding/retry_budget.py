"""Limits this entry's retries to its share of a fleet-wide bound."""

from __future__ import annotations

import collections
from collections.abc import Callable

from endivesill.timer import TimerService

__all__ = ["RetryBudget"]

# Fraction of the bound that is used, since the windows of different entries do not
# start together.
BUDGET_SAFETY_FRACTION = 0.8


class RetryBudget:
    """Counts requests and retries to each service over a sliding window.

    Args:
      timer: the timer service.
      ratio: retries allowed per request.
      slack: further retries allowed per window to all entries together.
      window_s: length of the window.
      share: returns this entry's current share of the slack, from 0 to 1.
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
        """Count a request, but not its retries."""
        self._recent(self._requests, service).append(self._timer.now_s())

    def try_acquire(self, service: str) -> bool:
        """Take one retry from the budget; False if it is exhausted."""
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
