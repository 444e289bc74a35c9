"""Retry budgets and backoff.

Requests are not hedged. The time to first token consists mostly of waiting for
prefill and memory, and a second copy of a request would repeat the prefill of its
prompt when exactly that capacity is short.
"""

from __future__ import annotations

import collections
import random

__all__ = ["Backoff", "RetryBudgets"]

RETRY_RATIO = 0.1
INITIAL_BUDGET = 3.0
MAXIMUM_BUDGET = 20.0
MAXIMUM_BUDGETS = 20_000
INITIAL_BACKOFF_S = 0.05
MAXIMUM_BACKOFF_S = 2.0


class RetryBudgets:
    """Retry budgets, one for each service and organisation.

    Each success adds a fraction of a retry, so that retries remain a bounded
    fraction of the requests however many of those fail.
    """

    def __init__(self) -> None:
        self._budgets: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def succeeded(self, service: str, organisation: str) -> None:
        """Add the fraction of a retry that one success earns."""
        key = (service, organisation)
        budget = self._budgets.get(key, INITIAL_BUDGET) + RETRY_RATIO
        self._budgets[key] = min(MAXIMUM_BUDGET, budget)
        self._budgets.move_to_end(key)
        if len(self._budgets) > MAXIMUM_BUDGETS:
            self._budgets.popitem(last=False)

    def take(self, service: str, organisation: str) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        key = (service, organisation)
        budget = self._budgets.get(key, INITIAL_BUDGET)
        if budget < 1:
            return False
        self._budgets[key] = budget - 1
        return True


class Backoff:
    """Exponential backoff with full jitter.

    Args:
      random_source: source of the jitter.
    """

    def __init__(self, random_source: random.Random | None = None) -> None:
        self._random = random_source or random.Random()

    def delay_s(self, attempt: int) -> float:
        """Return the delay before a retry; the first retry is attempt 1."""
        limit_s = min(MAXIMUM_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempt, 10))
        return self._random.uniform(0.0, limit_s)
