"""Log events of the target monitor."""

from endivesill import events

__all__ = ["CACHE_EVENTS_LOST", "TARGET_ANSWERING", "TARGET_SILENT"]

TARGET_SILENT = events.define(4001, "target-silent", "A target does not answer polls.")
TARGET_ANSWERING = events.define(
    4002, "target-answering", "A silent target answers polls again."
)
CACHE_EVENTS_LOST = events.define(
    4003,
    "cache-events-lost",
    "Cache events of a target are missing; all are read again.",
)
