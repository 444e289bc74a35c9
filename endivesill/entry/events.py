"""Log events of the entry."""

from endivesill import events

__all__ = [
    "CALLER_GONE",
    "CALL_SENT",
    "CALL_SKIPPED",
    "CLAIM_ANSWERED",
    "CLAIM_UNRECORDED",
    "GENERATION_CANCELLED",
    "GENERATION_KEPT",
    "GENERATION_MOVED",
    "GENERATION_STARTED",
    "GENERATION_STAYED",
    "READER_STALLED",
    "REQUEST_ENDED",
    "REQUEST_FAILED",
    "REQUEST_RECEIVED",
    "REQUEST_REFUSED",
    "REQUEST_RETRIED",
    "STREAM_BROKEN",
    "STREAM_RECONNECTED",
    "STREAM_RESUMED",
    "STREAM_STALLED",
]

REQUEST_ENDED = events.define(2001, "request-ended", "A request has its answer.")
REQUEST_REFUSED = events.define(
    2002, "request-refused", "A caller was told that its request is not answered."
)
STREAM_RESUMED = events.define(
    2003, "stream-resumed", "A broken stream goes on at the same engine."
)
REQUEST_RECEIVED = events.define(
    2004, "request-received", "A request of a known organisation was taken in."
)
GENERATION_STARTED = events.define(
    2005, "generation-started", "An attempt at a generation was sent to an engine."
)
REQUEST_RETRIED = events.define(
    2006, "request-retried", "A request starts again after a failed attempt."
)
STREAM_STALLED = events.define(
    2007, "stream-stalled", "An engine's stream was silent for too long."
)
READER_STALLED = events.define(
    2008, "reader-stalled", "A caller left its answer unread for too long."
)
GENERATION_KEPT = events.define(
    2009,
    "generation-kept",
    "A caller's connection broke; its generation is kept for a reconnect.",
)
GENERATION_CANCELLED = events.define(
    2010, "generation-cancelled", "A generation was cancelled at its engine."
)
STREAM_RECONNECTED = events.define(
    2011, "stream-reconnected", "A caller came back for the rest of a generation."
)
GENERATION_MOVED = events.define(
    2012, "generation-moved", "A generation goes on at another engine."
)
CALL_SENT = events.define(
    2013, "call-sent", "An attempt at a plain call was sent to a target."
)
CALL_SKIPPED = events.define(
    2014, "call-not-run", "An attempt at a plain call certainly did not run."
)
CLAIM_ANSWERED = events.define(
    2015, "claim-answered", "An idempotency key was claimed, or known already."
)
CLAIM_UNRECORDED = events.define(
    2016, "claim-unrecorded", "The outcome of an idempotency key was not recorded."
)
REQUEST_FAILED = events.define(
    2017, "request-failed", "A request met a fault of the entry itself."
)
STREAM_BROKEN = events.define(
    2018, "stream-broken", "A caller was told that its stream ends here."
)
CALLER_GONE = events.define(
    2019, "caller-gone", "A caller went away before the end of its answer."
)
GENERATION_STAYED = events.define(
    2020,
    "generation-stayed",
    "A leaving engine could not hand a generation to another one.",
)
