"""Load of each entry on each engine, and its totals at the leader."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

__all__ = [
    "EngineLoad",
    "FleetLoads",
    "loads_to_rows",
    "subtract_rows",
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


def loads_to_rows(loads: dict[str, EngineLoad]) -> dict[str, list[int]]:
    """Return loads as JSON: `[requests, reserved tokens, prefill tokens]`."""
    return {
        incarnation: [load.requests, load.reserved_tokens, load.prefill_tokens]
        for incarnation, load in loads.items()
    }


def subtract_rows(
    rows: dict[str, list[int]], part: dict[str, list[int]]
) -> dict[str, EngineLoad]:
    """Return the loads of rows without those of a part, without idle engines."""
    loads = {}
    for incarnation, row in rows.items():
        own = part.get(incarnation, (0, 0, 0))
        rest = [total - value for total, value in zip(row, own, strict=True)]
        if any(rest):
            loads[incarnation] = EngineLoad(*rest)
    return loads


@attrs.define(eq=False)
class _Grant:
    """A placement that its entry has not reported yet."""

    number: int
    entry_id: str
    incarnation: str
    load: EngineLoad
    expires_s: float
    is_counted: bool = True


@attrs.define(eq=False)
class _EntryLoads:
    """State of one entry."""

    updated_s: float
    rows: dict[str, list[int]] = attrs.Factory(dict)
    grants: list[_Grant] = attrs.Factory(list)
    last_grant: int = 0


class FleetLoads:
    """The newest load report of each entry, with the grants made since.

    Keeps running totals, so that the cost of a report depends on the engines that the
    entry uses, not on the number of entries: hundreds of entries report to one leader.

    Attributes:
      version: increases whenever the totals change.
    """

    def __init__(self) -> None:
        self.version = 0
        # The entry that reported least recently comes first.
        self._entries: collections.OrderedDict[str, _EntryLoads] = (
            collections.OrderedDict()
        )
        # Grants in the order in which they expire.
        self._grants: collections.deque[_Grant] = collections.deque()
        self._totals: dict[str, list[int]] = {}

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
        entry_loads = self._entry(entry_id, now_s)
        if rows != entry_loads.rows:
            self._add_rows(entry_loads.rows, -1)
            self._add_rows(rows, 1)
            entry_loads.rows = rows
        while entry_loads.grants and entry_loads.grants[0].number <= grants_seen:
            self._uncount(entry_loads.grants.pop(0))
        # A new leader continues the numbering that the entry has seen.
        entry_loads.last_grant = max(entry_loads.last_grant, grants_seen)

    def grant(self, entry_id: str, loads: dict[str, EngineLoad], now_s: float) -> int:
        """Add the load of a placement to an entry; return the number of the grant."""
        entry_loads = self._entries.get(entry_id)
        if entry_loads is None:
            entry_loads = self._entry(entry_id, now_s)
        entry_loads.last_grant += 1
        for incarnation, load in loads.items():
            grant = _Grant(
                entry_loads.last_grant,
                entry_id,
                incarnation,
                load,
                now_s + GRANT_TTL_S,
            )
            entry_loads.grants.append(grant)
            self._grants.append(grant)
            self._add(incarnation, attrs.astuple(load), 1)
        return entry_loads.last_grant

    def totals(self, now_s: float, excluding: str = "") -> dict[str, EngineLoad]:
        """Return the load of all entries by incarnation, without entry `excluding`."""
        return subtract_rows(self.rows(now_s), self.own_rows(excluding))

    def rows(self, now_s: float) -> dict[str, list[int]]:
        """Return the totals as rows; see `loads_to_rows`."""
        self._expire(now_s)
        return self._totals

    def own_rows(self, entry_id: str) -> dict[str, list[int]]:
        """Return what the totals contain for one entry, as rows."""
        entry_loads = self._entries.get(entry_id)
        if entry_loads is None:
            return {}
        own = {incarnation: list(row) for incarnation, row in entry_loads.rows.items()}
        for grant in entry_loads.grants:
            if grant.is_counted:
                _add_row(own, grant.incarnation, attrs.astuple(grant.load), 1)
        return own

    def remove(self, entry_id: str) -> None:
        """Remove an entry that stops."""
        entry_loads = self._entries.pop(entry_id, None)
        if entry_loads is None:
            return
        self._add_rows(entry_loads.rows, -1)
        for grant in entry_loads.grants:
            self._uncount(grant)

    def _entry(self, entry_id: str, now_s: float) -> _EntryLoads:
        """Return the state of an entry that reports now."""
        entry_loads = self._entries.setdefault(entry_id, _EntryLoads(now_s))
        entry_loads.updated_s = now_s
        self._entries.move_to_end(entry_id)
        return entry_loads

    def _expire(self, now_s: float) -> None:
        """Drop expired grants and the entries that no longer report."""
        while self._grants and self._grants[0].expires_s <= now_s:
            self._uncount(self._grants.popleft())
        while self._entries:
            entry_id, oldest = next(iter(self._entries.items()))
            if now_s - oldest.updated_s <= REPORT_TTL_S:
                return
            self.remove(entry_id)

    def _uncount(self, grant: _Grant) -> None:
        if grant.is_counted:
            grant.is_counted = False
            self._add(grant.incarnation, attrs.astuple(grant.load), -1)

    def _add_rows(self, rows: dict[str, list[int]], sign: int) -> None:
        for incarnation, row in rows.items():
            self._add(incarnation, row, sign)

    def _add(self, incarnation: str, row: Sequence[int], sign: int) -> None:
        self.version += 1
        _add_row(self._totals, incarnation, row, sign)


def _add_row(
    rows: dict[str, list[int]], incarnation: str, row: Sequence[int], sign: int
) -> None:
    """Add a row, or subtract it with sign -1; a row of zeros is dropped."""
    total = rows.setdefault(incarnation, [0, 0, 0])
    for column, value in enumerate(row):
        total[column] += sign * value
    if not any(total):
        del rows[incarnation]
