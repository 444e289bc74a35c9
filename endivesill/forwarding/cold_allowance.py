"""Request rate of cold targets that an entry may use without the leader."""

from __future__ import annotations

from endivesill.fleet.model import Service
from endivesill.fleet.sync_client import FleetView
from endivesill.forwarding.placement_service import LEADER_COLD_FRACTION
from endivesill.timer import TimerService

__all__ = ["ColdAllowance"]

# The leader allocates the rest.
ENTRY_COLD_FRACTION = 1 - LEADER_COLD_FRACTION


class ColdAllowance:
    """An entry's share of the request rate of cold targets.

    Args:
      timer: the timer service.
      view: has the share of this entry.
      factor: factor that the platform applies to the rate of a service.
      slack_per_s: requests per second that it adds.
    """

    def __init__(
        self, timer: TimerService, view: FleetView, factor: float, slack_per_s: float
    ) -> None:
        self._timer = timer
        self._view = view
        self._factor = factor
        self._slack_per_s = slack_per_s

    def requests_per_s(self, service: Service) -> float:
        """Return the rate at which this entry may send to a cold target."""
        share = self._view.lease.share_at(self._timer.now_s())
        rate_per_s = self._factor * service.cold_requests_per_s + self._slack_per_s
        return ENTRY_COLD_FRACTION * share * rate_per_s
