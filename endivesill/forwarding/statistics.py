"""Counters and histograms of forwarded requests."""

from __future__ import annotations

import collections

from endivesill.histogram import Histogram

__all__ = ["Statistics"]

# Upper bounds of the histogram buckets.
BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class Statistics:
    """Counts requests by kind of route and by reason.

    Reasons are cut at the first colon, which separates details from a fixed set of
    texts, so that the number of labels stays bounded.
    """

    def __init__(self) -> None:
        self._ended: collections.Counter[tuple[str, str]] = collections.Counter()
        self._refused: collections.Counter[tuple[str, int]] = collections.Counter()
        self._durations: dict[str, Histogram] = collections.defaultdict(_histogram)
        self._waits: dict[str, Histogram] = collections.defaultdict(_histogram)
        self._failed: collections.Counter[str] = collections.Counter()

    def refused(self, reason: str, status: int) -> None:
        """Count a refused request."""
        self._refused[reason.partition(":")[0], status] += 1

    def ended(self, kind: str, outcome: str, elapsed_s: float) -> None:
        """Count an ended request and its duration."""
        self._ended[kind, outcome] += 1
        self._durations[kind].record_s(elapsed_s)

    def placed(self, kind: str, waited_s: float) -> None:
        """Count a placement and the wait for it."""
        self._waits[kind].record_s(waited_s)

    def attempt_failed(self, reason: str) -> None:
        """Count an attempt without a usable response."""
        self._failed[reason.partition(":")[0]] += 1

    def lines(self) -> list[str]:
        """Return the metrics in Prometheus text format, one line each."""
        lines = []
        for (kind, outcome), count in sorted(self._ended.items()):
            labels = f'kind="{kind}",outcome="{outcome}"'
            lines.append(f"endivesill_requests_total{{{labels}}} {count}")
        for (reason, status), count in sorted(self._refused.items()):
            labels = f'reason="{reason}",status="{status}"'
            lines.append(f"endivesill_refused_total{{{labels}}} {count}")
        for reason, count in sorted(self._failed.items()):
            labels = f'reason="{reason}"'
            lines.append(f"endivesill_attempts_failed_total{{{labels}}} {count}")
        for name, histograms in (
            ("endivesill_request_duration_seconds", self._durations),
            ("endivesill_place_wait_seconds", self._waits),
        ):
            for kind, histogram in sorted(histograms.items()):
                lines += histogram.lines(name, f'kind="{kind}"')
        return lines


def _histogram() -> Histogram:
    return Histogram(BOUNDS_S)
