"""Log events of the distribution of the configuration."""

from endivesill import events

__all__ = [
    "CONFIGURATION_IN_FORCE",
    "COPY_DAMAGED",
    "COPY_FETCHED",
    "COPY_NOT_KEPT",
    "LEASE_GAINED",
    "LEASE_LOST",
    "UPSTREAM_FAILED",
]

CONFIGURATION_IN_FORCE = events.define(
    5001, "configuration-in-force", "A newer revision is in force on this VM."
)
LEASE_GAINED = events.define(
    5002, "configuration-lease-gained", "This VM may start new work."
)
LEASE_LOST = events.define(
    5003,
    "configuration-lease-lost",
    "No majority of the control replicas confirmed the configuration in time; "
    "this VM starts no new work.",
)
UPSTREAM_FAILED = events.define(
    5004,
    "configuration-upstream-failed",
    "The parent in the distribution tree or a control replica did not answer; "
    "after a failure of the parent, this VM asks the control replicas itself for a "
    "while.",
)
COPY_FETCHED = events.define(
    5005,
    "configuration-copy-fetched",
    "A full copy was fetched, because no usable delta was available.",
)
COPY_DAMAGED = events.define(
    5006,
    "configuration-copy-damaged",
    "The configuration does not match its digest; a full copy is fetched.",
)
COPY_NOT_KEPT = events.define(
    5008,
    "configuration-copy-not-kept",
    "The copy could not be written to disk; a restart will fetch a full copy.",
)
