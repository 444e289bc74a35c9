"""Log events of the entry."""

from endivesill import events

__all__ = [
    "CALLER_GONE",
    "CALL_NOT_RUN",
    "CALL_SENT",
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

REQUEST_ENDED = events.define(
    2001, "request-ended", "The response to a request was sent."
)
REQUEST_REFUSED = events.define(
    2002, "request-refused", "A request was refused or failed with a known error."
)
STREAM_RESUMED = events.define(
    2003, "stream-resumed", "A broken stream is being resumed from its engine."
)
REQUEST_RECEIVED = events.define(
    2004, "request-received", "A request was authenticated and admitted."
)
GENERATION_STARTED = events.define(
    2005, "generation-started", "An attempt at a generation was sent to an engine."
)
REQUEST_RETRIED = events.define(
    2006, "request-retried", "A request is retried after a failed attempt."
)
STREAM_STALLED = events.define(
    2007,
    "stream-stalled",
    "A stream stalled: the engine sent nothing within the limit.",
)
READER_STALLED = events.define(
    2008,
    "reader-stalled",
    "A caller stopped reading its response; the connection is aborted.",
)
GENERATION_KEPT = events.define(
    2009,
    "generation-kept",
    "A caller disconnected; its generation is retained for a reconnect.",
)
GENERATION_CANCELLED = events.define(
    2010, "generation-cancelled", "A generation is being cancelled at its engine."
)
STREAM_RECONNECTED = events.define(
    2011, "stream-reconnected", "A caller reconnected to resume a generation."
)
GENERATION_MOVED = events.define(
    2012,
    "generation-moved",
    "A generation continues at another engine after a migration.",
)
CALL_SENT = events.define(
    2013, "call-sent", "An attempt at a plain call was sent to a target."
)
CALL_NOT_RUN = events.define(
    2014, "call-not-run", "An attempt at a plain call certainly did not run."
)
CLAIM_ANSWERED = events.define(
    2015, "claim-answered", "The ledger answered a claim of an idempotency key."
)
CLAIM_UNRECORDED = events.define(
    2016,
    "claim-unrecorded",
    "The outcome of a claimed call could not be recorded in the ledger.",
)
REQUEST_FAILED = events.define(
    2017, "request-failed", "A request failed on an unexpected exception in the entry."
)
STREAM_BROKEN = events.define(
    2018, "stream-broken", "A stream ended with an error event to the caller."
)
CALLER_GONE = events.define(
    2019, "caller-gone", "A caller disconnected before the end of its response."
)
GENERATION_STAYED = events.define(
    2020,
    "generation-stayed",
    "A generation could not be migrated from a leaving engine.",
)
