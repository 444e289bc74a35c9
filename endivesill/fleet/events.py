"""Log events of the fleet's shared knowledge."""

from endivesill import events

__all__ = [
    "CHANGE_ANSWERED",
    "ENGINE_LIST_CHANGED",
    "ENGINE_UNHEALTHY",
    "HEALTH_DOUBTED",
    "HEALTH_UNKNOWN",
    "LEADER_LOST",
    "LEADER_REACHED",
    "LIST_ENTRY_SKIPPED",
    "LIST_LOST",
    "LIST_REGAINED",
    "REPORTS_LOST",
    "REPORTS_REGAINED",
    "CONFIGURATION_IN_FORCE",
]

CONFIGURATION_IN_FORCE = events.define(
    5101, "configuration-in-force", "This process uses a newer configuration."
)
CHANGE_ANSWERED = events.define(
    5102, "change-answered", "An operator's order was answered."
)
LEADER_REACHED = events.define(
    5103, "leader-reached", "The control leader answers this process again."
)
LEADER_LOST = events.define(5104, "leader-lost", "No control VM answers as the leader.")
ENGINE_LIST_CHANGED = events.define(
    4501, "engine-list-changed", "The list of engines in use has changed."
)
REPORTS_LOST = events.define(
    4505, "engine-report-lost", "An engine does not answer when it is asked for load."
)
REPORTS_REGAINED = events.define(
    4506, "engine-report-regained", "An engine answers again when asked for load."
)
ENGINE_UNHEALTHY = events.define(
    4507,
    "engine-unhealthy",
    "An engine says in its health check that it takes no work.",
)
HEALTH_DOUBTED = events.define(
    4509,
    "engine-health-doubted",
    "An engine fails its health check, and neither list nor report confirms it.",
)
HEALTH_UNKNOWN = events.define(
    4508, "engine-health-unknown", "An engine does not answer its health check."
)
LIST_LOST = events.define(
    4502, "engine-list-lost", "The platform's list cannot be read; the last one holds."
)
LIST_REGAINED = events.define(
    4503, "engine-list-regained", "The platform's list can be read again."
)
LIST_ENTRY_SKIPPED = events.define(
    4504, "list-entry-skipped", "An entry of the platform's list cannot be read."
)
