"""Log events of membership and drains."""

from endivesill import events

VM_ALIVE = events.define(7001, "vm-alive", "A VM is known to be alive.")
VM_LEAVING = events.define(7002, "vm-leaving", "A VM has announced that it leaves.")
VM_SUSPECT = events.define(7003, "vm-suspect", "A VM did not answer probes.")
VM_GONE = events.define(7004, "vm-gone", "A VM has left or is taken for dead.")
DATA_CENTRE_SILENT = events.define(
    7005, "data-centre-silent", "No VM of another data centre answered probes."
)
SELF_REFUTED = events.define(
    7006, "self-refuted", "This VM was suspected and has refuted it."
)
NAME_SUPERSEDED = events.define(
    7007, "name-superseded", "Another process runs under this VM's name."
)
JOINED = events.define(7008, "fleet-joined", "This VM has joined the fleet.")
JOINED_ALONE = events.define(
    7009, "fleet-joined-alone", "No VM could be joined; this one goes on alone."
)
DATAGRAM_REFUSED = events.define(
    7010, "datagram-refused", "A datagram had no valid key or could not be read."
)
PROCESS_PAUSED = events.define(
    7011, "process-paused", "This process stood still; its homes start anew."
)
HOME_TAKEN = events.define(
    7012, "home-taken", "This VM has become the home of targets."
)
TARGET_LEAVING = events.define(
    7020, "target-leaving", "A target is leaving, by its own word or the VM list."
)
TARGET_RETURNED = events.define(
    7021, "target-returned", "A target that was leaving is back under a new boot."
)
VM_LIST_FAILED = events.define(7030, "vm-list-failed", "The VM list cannot be read.")
DRAIN_BEGUN = events.define(7100, "drain-begun", "A planned stop of this VM begins.")
DRAIN_HANDED_OVER = events.define(
    7101, "drain-handed-over", "A part of this VM's duties was handed over, or not."
)
DRAIN_WAITING = events.define(7102, "drain-waiting", "The drain waits for requests.")
DRAIN_DONE = events.define(7103, "drain-done", "This VM has drained and may stop.")
