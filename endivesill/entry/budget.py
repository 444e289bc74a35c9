"""Retry budgets: limits and backoff of repeated attempts."""

from __future__ import annotations

from typing import Protocol

__all__ = ["FixedRetryBudget", "RetryBudget", "SharedRetryBudget"]

MAX_ATTEMPTS = 3
INITIAL_BACKOFF_S = 0.05


class RetryBudget:
    """Base class of the retry budgets."""

    def retry_after_s(
        self, service_name: str, organisation_name: str, attempt: int
    ) -> float | None:
        """Return the backoff before the next attempt, or None if it is not allowed.

        Args:
          service_name: the service of the request.
          organisation_name: the organisation of the caller.
          attempt: the number of failed attempts so far, at least 1.
        """
        raise NotImplementedError

    def succeeded(self, service_name: str, organisation_name: str) -> None:
        """Record an answered request."""


class FixedRetryBudget(RetryBudget):
    """Allows a fixed number of attempts per request, with exponential backoff."""

    def retry_after_s(
        self, service_name: str, organisation_name: str, attempt: int
    ) -> float | None:
        """Return the backoff before the next attempt; see the base class."""
        if attempt >= MAX_ATTEMPTS:
            return None
        return INITIAL_BACKOFF_S * 2 ** (attempt - 1)


class Budgets(Protocol):
    """Retry budgets per service and organisation."""

    def succeeded(self, service: str, organisation: str) -> None:
        """Credit the budget with an answered request."""

    def take(self, service: str, organisation: str) -> bool:
        """Spend one retry; return False if the budget is exhausted."""


class Delays(Protocol):
    """Backoff policy of retries."""

    def delay_s(self, attempt: int) -> float:
        """Return the delay before a retry; the first retry has attempt 1."""


class SharedRetryBudget(RetryBudget):
    """Limits attempts per request and by a budget shared between requests.

    Args:
      budgets: the retry budgets of the router.
      delays: the backoff policy.
    """

    def __init__(self, budgets: Budgets, delays: Delays) -> None:
        self._budgets = budgets
        self._delays = delays

    def retry_after_s(
        self, service_name: str, organisation_name: str, attempt: int
    ) -> float | None:
        """Return the backoff before the next attempt; see the base class."""
        if attempt >= MAX_ATTEMPTS:
            return None
        if not self._budgets.take(service_name, organisation_name):
            return None
        return self._delays.delay_s(attempt)

    def succeeded(self, service_name: str, organisation_name: str) -> None:
        """Credit the shared budget with a fraction of a retry."""
        self._budgets.succeeded(service_name, organisation_name)
