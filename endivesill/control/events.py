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
    6001, "control-replica-started", "A control replica has read its disk."
)
BOOTSTRAPPED = events.define(
    6002, "control-bootstrapped", "The first voters of a new cluster were written."
)
BOOTSTRAP_CONFLICT = events.define(
    6003,
    "control-bootstrap-conflict",
    "Control VMs differ on the list of control addresses or on the cluster.",
)
CAMPAIGN_STARTED = events.define(
    6004, "control-campaign-started", "A replica asks for votes."
)
LEADER_ELECTED = events.define(
    6005, "control-leader-elected", "This replica leads from now on."
)
LEADER_STEPPED_DOWN = events.define(
    6006, "control-leader-stepped-down", "This replica does not lead any more."
)
LEADERSHIP_TRANSFER = events.define(
    6007, "control-leadership-transfer", "A leader hands over to another voter."
)
SNAPSHOT_WRITTEN = events.define(
    6008, "control-snapshot-written", "A snapshot is on disk and the log was cut."
)
SNAPSHOT_INSTALLED = events.define(
    6009, "control-snapshot-installed", "A replica took its state from the leader."
)
DISK_FAILED = events.define(
    6010, "control-disk-failed", "The disk refused a write or a sync."
)
VOTERS_CHANGED = events.define(
    6011, "control-voters-changed", "A change of voters or learners was committed."
)
VOTERS_REFUSED = events.define(
    6012, "control-voters-refused", "A change of voters would risk the quorum."
)
LEARNER_JOINED = events.define(
    6013,
    "control-learner-joined",
    "A replica without a state asks to be a learner.",
)
COMMAND_FAILED = events.define(
    6014, "control-command-failed", "A command raised an error; nothing else stops."
)
VOTER_REPAIR = events.define(
    6015, "control-voter-repair", "The leader repairs the set of voters by itself."
)
