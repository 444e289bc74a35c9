"""Outlier detection from the answers of a target itself."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["HealthRecord"]

# Weight of the newest answer in the moving failure share.
EWMA_WEIGHT = 0.1
# Answers before a failure share says anything.
MIN_RESPONSES = 5
# A target is an outlier if it fails this much more often than its peers' mean;
# some requests fail by themselves wherever they run.
MAX_EXCESS_FAILURE_RATE = 0.25
# Answers that are overdue in a row before a target rests; one may be slow work.
MAX_OVERDUE = 2
# Rest after the first finding; it doubles with each further one in a row.
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 16.0


class HealthRecord:
    """The moving failure share of one target.

    Attributes:
      failure_rate: from 0 to 1.
      responses: how many answers were seen, up to `MIN_RESPONSES`.
      overdue: requests without an answer in good time since the last answer.
    """

    def __init__(self) -> None:
        self.failure_rate = 0.0
        self.responses = 0
        self.overdue = 0
        self._ejections = 0
        self._on_probation = False

    def note_overdue(self) -> float:
        """Count an answer that is overdue; return how long the target should rest.

        Answers the pattern of a target that takes requests and says nothing:
        its failures show only when the requests' time is over.
        """
        self.overdue += 1
        return self._next_ejection_s() if self.overdue >= MAX_OVERDUE else 0.0

    def record_response(self, *, good: bool) -> None:
        """Count one answer."""
        self.overdue = 0
        self.responses = min(MIN_RESPONSES, self.responses + 1)
        sample = 0.0 if good else 1.0
        self.failure_rate += EWMA_WEIGHT * (sample - self.failure_rate)

    def ejection_s(self, peers: Sequence[HealthRecord]) -> float:
        """Return how long the target should rest; 0 if it is no outlier.

        Answers the pattern of a target that fails part of its requests while
        its health check is good.
        """
        if self.responses < MIN_RESPONSES:
            return 0.0
        seen = [p.failure_rate for p in peers if p.responses >= MIN_RESPONSES]
        baseline = min(seen, default=0.0)
        if self.failure_rate - baseline < MAX_EXCESS_FAILURE_RATE:
            return 0.0
        self.failure_rate = baseline
        return self._next_ejection_s()

    def _next_ejection_s(self) -> float:
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self._ejections)
        self._ejections += 1
        self.responses = 0
        self._on_probation = True
        return ejection_s

    def check_readmission(self) -> bool:
        """Tell once that a target on probation has answered well again."""
        if not self._on_probation or self.responses < MIN_RESPONSES:
            return False
        self._on_probation = False
        self._ejections = 0
        return True
