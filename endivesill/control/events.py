"""Log events of the replicated state."""

from endivesill import events

__all__ = [
    "BOOTSTRAP_CONFLICT",
    "BOOTSTRAPPED",
    "CAMPAIGN_STARTED",
    "COMMAND_FAILED",
    "DISK_FAILED",
    "LEADER_ELECTED",
    "LEADER_STEPPED_DOWN",
    "LEADERSHIP_TRANSFER",
    "LEARNER_JOINED",
    "REPLICA_STARTED",
    "SNAPSHOT_INSTALLED",
    "SNAPSHOT_WRITTEN",
    "VOTERS_CHANGED",
    "VOTERS_REFUSED",
    "VOTER_REPAIR",
]

REPLICA_STARTED = events.define(
    6001,
    "control-replica-started",
    "A control replica has loaded its files and started.",
)
BOOTSTRAPPED = events.define(
    6002, "control-bootstrapped", "A new cluster was created with its initial voters."
)
BOOTSTRAP_CONFLICT = events.define(
    6003,
    "control-bootstrap-conflict",
    "Control VMs have different address lists or belong to different clusters.",
)
CAMPAIGN_STARTED = events.define(
    6004, "control-campaign-started", "A replica has started an election."
)
LEADER_ELECTED = events.define(
    6005, "control-leader-elected", "This replica was elected leader."
)
LEADER_STEPPED_DOWN = events.define(
    6006, "control-leader-stepped-down", "This replica is no longer the leader."
)
LEADERSHIP_TRANSFER = events.define(
    6007,
    "control-leadership-transfer",
    "The leader transfers leadership to another voter.",
)
SNAPSHOT_WRITTEN = events.define(
    6008, "control-snapshot-written", "A snapshot was written and the log compacted."
)
SNAPSHOT_INSTALLED = events.define(
    6009, "control-snapshot-installed", "A replica installed a snapshot."
)
DISK_FAILED = events.define(
    6010, "control-disk-failed", "A write or sync of the replica's files failed."
)
VOTERS_CHANGED = events.define(
    6011, "control-voters-changed", "A change of the voters or learners was committed."
)
VOTERS_REFUSED = events.define(
    6012,
    "control-voters-refused",
    "A membership change that would risk the quorum was refused.",
)
LEARNER_JOINED = events.define(
    6013,
    "control-learner-joined",
    "The leader accepted this replica's request to join as a learner.",
)
COMMAND_FAILED = events.define(
    6014,
    "control-command-failed",
    "A command raised an error, which is stored as its outcome.",
)
VOTER_REPAIR = events.define(
    6015, "control-voter-repair", "The leader repairs the voter set automatically."
)
