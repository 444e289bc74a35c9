"""Counters and histograms of forwarding."""

from __future__ import annotations

import bisect
import collections

__all__ = ["Statistics"]

# Upper bounds of the latency histogram's buckets.
BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class Statistics:
    """Counts outcomes by kind of route and by reason.

    Reasons come from a fixed set of texts, but for details after a colon, which
    are left out, so that the labels stay bounded.
    """

    def __init__(self) -> None:
        self._ended: collections.Counter[tuple[str, str]] = collections.Counter()
        self._refused: collections.Counter[tuple[str, int]] = collections.Counter()
        self._buckets: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = collections.defaultdict(float)

    def refused(self, reason: str, status: int) -> None:
        """Count a request that was answered without being run."""
        self._refused[reason.partition(":")[0], status] += 1

    def ended(self, kind: str, outcome: str, elapsed_s: float) -> None:
        """Count a request that has ended."""
        self._ended[kind, outcome] += 1
        buckets = self._buckets.setdefault(kind, [0] * (len(BOUNDS_S) + 1))
        buckets[bisect.bisect_left(BOUNDS_S, elapsed_s)] += 1
        self._sums_s[kind] += elapsed_s

    def lines(self) -> list[str]:
        """Return the metrics as lines of Prometheus text."""
        lines = []
        for (kind, outcome), count in sorted(self._ended.items()):
            labels = f'kind="{kind}",outcome="{outcome}"'
            lines.append(f"endivesill_requests_total{{{labels}}} {count}")
        for (reason, status), count in sorted(self._refused.items()):
            labels = f'reason="{reason}",status="{status}"'
            lines.append(f"endivesill_refused_total{{{labels}}} {count}")
        for kind, buckets in sorted(self._buckets.items()):
            lines += self._histogram(kind, buckets)
        return lines

    def _histogram(self, kind: str, buckets: list[int]) -> list[str]:
        name = "endivesill_request_duration_seconds"
        lines = []
        total = 0
        for bound, count in zip((*BOUNDS_S, "+Inf"), buckets, strict=True):
            total += count
            lines.append(f'{name}_bucket{{kind="{kind}",le="{bound}"}} {total}')
        lines.append(f'{name}_count{{kind="{kind}"}} {total}')
        lines.append(f'{name}_sum{{kind="{kind}"}} {self._sums_s[kind]:.3f}')
        return lines
