"""The load that each entry puts on each engine, as the leader adds it up."""

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

# An entry that has told nothing for this long is taken to have no load.
REPORT_TTL_S = 2.0
# A place that was granted counts for this long until its entry reports it; an
# answer and the next report take far less.
GRANT_TTL_S = 1.0


@attrs.frozen
class EngineLoad:
    """What entries have under way at one engine.

    Attributes:
      requests: requests that were sent and have not ended.
      reserved_tokens: engine memory that they are expected to need.
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
    """Return loads as JSON: `[requests, reserved tokens, unread tokens]`."""
    return {
        incarnation: [load.requests, load.reserved_tokens, load.prefill_tokens]
        for incarnation, load in loads.items()
    }


def loads_from_rows(rows: dict[str, list[int]]) -> dict[str, EngineLoad]:
    """Return the loads of what `loads_to_rows` gave."""
    return {incarnation: EngineLoad(*row) for incarnation, row in rows.items()}


@attrs.frozen
class _Grant:
    """A place that was granted and is not reported yet."""

    number: int
    incarnation: str
    load: EngineLoad
    expires_s: float


@attrs.define
class _EntryLoads:
    """What is known of one entry."""

    updated_s: float = float("-inf")
    loads: dict[str, EngineLoad] = attrs.Factory(dict)
    grants: list[_Grant] = attrs.Factory(list)
    last_grant: int = 0


class FleetLoads:
    """The last report of each entry and the places granted since."""

    def __init__(self) -> None:
        self._entries: dict[str, _EntryLoads] = {}

    def record_report(
        self, entry: str, rows: dict[str, list[int]], grants_seen: int, now_s: float
    ) -> None:
        """Take an entry's report.

        Args:
          entry: names one start of an entry.
          rows: `[requests, reserved tokens, unread tokens]` by incarnation.
          grants_seen: number of the last grant that the entry has received.
          now_s: the time.
        """
        entry_loads = self._entries.setdefault(entry, _EntryLoads())
        entry_loads.updated_s = now_s
        entry_loads.loads = loads_from_rows(rows)
        entry_loads.grants = [g for g in entry_loads.grants if g.number > grants_seen]
        # After a change of the leader the numbers go on from the entry's.
        entry_loads.last_grant = max(entry_loads.last_grant, grants_seen)

    def grant(self, entry: str, loads: dict[str, EngineLoad], now_s: float) -> int:
        """Count a place that is granted to an entry; return the grant's number."""
        entry_loads = self._entries.setdefault(entry, _EntryLoads(now_s))
        entry_loads.last_grant += 1
        expires_s = now_s + GRANT_TTL_S
        for incarnation, load in loads.items():
            entry_loads.grants.append(
                _Grant(entry_loads.last_grant, incarnation, load, expires_s)
            )
        return entry_loads.last_grant

    def totals(self, now_s: float, excluding: str = "") -> dict[str, EngineLoad]:
        """Return the load of all entries, but one if named, by incarnation."""
        by_incarnation: dict[str, list[EngineLoad]] = collections.defaultdict(list)
        for entry, entry_loads in list(self._entries.items()):
            if now_s - entry_loads.updated_s > REPORT_TTL_S:
                del self._entries[entry]
            elif entry != excluding:
                for incarnation, load in entry_loads.loads.items():
                    by_incarnation[incarnation].append(load)
                for grant in entry_loads.grants:
                    if grant.expires_s > now_s:
                        by_incarnation[grant.incarnation].append(grant.load)
        return {
            incarnation: add_loads(loads)
            for incarnation, loads in by_incarnation.items()
        }

    def remove(self, entry: str) -> None:
        """Drop an entry that stops."""
        self._entries.pop(entry, None)
