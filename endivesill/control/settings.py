"""Settings of the replicated state."""

from __future__ import annotations

import attrs

from endivesill import schema
from endivesill.settings import settings_section

__all__ = ["ControlSettings"]


@settings_section("control")
@attrs.frozen
class ControlSettings:
    """How control replicas elect, replicate and keep their log."""

    heartbeat_s: float = schema.field(
        "period of the leader's heartbeats", default=0.5, minimum=0.05, maximum=5
    )
    election_timeout_s: float = schema.field(
        "shortest time without a leader before an election; the longest is 1.6 times",
        default=1.2,
        minimum=0.2,
        maximum=30,
    )
    snapshot_entries: int = schema.field(
        "log entries between two snapshots", default=10_000, minimum=10
    )
    trailing_entries: int = schema.field(
        "entries kept behind a snapshot for slow replicas", default=1_000, minimum=0
    )
    segment_bytes: int = schema.field(
        "size at which a new log file is begun", default=8_388_608, minimum=4_096
    )
    batch_entries: int = schema.field(
        "entries in one message to a replica at most", default=256, minimum=1
    )
    minimum_voters: int = schema.field(
        "voters without which nothing is accepted", default=1, minimum=1
    )
    chunk_bytes: int = schema.field(
        "size of one part of a snapshot that is sent", default=262_144, minimum=64
    )
