"""Log events of the exchanges with targets."""

from endivesill import events

__all__ = ["ANSWER_DROPPED", "CANCEL_FAILED"]

ANSWER_DROPPED = events.define(
    4101, "answer-dropped", "A late or crossed answer of a target was dropped."
)
CANCEL_FAILED = events.define(
    4102, "cancel-failed", "An engine did not answer the cancel of a generation."
)
