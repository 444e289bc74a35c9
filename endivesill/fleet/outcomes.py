"""Outcomes of requests at each engine, reported by entries to the leader."""

from __future__ import annotations

from endivesill.timer import TimerService

__all__ = ["Ejections", "OutcomeCounts"]

Rows = dict[str, list[int]]


class OutcomeCounts:
    """One entry's outcomes since its last report.

    Rows are `[succeeded, failed, broken]` by incarnation; broken are the requests whose
    connection ended without a response.
    """

    def __init__(self) -> None:
        self._rows: Rows = {}

    def note_succeeded(self, incarnation: str) -> None:
        """Count a response that is no server error."""
        self._row(incarnation)[0] += 1

    def note_failed(self, incarnation: str) -> None:
        """Count a server error, or a request without a response."""
        self._row(incarnation)[1] += 1

    def note_broken(self, incarnation: str) -> None:
        """Count a connection that ended without a response."""
        self._row(incarnation)[2] += 1

    def take(self) -> Rows:
        """Return the rows for a report and start anew."""
        rows, self._rows = self._rows, {}
        return rows

    def restore(self, rows: Rows) -> None:
        """Add back the rows of a report that did not arrive."""
        for incarnation, row in rows.items():
            total = self._row(incarnation)
            for column, value in enumerate(row):
                total[column] += value

    def _row(self, incarnation: str) -> list[int]:
        return self._rows.setdefault(incarnation, [0, 0, 0])


class Ejections:
    """Ejections that the leader publishes to all entries.

    Args:
      timer: the timer service.

    Attributes:
      number: counts the ejections.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._until_s: dict[str, float] = {}
        self.number = 0

    def add(self, incarnation: str, duration_s: float) -> None:
        """Eject an incarnation for a time."""
        now_s = self._timer.now_s()
        self._until_s = {k: v for k, v in self._until_s.items() if v > now_s}
        self._until_s[incarnation] = now_s + duration_s
        self.number += 1

    def remaining_s(self) -> dict[str, float]:
        """Return the remaining time of each ejection in force, by incarnation."""
        now_s = self._timer.now_s()
        return {
            incarnation: round(until_s - now_s, 3)
            for incarnation, until_s in self._until_s.items()
            if until_s > now_s
        }
