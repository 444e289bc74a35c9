"""Outcomes of requests by version and route, reported by entries to the leader.

The rows of one service are `{route: {"requests", "old", "new"}}`: the requests to the
route, and for each version `{"failed", "start", "pace"}`. The last two are histograms:
how many requests, by `bucket_of` of the time to the first byte and of the time per
event.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from endivesill.duration_buckets import bucket_of

__all__ = [
    "MEASURES",
    "OutcomeRows",
    "VERSIONS",
    "VersionOutcomes",
]

VERSIONS = ("old", "new")
MEASURES = ("start", "pace")
# Routes with rows of their own in one report; the others share one.
MAX_ROUTES = 64
OTHER_ROUTES = "*other"

OutcomeRows = dict[str, dict[str, Any]]


class VersionOutcomes:
    """One entry's outcomes of one service since its last report."""

    def __init__(self) -> None:
        self._rows: OutcomeRows = {}

    def note_request(self, route: str) -> None:
        """Count a request to the service."""
        self._row(route)["requests"] += 1

    def note_failed(self, route: str, version: str) -> None:
        """Count a failure of an engine, or a request without a response."""
        self._row(route)[version]["failed"] += 1

    def note_time(
        self, route: str, version: str, measure: str, duration_s: float
    ) -> None:
        """Count a time to the first byte, or a time per event."""
        counts = self._row(route)[version][measure]
        # JSON has strings as keys.
        bucket = str(bucket_of(duration_s))
        counts[bucket] = counts.get(bucket, 0) + 1

    def take(self) -> OutcomeRows:
        """Return the rows for a report and start anew."""
        rows, self._rows = self._rows, {}
        return rows

    def restore(self, rows: OutcomeRows) -> None:
        """Add back the rows of a report that did not arrive."""
        for route, row in rows.items():
            self._row(route)["requests"] += row["requests"]
            for version, measure, bucket, count in _counts(row):
                side = self._row(route)[version]
                if measure == "failed":
                    side["failed"] += count
                else:
                    side[measure][bucket] = side[measure].get(bucket, 0) + count

    def _row(self, route: str) -> dict[str, Any]:
        if route not in self._rows and len(self._rows) >= MAX_ROUTES:
            route = OTHER_ROUTES
        row = self._rows.get(route)
        if row is None:
            row = self._rows[route] = {"requests": 0}
            for version in VERSIONS:
                row[version] = {"failed": 0, "start": {}, "pace": {}}
        return row


def _counts(row: dict[str, Any]) -> Iterator[tuple[str, str, str, int]]:
    """Yield version, measure, bucket and count; failures have no bucket."""
    for version in VERSIONS:
        yield version, "failed", "", row[version]["failed"]
        for measure in MEASURES:
            for bucket, count in row[version][measure].items():
                yield version, measure, bucket, count
