"""Log events of the entry."""

from endivesill import events

__all__ = ["REQUEST_ENDED", "REQUEST_REFUSED", "STREAM_RESUMED"]

REQUEST_ENDED = events.define(2001, "request-ended", "A request has its answer.")
REQUEST_REFUSED = events.define(
    2002, "request-refused", "A caller was told that its request is not answered."
)
STREAM_RESUMED = events.define(
    2003, "stream-resumed", "A broken stream goes on at the same engine."
)
