"""Outlier detection from a target's own responses."""

from __future__ import annotations

import collections
from collections.abc import Sequence

__all__ = ["BrokenRequests", "HealthRecord", "new_fleet_record"]

# Weight of the newest response in the moving average of the failure rate.
EWMA_WEIGHT = 0.1
# Responses needed before the failure rate is used.
MIN_RESPONSES = 5
# The same for the outcomes of all entries at the leader. They are many, so a short
# average would cross the threshold by chance every few seconds.
FLEET_EWMA_WEIGHT = 0.03
FLEET_MIN_RESPONSES = 20
# A target is an outlier if its failure rate exceeds that of its best peer by this much;
# some requests fail at any target.
OUTLIER_EXCESS_FAILURE_RATE = 0.25
# Overdue responses in a row before a target is ejected; a single one may be slow work.
MAX_OVERDUE = 2
# Duration of the first ejection; it doubles with each one that follows.
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 16.0
MAX_DOUBLINGS = 3


# Requests that a target breaks off within this time, before it is ejected; a single one
# may be the request's own fault.
BROKEN_WINDOW_S = 1.0
MAX_BROKEN = 2
# Ejection of a target that breaks off requests. It doubles if the target does so again
# soon after it, up to `MAX_BROKEN_EJECTION_S`.
BROKEN_EJECTION_S = 1.0
MAX_BROKEN_EJECTION_S = 4.0
BROKEN_MEMORY_S = 10.0


class BrokenRequests:
    """Requests of all entries that one target broke off without a response.

    In a large fleet each entry sends a target too few requests to see that it fails,
    and all of them would lose one when it goes down.
    """

    def __init__(self) -> None:
        self._times_s: collections.deque[float] = collections.deque(maxlen=MAX_BROKEN)
        self._ejected_at_s = float("-inf")
        self._ejection_s = 0.0

    def note(self, now_s: float) -> float:
        """Count one request; return the ejection in seconds, 0 for none."""
        self._times_s.append(now_s)
        if len(self._times_s) < MAX_BROKEN:
            return 0.0
        if now_s - self._times_s[0] > BROKEN_WINDOW_S:
            return 0.0
        self._times_s.clear()
        if now_s - self._ejected_at_s > BROKEN_MEMORY_S:
            self._ejection_s = 0.0
        self._ejected_at_s = now_s
        self._ejection_s = min(
            MAX_BROKEN_EJECTION_S, max(BROKEN_EJECTION_S, 2 * self._ejection_s)
        )
        return self._ejection_s


class HealthRecord:
    """Failure rate and ejections of one target.

    Args:
      weight: weight of the newest response in the moving average.
      min_responses: responses needed before the failure rate is used.

    Attributes:
      min_responses: see `min_responses` above.
      failure_rate: moving average, from 0 to 1.
      responses: responses counted since the last ejection, up to
        `min_responses`.
      overdue: overdue responses since the last response.
    """

    def __init__(
        self, weight: float = EWMA_WEIGHT, min_responses: int = MIN_RESPONSES
    ) -> None:
        self._weight = weight
        self.min_responses = min_responses
        self.failure_rate = 0.0
        self.responses = 0
        self.overdue = 0
        self._ejections = 0
        self._on_probation = False

    def note_overdue(self) -> float:
        """Count an overdue response; return the ejection in seconds, 0 for none.

        Detects a target that accepts requests without answering, before the requests
        time out.
        """
        self.overdue += 1
        return self._next_ejection_s() if self.overdue >= MAX_OVERDUE else 0.0

    def record_response(self, *, succeeded: bool) -> None:
        """Count one response."""
        self.overdue = 0
        self.responses = min(self.min_responses, self.responses + 1)
        sample = 0.0 if succeeded else 1.0
        self.failure_rate += self._weight * (sample - self.failure_rate)

    def ejection_s(self, peers: Sequence[HealthRecord]) -> float:
        """Return the ejection in seconds; 0 unless the target is an outlier.

        Detects a target that fails part of its requests although its health check
        passes. A positive result restarts the statistics of the target.

        Args:
          peers: the records of the other targets of its service.
        """
        if self.responses < self.min_responses:
            return 0.0
        seen = [p.failure_rate for p in peers if p.responses >= p.min_responses]
        baseline = min(seen, default=0.0)
        if self.failure_rate - baseline < OUTLIER_EXCESS_FAILURE_RATE:
            return 0.0
        self.failure_rate = baseline
        return self._next_ejection_s()

    def _next_ejection_s(self) -> float:
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self._ejections)
        # Counted on, the power would exceed every float.
        self._ejections = min(self._ejections + 1, MAX_DOUBLINGS)
        self.responses = 0
        self.overdue = 0
        self._on_probation = True
        return ejection_s

    def check_readmission(self) -> bool:
        """Return whether probation ends now; true once after each ejection."""
        if not self._on_probation or self.responses < self.min_responses:
            return False
        self._on_probation = False
        self._ejections = 0
        return True


def new_fleet_record() -> HealthRecord:
    """Return a record for the outcomes of all entries, which the leader keeps."""
    return HealthRecord(FLEET_EWMA_WEIGHT, FLEET_MIN_RESPONSES)
