"""An entry's view of the fleet."""

from __future__ import annotations

from typing import Any

import attrs

from endivesill.fleet.load import EngineLoad
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.shares import EntryTurn, ShareLease

__all__ = ["NO_LIST_STAMP", "NO_LOADS_STAMP", "FleetView"]

# With an older view an entry reports that it is not ready, so that callers are sent to
# other entries.
MAX_READY_VIEW_AGE_S = 6.0

NO_LEASE = ShareLease(0.0, 0.0)
NO_LIST_STAMP = [0, 0]
NO_LOADS_STAMP = [0, -1]


@attrs.define
class FleetView:
    """An entry's view of the fleet.

    Attributes:
      version: version of the configuration; None before there is one.
      document: the configuration as the operator sent it.
      evacuation_index: log index of the last change of evacuations.
      evacuated: data centres whose targets get no requests.
      list_stamp: stamp of the engine list.
      engines: the engines by incarnation.
      remote_loads: load of the other entries, by incarnation.
      loads_stamp: stamp of these loads.
      ejections_stamp: stamp of the newest ejections.
      ejections: remaining seconds of these ejections, by incarnation, when they came.
      limits_stamp: stamp of the newest limits of engines.
      lease: this entry's share of the fleet-wide limits.
      turn: its place among the entries while no leader answers; None until a leader
        has told one.
      entry_count: how many entries hold a lease.
      confirmed_at_s: when the view was last known to be current.
    """

    version: int | None = None
    document: Any = None
    evacuation_index: int = -1
    evacuated: frozenset[str] = frozenset()
    list_stamp: list[int] = attrs.Factory(lambda: NO_LIST_STAMP)
    engines: dict[str, EngineInfo] = attrs.Factory(dict)
    remote_loads: dict[str, EngineLoad] = attrs.Factory(dict)
    loads_stamp: list[int] = attrs.Factory(lambda: NO_LOADS_STAMP)
    ejections_stamp: list[int] = attrs.Factory(lambda: NO_LIST_STAMP)
    ejections: dict[str, float] = attrs.Factory(dict)
    limits_stamp: list[int] = attrs.Factory(lambda: NO_LIST_STAMP)
    lease: ShareLease = NO_LEASE
    turn: EntryTurn | None = None
    entry_count: int = 1
    confirmed_at_s: float = float("-inf")

    def is_usable(self, now_s: float) -> bool:
        """Return whether it has engines and is recent."""
        return bool(self.engines) and self.age_s(now_s) < MAX_READY_VIEW_AGE_S

    def age_s(self, now_s: float) -> float:
        """Return the time since it was last confirmed as current; may be infinite."""
        return now_s - self.confirmed_at_s
