"""Load of each entry on each engine, and its totals at the leader."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

__all__ = [
    "EngineLoad",
    "FleetLoads",
    "add_loads",
    "loads_from_rows",
    "loads_to_rows",
]

# An entry without a report for this long counts as idle.
REPORT_TTL_S = 2.0
# How long a grant counts until its entry reports it; well above the time that the reply
# and the next report take.
GRANT_TTL_S = 1.0


@attrs.frozen
class EngineLoad:
    """Load of entries on one engine.

    Attributes:
      requests: requests in flight.
      reserved_tokens: KV cache reserved for them and for copies of runs.
      prefill_tokens: prompt tokens of those without a first event.
    """

    requests: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0


def add_loads(loads: Iterable[EngineLoad]) -> EngineLoad:
    """Return the sum of loads."""
    requests = reserved = unread = 0
    for load in loads:
        requests += load.requests
        reserved += load.reserved_tokens
        unread += load.prefill_tokens
    return EngineLoad(requests, reserved, unread)


def loads_to_rows(loads: dict[str, EngineLoad]) -> dict[str, list[int]]:
    """Return loads as JSON: `[requests, reserved tokens, prefill tokens]`."""
    return {
        incarnation: [load.requests, load.reserved_tokens, load.prefill_tokens]
        for incarnation, load in loads.items()
    }


def loads_from_rows(rows: dict[str, list[int]]) -> dict[str, EngineLoad]:
    """Return the loads of rows from `loads_to_rows`."""
    return {incarnation: EngineLoad(*row) for incarnation, row in rows.items()}


@attrs.frozen
class _Grant:
    """A placement that its entry has not reported yet."""

    number: int
    incarnation: str
    load: EngineLoad
    expires_s: float


@attrs.define
class _EntryLoads:
    """State of one entry."""

    updated_s: float = float("-inf")
    loads: dict[str, EngineLoad] = attrs.Factory(dict)
    grants: list[_Grant] = attrs.Factory(list)
    last_grant: int = 0


class FleetLoads:
    """The newest load report of each entry, with the grants made since."""

    def __init__(self) -> None:
        self._entries: dict[str, _EntryLoads] = {}

    def record_report(
        self, entry_id: str, rows: dict[str, list[int]], grants_seen: int, now_s: float
    ) -> None:
        """Replace an entry's load.

        Args:
          entry_id: id of one start of an entry.
          rows: `[requests, reserved tokens, prefill tokens]` by incarnation.
          grants_seen: number of the last grant included in the rows.
          now_s: the time.
        """
        entry_loads = self._entries.setdefault(entry_id, _EntryLoads())
        entry_loads.updated_s = now_s
        entry_loads.loads = loads_from_rows(rows)
        entry_loads.grants = [g for g in entry_loads.grants if g.number > grants_seen]
        # A new leader continues the numbering that the entry has seen.
        entry_loads.last_grant = max(entry_loads.last_grant, grants_seen)

    def grant(self, entry_id: str, loads: dict[str, EngineLoad], now_s: float) -> int:
        """Add the load of a placement to an entry; return the number of the grant."""
        entry_loads = self._entries.setdefault(entry_id, _EntryLoads(now_s))
        entry_loads.last_grant += 1
        expires_s = now_s + GRANT_TTL_S
        for incarnation, load in loads.items():
            entry_loads.grants.append(
                _Grant(entry_loads.last_grant, incarnation, load, expires_s)
            )
        return entry_loads.last_grant

    def totals(self, now_s: float, excluding: str = "") -> dict[str, EngineLoad]:
        """Return the load of all entries by incarnation, without entry `excluding`."""
        by_incarnation: dict[str, list[EngineLoad]] = collections.defaultdict(list)
        for entry_id, entry_loads in list(self._entries.items()):
            if now_s - entry_loads.updated_s > REPORT_TTL_S:
                del self._entries[entry_id]
            elif entry_id != excluding:
                for incarnation, load in entry_loads.loads.items():
                    by_incarnation[incarnation].append(load)
                for grant in entry_loads.grants:
                    if grant.expires_s > now_s:
                        by_incarnation[grant.incarnation].append(grant.load)
        return {
            incarnation: add_loads(loads)
            for incarnation, loads in by_incarnation.items()
        }

    def remove(self, entry_id: str) -> None:
        """Remove an entry that stops."""
        self._entries.pop(entry_id, None)
