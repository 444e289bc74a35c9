"""Log events of the operator port."""

from endivesill import events

__all__ = ["CHANGE_ANSWERED", "OPERATOR_CALL_FAILED", "VOTERS_CHANGED"]

CHANGE_ANSWERED = events.define(
    5201, "change-answered", "A configuration change by an operator ended."
)
VOTERS_CHANGED = events.define(
    5202, "voters-changed", "A change of the voters by an operator ended."
)
OPERATOR_CALL_FAILED = events.define(
    5203, "operator-call-failed", "A call to the operator port failed."
)
