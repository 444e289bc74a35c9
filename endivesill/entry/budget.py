"""How often a failed attempt may be made again."""

from __future__ import annotations

from typing import Protocol

__all__ = ["FixedRetryBudget", "RetryBudget", "SharedRetryBudget"]

ATTEMPTS = 3
BACKOFF_S = 0.05


class RetryBudget:
    """Base of the retry budgets."""

    def retry_after_s(
        self, service_name: str, organisation_name: str, attempt: int
    ) -> float | None:
        """Return the backoff before another attempt, or None for none.

        Args:
          service_name: the service of the request.
          organisation_name: whose request it is.
          attempt: how many attempts have failed, from 1.
        """
        raise NotImplementedError

    def succeeded(self, service_name: str, organisation_name: str) -> None:
        """Note a request that was answered."""


class FixedRetryBudget(RetryBudget):
    """A fixed number of attempts a request, with exponential backoff."""

    def retry_after_s(
        self, service_name: str, organisation_name: str, attempt: int
    ) -> float | None:
        """Return the backoff before another attempt; see the base class."""
        if attempt >= ATTEMPTS:
            return None
        return BACKOFF_S * 2 ** (attempt - 1)


class Budgets(Protocol):
    """Budgets of retries by service and organisation."""

    def succeeded(self, service: str, organisation: str) -> None:
        """Count a success."""

    def take(self, service: str, organisation: str) -> bool:
        """Take one retry; False if there is none left."""


class Delays(Protocol):
    """Backoff of retries."""

    def delay_s(self, attempt: int) -> float:
        """Return how long to wait before a retry; the first has attempt 1."""


class SharedRetryBudget(RetryBudget):
    """Attempts that are bounded for each request and by a shared budget.

    Args:
      budgets: the budgets of the router.
      delays: the backoff of the router.
    """

    def __init__(self, budgets: Budgets, delays: Delays) -> None:
        self._budgets = budgets
        self._delays = delays

    def retry_after_s(
        self, service_name: str, organisation_name: str, attempt: int
    ) -> float | None:
        """Return the backoff before another attempt; see the base class."""
        if attempt >= ATTEMPTS:
            return None
        if not self._budgets.take(service_name, organisation_name):
            return None
        return self._delays.delay_s(attempt)

    def succeeded(self, service_name: str, organisation_name: str) -> None:
        """Earn a share of a retry."""
        self._budgets.succeeded(service_name, organisation_name)
