"""Log events of forwarding."""

from typing import Any

from endivesill import events

__all__ = [
    "ANSWER_SKIPPED",
    "ATTEMPT_FAILED",
    "FLEET_BUSY",
    "PLACE_REFUSED",
    "REQUEST_ENDED",
    "REQUEST_PLACED",
    "REQUEST_REFUSED",
    "RUN_COPIED",
    "STREAM_RESUMED",
    "TARGET_EJECTED",
    "TARGET_READMITTED",
    "request_failed",
]

REQUEST_PLACED = events.define(
    2101, "request-placed", "A target was chosen for a request."
)
REQUEST_REFUSED = events.define(
    2102, "request-refused", "A request was answered without being run."
)
ATTEMPT_FAILED = events.define(
    2103, "attempt-failed", "A target did not give a good answer to a request."
)
REQUEST_ENDED = events.define(2104, "request-ended", "A request has its last byte.")
STREAM_RESUMED = events.define(
    2105, "stream-resumed", "A stream goes on from a copy of its run."
)
RUN_COPIED = events.define(
    2107, "run-copied", "The memory of a run was copied to another engine, or not."
)
PLACE_REFUSED = events.define(
    2108, "place-refused", "The leader has no place for an entry's request."
)
FLEET_BUSY = events.define(
    2109, "fleet-busy", "Requests wait for places; the load of each engine."
)
ANSWER_SKIPPED = events.define(
    2106, "answer-skipped", "An answer to another request came on a connection."
)
TARGET_EJECTED = events.define(
    4511, "target-ejected", "A target's own answers show that it fails; it rests."
)
TARGET_READMITTED = events.define(
    4512, "target-readmitted", "An ejected target may have requests again."
)

FAILURES = {kind.number for kind in (REQUEST_REFUSED, ATTEMPT_FAILED, PLACE_REFUSED)}


def request_failed(kind: events.EventKind, fields: dict[str, Any]) -> bool | None:
    """Tell of an event whether its request has failed; None while that is open.

    An attempt that has failed counts: what was decided before it explains it.
    """
    if kind is REQUEST_ENDED:
        return fields["outcome"] != "answered"
    return True if kind.number in FAILURES else None
