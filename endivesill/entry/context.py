"""Services shared by the modules of an entry."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill import errors
from endivesill.configuration.source import ConfigurationSource
from endivesill.entry.admission import Admission
from endivesill.entry.background import BackgroundTasks
from endivesill.entry.budget import RetryBudget
from endivesill.entry.claims import Claims
from endivesill.entry.identity import GenerationIds
from endivesill.entry.index import IndexCache
from endivesill.entry.settings import EntrySettings
from endivesill.entry.watchdog import Watchdog
from endivesill.metrics import Metrics
from endivesill.routing import Grant, Router
from endivesill.targets import EngineAdapter, PlainAdapter
from endivesill.timer import TimerService

__all__ = ["EntryContext"]

LEASE_RETRY_AFTER_S = 1.0
DRAIN_RETRY_AFTER_S = 1.0


@attrs.frozen
class EntryContext:
    """Services and tables shared by the modules of an entry.

    Attributes:
      timer: the timer service.
      settings: the settings of the entry.
      source: the configuration and its lease.
      index: lookup tables of the configuration in force.
      router: issues grants to start attempts at targets.
      engines: the adapter to engines.
      plain: the adapter to plain services.
      ids: creates and verifies generation ids.
      claims: claims idempotency keys.
      budget: the retry budget.
      watchdog: detects stalled streams.
      admission: the concurrency limit per organisation.
      background: tasks that outlive their request.
      metrics: counters and recorders of the process.
      is_draining: returns whether a graceful shutdown has begun.
      accepts: returns whether new requests are accepted.
    """

    timer: TimerService
    settings: EntrySettings
    source: ConfigurationSource
    index: IndexCache
    router: Router
    engines: EngineAdapter
    plain: PlainAdapter
    ids: GenerationIds
    claims: Claims
    budget: RetryBudget
    watchdog: Watchdog
    admission: Admission
    background: BackgroundTasks
    metrics: Metrics
    is_draining: Callable[[], bool]
    accepts: Callable[[], bool] = lambda: True

    def check_lease(self) -> None:
        """Check that this entry holds the configuration lease.

        Raises:
          RefusedError: no lease, so the configuration may be stale; not run.
        """
        if not self.source.holds_lease():
            raise errors.RefusedError("no-lease", retry_after_s=LEASE_RETRY_AFTER_S)

    def check_accepting(self) -> None:
        """Check that this entry accepts new requests.

        Raises:
          RefusedError: the entry is draining and the load balancer has had time to
            remove it.
        """
        if not self.accepts():
            raise errors.RefusedError("draining", retry_after_s=DRAIN_RETRY_AFTER_S)

    def start_check(self, grant: Grant) -> Callable[[], bool]:
        """Return the check to run just before an attempt sends its first byte."""
        return lambda: self.source.holds_lease() and grant.may_start()
