"""Log events of the fleet state that VMs share."""

from endivesill import events

__all__ = [
    "CHANGE_ANSWERED",
    "CRASHES_UNREPORTED",
    "CRASHES_UNSTORED",
    "ENGINES_UNREPORTED",
    "ENGINE_CRASHED",
    "END_NOT_COUNTED",
    "ENGINE_LEAVING",
    "ENGINE_LIST_CHANGED",
    "ENGINE_PAUSED",
    "ENGINE_UNEVEN",
    "ENGINE_UNHEALTHY",
    "HEALTH_DOUBTED",
    "HEALTH_UNKNOWN",
    "LEADER_LOST",
    "LEADER_REACHED",
    "LIST_ENTRY_SKIPPED",
    "LIST_LOST",
    "LIST_REGAINED",
    "CRASH_CAUSE_BLOCKED",
    "CRASH_CAUSE_RELEASED",
    "REPORTS_LOST",
    "REPORTS_REGAINED",
    "CONFIGURATION_IN_FORCE",
]

CONFIGURATION_IN_FORCE = events.define(
    5101, "configuration-in-force", "This process applied a newer configuration."
)
CHANGE_ANSWERED = events.define(
    5102, "change-answered", "An operator's request was answered."
)
LEADER_REACHED = events.define(
    5103, "leader-reached", "The control leader answers this process."
)
LEADER_LOST = events.define(
    5104, "leader-lost", "No control VM answers this process as the leader."
)
ENGINE_LIST_CHANGED = events.define(
    4501, "engine-list-changed", "The list of engines has changed."
)
REPORTS_LOST = events.define(
    4505,
    "engine-report-lost",
    "An engine does not answer requests for its load report.",
)
REPORTS_REGAINED = events.define(
    4506,
    "engine-report-regained",
    "An engine answers requests for its load report again.",
)
ENGINE_UNHEALTHY = events.define(
    4507,
    "engine-unhealthy",
    "An engine fails its health check and counts as leaving.",
)
HEALTH_DOUBTED = events.define(
    4509,
    "engine-health-doubted",
    "A failing health check is ignored: neither list nor report confirms it.",
)
HEALTH_UNKNOWN = events.define(
    4508, "engine-health-unknown", "An engine does not answer its health check."
)
ENGINE_LEAVING = events.define(
    4510, "engine-leaving", "An engine has said in a response that it leaves."
)
ENGINE_PAUSED = events.define(
    4513,
    "engine-paused",
    "An engine has rejected a request and wants none from this process for a time.",
)
ENGINE_LIMITED = events.define(
    4514,
    "engine-limited",
    "An engine limits the requests per second from all entries together.",
)
ENGINE_UNLIMITED = events.define(
    4515, "engine-unlimited", "An engine no longer limits the rate of requests."
)
ENGINE_BRITTLE = events.define(
    4520,
    "engine-brittle",
    "An engine falls over when it has to reject too many requests for want of room.",
)
ENGINE_NOT_BRITTLE = events.define(
    4521, "engine-not-brittle", "An engine no longer says that it is brittle."
)
PERMITS_UNANSWERED = events.define(
    4516,
    "permits-unanswered",
    "The leader did not answer a request for permits; entries take turns meanwhile.",
)
ENGINES_UNREPORTED = events.define(
    5105,
    "engines-unreported",
    "The leader did not confirm a report on engines; the next poll has it.",
)
CRASHES_UNREPORTED = events.define(
    5106,
    "crashes-unreported",
    "A control VM did not confirm a report on crashes; the next poll has it.",
)
ENGINE_CRASHED = events.define(
    5107,
    "engine-crashed",
    "An engine ended; the causes of the requests that it held are reported.",
)
END_NOT_COUNTED = events.define(
    5111,
    "end-not-counted",
    "A run was cut off, and counts for no crash of its engine.",
)
CRASH_CAUSE_BLOCKED = events.define(
    5108,
    "crash-cause-blocked",
    "Requests with these causes crash engines and are refused.",
)
CRASH_CAUSE_RELEASED = events.define(
    5109, "crash-cause-released", "Requests with these causes are served again."
)
CRASHES_UNSTORED = events.define(
    5110,
    "crashes-unstored",
    "The reports that block a cause were not stored; it is tried again.",
)
ENGINE_UNEVEN = events.define(
    4530,
    "engine-uneven",
    "An engine has become slower than its peers, or no longer is; usual pauses are "
    "given as numbers of buckets.",
)
STRAIN_UNREPORTED = events.define(
    4531,
    "strain-unreported",
    "The leader was not told which engines are strained; another notice follows.",
)
LIST_LOST = events.define(
    4502,
    "engine-list-lost",
    "The platform's list cannot be read; the last one stays in use.",
)
LIST_REGAINED = events.define(
    4503, "engine-list-regained", "The platform's list can be read again."
)
LIST_ENTRY_SKIPPED = events.define(
    4504, "list-entry-skipped", "An invalid entry of the platform's list was skipped."
)
