"""Settings of the replicated state."""

from __future__ import annotations

import attrs

from endivesill import schema
from endivesill.settings import settings_section

__all__ = ["ControlSettings"]


@settings_section("control")
@attrs.frozen
class ControlSettings:
    """Elections, replication and log storage of the control replicas."""

    heartbeat_s: float = schema.field(
        "interval between the leader's heartbeats", default=0.5, minimum=0.05, maximum=5
    )
    election_timeout_s: float = schema.field(
        "minimum election timeout; the actual one is random, up to 1.6 times as long",
        default=1.2,
        minimum=0.2,
        maximum=30,
    )
    snapshot_entries: int = schema.field(
        "number of log entries between two snapshots", default=10_000, minimum=10
    )
    trailing_entries: int = schema.field(
        "log entries kept before the snapshot's index for slow followers",
        default=1_000,
        minimum=0,
    )
    segment_bytes: int = schema.field(
        "size at which a new log segment is started", default=8_388_608, minimum=4_096
    )
    batch_entries: int = schema.field(
        "maximum number of log entries in one append request", default=256, minimum=1
    )
    batch_bytes: int = schema.field(
        "maximum size of the log entries in one append request; a larger entry is sent "
        "alone",
        default=1_048_576,
        minimum=4_096,
    )
    minimum_voters: int = schema.field(
        "number of voters below which all proposals are refused", default=1, minimum=1
    )
    chunk_bytes: int = schema.field(
        "size of one chunk of a snapshot sent to a follower",
        default=262_144,
        minimum=64,
    )
