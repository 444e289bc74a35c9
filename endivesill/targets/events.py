"""Log events of requests to targets."""

from endivesill import events

__all__ = ["ANSWER_DROPPED", "CANCEL_FAILED"]

ANSWER_DROPPED = events.define(
    4101, "answer-dropped", "A response that belongs to another attempt was dropped."
)
CANCEL_FAILED = events.define(
    4102, "cancel-failed", "An engine did not confirm the cancellation of a generation."
)
