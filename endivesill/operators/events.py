"""Log events of the operator port."""

from endivesill import events

__all__ = ["CHANGE_ANSWERED", "OPERATOR_CALL_FAILED", "VOTERS_CHANGED"]

CHANGE_ANSWERED = events.define(
    5201, "change-answered", "An operator's change was answered."
)
VOTERS_CHANGED = events.define(
    5202, "voters-changed", "An operator's change of the voters was answered."
)
OPERATOR_CALL_FAILED = events.define(
    5203, "operator-call-failed", "An operator's call could not be carried out."
)
