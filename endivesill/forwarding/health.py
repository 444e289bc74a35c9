"""Outlier detection from the answers of a target itself."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["HealthRecord"]

# Weight of the newest answer in the moving failure share.
NEWEST_WEIGHT = 0.1
# Answers before a failure share says anything.
LEAST_ANSWERS = 5
# A target is an outlier if it fails this much more often than its peers' mean;
# some requests fail by themselves wherever they run.
EXCESS_SHARE = 0.25
# Answers that are overdue in a row before a target rests; one may be slow work.
OVERDUE_LIMIT = 2
# Rest after the first finding; it doubles with each further one in a row.
REST_S = 2.0
REST_LIMIT_S = 16.0


class HealthRecord:
    """The moving failure share of one target.

    Attributes:
      failure_share: from 0 to 1.
      answers: how many answers were seen, up to `LEAST_ANSWERS`.
      overdue: requests without an answer in good time since the last answer.
    """

    def __init__(self) -> None:
        self.failure_share = 0.0
        self.answers = 0
        self.overdue = 0
        self._findings = 0
        self._on_probation = False

    def note_overdue(self) -> float:
        """Count an answer that is overdue; return how long the target should rest.

        Answers the pattern of a target that takes requests and says nothing:
        its failures show only when the requests' time is over.
        """
        self.overdue += 1
        return self._next_rest_s() if self.overdue >= OVERDUE_LIMIT else 0.0

    def note(self, *, good: bool) -> None:
        """Count one answer."""
        self.overdue = 0
        self.answers = min(LEAST_ANSWERS, self.answers + 1)
        sample = 0.0 if good else 1.0
        self.failure_share += NEWEST_WEIGHT * (sample - self.failure_share)

    def rest_s(self, peers: Sequence[HealthRecord]) -> float:
        """Return how long the target should rest; 0 if it is no outlier.

        Answers the pattern of a target that fails part of its requests while
        its health check is good.
        """
        if self.answers < LEAST_ANSWERS:
            return 0.0
        seen = [p.failure_share for p in peers if p.answers >= LEAST_ANSWERS]
        usual = min(seen, default=0.0)
        if self.failure_share - usual < EXCESS_SHARE:
            return 0.0
        self.failure_share = usual
        return self._next_rest_s()

    def _next_rest_s(self) -> float:
        rest_s = min(REST_LIMIT_S, REST_S * 2**self._findings)
        self._findings += 1
        self.answers = 0
        self._on_probation = True
        return rest_s

    def readmitted(self) -> bool:
        """Tell once that a target on probation has answered well again."""
        if not self._on_probation or self.answers < LEAST_ANSWERS:
            return False
        self._on_probation = False
        self._findings = 0
        return True
