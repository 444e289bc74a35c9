"""Log events of membership and drains."""

from endivesill import events

VM_ALIVE = events.define(7001, "vm-alive", "A VM is alive.")
VM_LEAVING = events.define(7002, "vm-leaving", "A VM has announced that it is leaving.")
VM_SUSPECT = events.define(
    7003, "vm-suspect", "A VM did not answer probes and is suspected."
)
VM_GONE = events.define(7004, "vm-gone", "A VM has left or has been declared dead.")
DATA_CENTRE_SILENT = events.define(
    7005, "data-centre-silent", "No VM of another data centre answered probes."
)
SELF_REFUTED = events.define(
    7006, "self-refuted", "This VM was suspected and has refuted the suspicion."
)
NAME_SUPERSEDED = events.define(
    7007, "name-superseded", "Another process uses this VM's name."
)
JOINED = events.define(7008, "fleet-joined", "This VM has joined the fleet.")
JOINED_ALONE = events.define(
    7009, "fleet-joined-alone", "No VM answered the join; this VM continues alone."
)
DATAGRAM_REFUSED = events.define(
    7010, "datagram-refused", "A datagram had no valid key or could not be decoded."
)
PROCESS_PAUSED = events.define(
    7011,
    "process-paused",
    "This process was paused; its targets count as newly assigned.",
)
OWNERSHIP_TAKEN = events.define(
    7012, "home-taken", "This VM has become the owner of targets."
)
TARGET_LEAVING = events.define(
    7020,
    "target-leaving",
    "A target is leaving, according to its load report or the VM list.",
)
TARGET_RETURNED = events.define(
    7021, "target-returned", "A target that was leaving has returned with a new boot."
)
VM_LIST_FAILED = events.define(7030, "vm-list-failed", "The VM list could not be read.")
DRAIN_BEGUN = events.define(7100, "drain-begun", "A planned stop of this VM has begun.")
DRAIN_HANDED_OVER = events.define(
    7101, "drain-handed-over", "A hand-over of this VM's duties succeeded or failed."
)
DRAIN_WAITING = events.define(
    7102, "drain-waiting", "The drain is waiting for requests to end."
)
DRAIN_DONE = events.define(7103, "drain-done", "This VM is drained and may stop.")
