"""The load that each entry puts on each engine, told to the others."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

__all__ = ["EngineLoad", "LoadTable", "add_loads"]

# An entry that has told nothing for this long is taken to have no load.
REPORT_LIFE_S = 2.0


@attrs.frozen
class EngineLoad:
    """What entries have under way at one engine.

    Attributes:
      requests: requests that were sent and have not ended.
      reserved_tokens: engine memory that they are expected to need.
      unread_tokens: prompt tokens of those without a first event.
    """

    requests: int = 0
    reserved_tokens: int = 0
    unread_tokens: int = 0


def add_loads(loads: Iterable[EngineLoad]) -> EngineLoad:
    """Return the sum of loads."""
    requests = reserved = unread = 0
    for load in loads:
        requests += load.requests
        reserved += load.reserved_tokens
        unread += load.unread_tokens
    return EngineLoad(requests, reserved, unread)


class LoadTable:
    """The last report of each entry."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, dict[str, EngineLoad]]] = {}

    def report(self, entry: str, rows: dict[str, list[int]], now_s: float) -> None:
        """Take an entry's report: `[requests, reserved, unread]` by engine."""
        loads = {engine: EngineLoad(*row) for engine, row in rows.items()}
        self._reports[entry] = (now_s, loads)

    def of_others(self, entry: str, now_s: float) -> dict[str, list[int]]:
        """Return the sums of all entries but one, as rows by engine."""
        fresh = {
            name: report
            for name, report in self._reports.items()
            if now_s - report[0] < REPORT_LIFE_S
        }
        self._reports = fresh
        by_engine: dict[str, list[EngineLoad]] = {}
        for name, (_, loads) in fresh.items():
            if name != entry:
                for engine, load in loads.items():
                    by_engine.setdefault(engine, []).append(load)
        sums = {engine: add_loads(loads) for engine, loads in by_engine.items()}
        return {
            engine: [s.requests, s.reserved_tokens, s.unread_tokens]
            for engine, s in sums.items()
        }

    def forget(self, entry: str) -> None:
        """Drop the report of an entry that stops."""
        self._reports.pop(entry, None)
