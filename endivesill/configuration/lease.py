"""Durations of the configuration lease, the same on every VM.

They are no settings, as a VM with a longer lease than the others would break
what an answer "in force everywhere" says.
"""

__all__ = [
    "ACKNOWLEDGEMENT_KEPT_S",
    "DIRECT_BELOW_S",
    "DIRECT_RESERVE_S",
    "GATHER_S",
    "HOLD_S",
    "IN_FORCE_MARGIN_S",
    "LEASE_S",
    "PARENT_RETRY_S",
    "PROBE_MARGIN_S",
    "RETRY_S",
]

# How long new work may start after a question that a majority has confirmed.
LEASE_S = 3.0
# How long a replica holds a question to which it has nothing new to say.
HOLD_S = 0.7
# How much longer than it is held a question to a replica may take.
PROBE_MARGIN_S = 0.5
# How long a VM waits for its children's next questions before it asks itself.
GATHER_S = 0.25
# What is kept of the lease for a question to the control replicas while a VM
# waits for its parent.
DIRECT_RESERVE_S = 0.6
# With less of the lease left than this, a VM asks the control replicas itself,
# and they do not hold the question: it is in time for its parent's next round.
DIRECT_BELOW_S = HOLD_S + GATHER_S + 0.1 + DIRECT_RESERVE_S
# How long a VM asks the control replicas itself after its parent failed.
PARENT_RETRY_S = 3.0
# The pause after a question that brought neither news nor a lease.
RETRY_S = 0.2
# What is added to the lease before a VM without an acknowledgement counts as
# one without a lease.
IN_FORCE_MARGIN_S = 0.2
# How long a branch's acknowledgements count after its last question.
ACKNOWLEDGEMENT_KEPT_S = 2 * LEASE_S
