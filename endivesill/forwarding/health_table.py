"""The health of targets: outcomes of requests, and ejections of outliers."""

from __future__ import annotations

from collections.abc import Callable

from endivesill import events
from endivesill.fleet.outcomes import OutcomeCounts
from endivesill.fleet.pauses import PauseCounts
from endivesill.forwarding.events import TARGET_EJECTED, TARGET_READMITTED
from endivesill.forwarding.target import Target
from endivesill.timer import TimerService

__all__ = ["CONNECT_EJECTION_S", "REPLACED_S", "HealthTable"]

# First ejection of a target that cannot be connected to or does not report its load;
# about two reads of the platform's list.
CONNECT_EJECTION_S = 0.5
# The ejection doubles with each consecutive refused connection, up to this.
MAX_CONNECT_EJECTION_S = 4.0
MAX_CONNECT_DOUBLINGS = 3
# How long a target counts as replaced after an answer that says so. A crashed one stays
# in the platform's list for some seconds.
REPLACED_S = 10.0
# Largest fraction of a service's targets that may be ejected at a time.
MAX_EJECTED_FRACTION = 0.5


class HealthTable:
    """Targets by incarnation and by service, with their health.

    Args:
      timer: the timer service.

    Attributes:
      on_ejected: called with a target and the duration of its ejection as an outlier.
      outcomes: counts the outcomes of this entry's requests for the leader.
      on_broken: called after a request that a target broke off.
      pauses: counts the pauses of this entry's streams for the leader.
      on_strain: called with an incarnation whose streams pause for longer than usual.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self.on_ejected: Callable[[Target, float], None] = lambda target, time_s: None
        self.outcomes = OutcomeCounts()
        self.pauses = PauseCounts()
        self.on_strain: Callable[[str], None] = lambda incarnation: None
        self.on_broken: Callable[[], None] = lambda: None

    def eject(self, target: Target, duration_s: float, reason: str) -> None:
        """Eject an outlier for a time, unless too many targets are ejected already."""
        if self._may_eject(target):
            until_s = self._timer.now_s() + duration_s
            target.outlier_until_s = max(target.outlier_until_s, until_s)
            self._log_ejection(target, duration_s, reason)
            self.on_ejected(target, duration_s)

    def _may_eject(self, target: Target) -> bool:
        now_s = self._timer.now_s()
        peers = self._by_service.get(target.info.service, [])
        ejected = sum(t.ejected_until_s > now_s for t in peers if t is not target)
        return ejected + 1 <= MAX_EJECTED_FRACTION * len(peers)

    def _log_ejection(
        self, target: Target, duration_s: float | None, reason: str
    ) -> None:
        events.emit(
            TARGET_EJECTED,
            target=target.info.identity,
            service=target.info.service,
            duration_s=duration_s,
            reason=reason,
        )

    def note_replaced(self, target: Target) -> None:
        """Stop using a target whose address now belongs to another one, for a time.

        The list names its new address or drops it sooner, unless the answer was wrong.
        """
        target.is_replaced = True
        self._timer.call_after(REPLACED_S, lambda: self._end_replacement(target))
        self._log_ejection(target, None, "another target has its address")

    def _end_replacement(self, target: Target) -> None:
        target.is_replaced = False

    def note_no_connection(self, target: Target, reason: str) -> None:
        """Eject a target that cannot be connected to."""
        doublings = min(target.refused_connections, MAX_CONNECT_DOUBLINGS)
        ejection_s = CONNECT_EJECTION_S * 2**doublings
        target.refused_connections += 1
        if self._may_eject(target):
            ejection_s = min(ejection_s, MAX_CONNECT_EJECTION_S)
            target.unreachable_until_s = self._timer.now_s() + ejection_s
            self._log_ejection(target, ejection_s, reason)

    def note_broken(self, target: Target) -> None:
        """Count a request whose connection ended without a response."""
        self.outcomes.note_broken(target.info.incarnation)
        self.on_broken()

    def apply_outcomes(self, rows: dict[str, list[int]]) -> None:
        """Count the outcomes that an entry reports; done at the leader.

        Args:
          rows: rows of `OutcomeCounts`; unknown incarnations are skipped.
        """
        for incarnation, (succeeded, failed, broken) in rows.items():
            target = self._targets.get(incarnation)
            if target is None:
                continue
            for _ in range(succeeded):
                self._record_outcome(target, succeeded=True)
            for _ in range(failed):
                self._record_outcome(target, succeeded=False)
            for _ in range(broken):
                ejection_s = target.broken.note(self._timer.now_s())
                if ejection_s > 0:
                    self.eject(target, ejection_s, "breaks off requests")

    def apply_ejections(self, remaining_s: dict[str, float]) -> None:
        """Eject targets as the leader says, by incarnation."""
        now_s = self._timer.now_s()
        for incarnation, duration_s in remaining_s.items():
            target = self._targets.get(incarnation)
            if target is not None:
                until_s = now_s + duration_s
                target.outlier_until_s = max(target.outlier_until_s, until_s)

    def note_overdue(self, target: Target) -> None:
        """Count an overdue response; eject the target after several in a row."""
        ejection_s = target.health.note_overdue()
        if ejection_s > 0:
            self.eject(target, ejection_s, "answers are overdue")

    def note_outcome(self, target: Target, *, succeeded: bool) -> None:
        """Count a response; eject the target if it is an outlier among its peers."""
        if succeeded:
            self.outcomes.note_succeeded(target.info.incarnation)
        else:
            self.outcomes.note_failed(target.info.incarnation)
        self._record_outcome(target, succeeded=succeeded)

    def _record_outcome(self, target: Target, *, succeeded: bool) -> None:
        target.refused_connections = 0
        target.unreachable_until_s = 0.0
        target.health.record_response(succeeded=succeeded)
        peers = [
            t.health
            for t in self._by_service.get(target.info.service, [])
            if t is not target
        ]
        ejection_s = target.health.ejection_s(peers)
        if ejection_s > 0:
            self.eject(target, ejection_s, "fails more often than its peers")
        elif succeeded and target.health.check_readmission():
            events.emit(TARGET_READMITTED, target=target.info.identity)
