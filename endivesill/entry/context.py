"""What the parts of an entry share."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill import errors
from endivesill.configuration.source import ConfigurationSource
from endivesill.entry.admission import Admission
from endivesill.entry.background import Background
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
    """The services and tables that the parts of an entry share.

    Attributes:
      timer: the timer service.
      settings: the entry's settings.
      source: the configuration with its lease.
      index: look-ups of the configuration in force.
      router: where grants come from.
      engines: the engine adapter.
      plain: the adapter to plain services.
      ids: makes and checks generation ids.
      claims: claims idempotency keys.
      budget: how often failed attempts are made again.
      watchdog: bounds on waits of streams.
      admission: the bound on an organisation's requests.
      background: tasks that outlive their request.
      metrics: counters and recorders of the process.
      is_draining: tells whether a planned stop has begun.
      accepts: tells whether new requests are taken.
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
    background: Background
    metrics: Metrics
    is_draining: Callable[[], bool]
    accepts: Callable[[], bool] = lambda: True

    def check_lease(self) -> None:
        """Check that new work may start.

        Raises:
          RefusedError: the configuration may be out of date; it has not run.
        """
        if not self.source.holds_lease():
            raise errors.RefusedError("no-lease", retry_after_s=LEASE_RETRY_AFTER_S)

    def check_accepts(self) -> None:
        """Check that this entry takes new requests.

        Raises:
          RefusedError: it is to be stopped, and the balancer has had its time.
        """
        if not self.accepts():
            raise errors.RefusedError("draining", retry_after_s=DRAIN_RETRY_AFTER_S)

    def start_check(self, grant: Grant) -> Callable[[], bool]:
        """Return what is asked just before the first byte of an attempt."""
        return lambda: self.source.holds_lease() and grant.may_start()
