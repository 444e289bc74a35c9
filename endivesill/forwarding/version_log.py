"""Counts the outcomes of calls by the version of their targets."""

from __future__ import annotations

from endivesill.forwarding.call import Call
from endivesill.forwarding.targets import Target, TargetTable

__all__ = ["PACE_EVENTS", "VersionLog"]

# Events of a stream after its first one from which its pace is taken; the lag of single
# events averages out.
PACE_EVENTS = 8
# Times below this fraction of what the route allows count as equal. Callers notice no
# difference, while the load of a VM makes short times several times longer.
UNNOTICED_FRACTION = 0.1


class VersionLog:
    """Counts outcomes for the roll-outs that an entry knows of.

    Args:
      table: has the versions of the targets.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table

    def note_request(self, call: Call) -> None:
        """Count a request to a service."""
        self._table.versions.note_request(call.service.name, call.route.name)

    def note_failed(self, call: Call, target: Target) -> None:
        """Count a failure of a target, or a request without a response."""
        self._table.versions.note_failed(
            call.service.name, call.route.name, target.info.incarnation
        )

    def note_start(self, call: Call, target: Target, duration_s: float) -> None:
        """Count the time to the first byte of a response."""
        unnoticed_s = UNNOTICED_FRACTION * call.route.target_latency_s
        self._table.versions.note_start(
            call.service.name,
            call.route.name,
            target.info.incarnation,
            max(duration_s, unnoticed_s),
        )

    def note_pace(
        self, call: Call, target: Target, event_count: int, duration_s: float
    ) -> None:
        """Count the time of a stream since its first event, once there are enough."""
        if event_count >= PACE_EVENTS:
            unnoticed_s = UNNOTICED_FRACTION * call.route.gap_target_s
            self._table.versions.note_pace(
                call.service.name,
                call.route.name,
                target.info.incarnation,
                max(duration_s / event_count, unnoticed_s),
            )
