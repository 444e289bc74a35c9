"""Log events of request forwarding."""

from typing import Any

from endivesill import events

__all__ = [
    "ANSWER_SKIPPED",
    "ATTEMPT_FAILED",
    "FLEET_BUSY",
    "PLACE_REFUSED",
    "REQUEST_BLOCKED",
    "REQUEST_ENDED",
    "PROXY_FAILED",
    "REQUEST_PLACED",
    "REQUEST_REFUSED",
    "RUN_COPIED",
    "RUN_STOPPED",
    "STREAM_RESUMED",
    "REQUEST_PROXIED",
    "TARGET_EJECTED",
    "TARGET_LINK_LOST",
    "TARGET_LINK_REGAINED",
    "TARGET_READMITTED",
    "TARGET_UNCHECKED",
    "request_failed",
]

REQUEST_PLACED = events.define(
    2101, "request-placed", "A target was chosen for a request."
)
REQUEST_REFUSED = events.define(
    2102, "request-refused", "A request was refused without being run."
)
ATTEMPT_FAILED = events.define(
    2103,
    "attempt-failed",
    "An attempt at a target failed or ended with a server error.",
)
REQUEST_ENDED = events.define(
    2104, "request-ended", "A request that was not refused has ended."
)
STREAM_RESUMED = events.define(
    2105,
    "stream-resumed",
    "A stream was resumed at another engine from a copy of its run.",
)
RUN_COPIED = events.define(
    2107, "run-copied", "An order to copy a run's KV cache to another engine has ended."
)
RUN_STOPPED = events.define(
    2113,
    "run-stopped",
    "What has become of a run that was given up while its engine worked on it.",
)
PLACE_REFUSED = events.define(
    2108, "place-refused", "The leader refused an entry's request for a placement."
)
FLEET_BUSY = events.define(
    2109, "fleet-busy", "Requests to a service are queued; the load of each engine."
)
ANSWER_SKIPPED = events.define(
    2106, "answer-skipped", "A response to another request was skipped."
)
REQUEST_BLOCKED = events.define(
    2110, "request-blocked", "A request has causes that crash engines; it is refused."
)
REQUEST_PROXIED = events.define(
    2111, "request-proxied", "A request of another entry was sent to its target."
)
PROXY_FAILED = events.define(
    2112, "proxy-failed", "Another entry could not send a request for this one."
)
TARGET_EJECTED = events.define(
    4511,
    "target-ejected",
    "A target was ejected because of failures, or its address was reused.",
)
TARGET_READMITTED = events.define(
    4512, "target-readmitted", "An ejected target has passed its probation."
)
TARGET_LINK_LOST = events.define(
    4517,
    "target-link-lost",
    "This entry cannot connect to a target; its requests go through other entries.",
)
TARGET_LINK_REGAINED = events.define(
    4518, "target-link-regained", "This entry can connect to a target again."
)
TARGET_UNCHECKED = events.define(
    4519,
    "target-unchecked",
    "Another entry did not say whether it can connect to a target.",
)

FAILURES = {kind.number for kind in (REQUEST_REFUSED, ATTEMPT_FAILED, PLACE_REFUSED)}


def request_failed(kind: events.EventKind, fields: dict[str, Any]) -> bool | None:
    """Return whether an event ends its request in failure; None while that is open.

    A failed attempt counts as a failure, so that the events before it are kept, which
    explain it.
    """
    if kind is REQUEST_ENDED:
        return fields["outcome"] != "answered"
    return True if kind.number in FAILURES else None
