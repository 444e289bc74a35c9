"""Retry budgets and backoff.

Requests are not hedged: a generation's first token waits mostly for prefill and
memory, and a second copy would cost the prompt's prefill again on a fleet that
is short of just that.
"""

from __future__ import annotations

import collections
import random

__all__ = ["Backoff", "RetryBudgets"]

RETRY_SHARE = 0.1
BUDGET_START = 3.0
BUDGET_MAXIMUM = 20.0
MAXIMUM_BUDGETS = 20_000
BACKOFF_START_S = 0.05
BACKOFF_LIMIT_S = 2.0


class RetryBudgets:
    """Budgets of retries, one for each service and organisation.

    Each success earns a share of a retry, so that retries stay a bounded share
    of the work however many requests fail.
    """

    def __init__(self) -> None:
        self._budgets: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def succeeded(self, service: str, organisation: str) -> None:
        """Count a success."""
        key = (service, organisation)
        budget = self._budgets.get(key, BUDGET_START) + RETRY_SHARE
        self._budgets[key] = min(BUDGET_MAXIMUM, budget)
        self._budgets.move_to_end(key)
        if len(self._budgets) > MAXIMUM_BUDGETS:
            self._budgets.popitem(last=False)

    def take(self, service: str, organisation: str) -> bool:
        """Take one retry from the budget; False if there is none left."""
        key = (service, organisation)
        budget = self._budgets.get(key, BUDGET_START)
        if budget < 1:
            return False
        self._budgets[key] = budget - 1
        return True


class Backoff:
    """Exponential backoff with full jitter.

    Args:
      random_source: the source of the jitter; tests give a seeded one.
    """

    def __init__(self, random_source: random.Random | None = None) -> None:
        self._random = random_source or random.Random()

    def delay_s(self, attempt: int) -> float:
        """Return how long to wait before a retry; the first has attempt 1."""
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_START_S * 2 ** min(attempt, 10))
        return self._random.uniform(0.0, limit_s)
