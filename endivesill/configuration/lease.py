"""Durations of the configuration lease, the same on every VM.

They are no settings, as a VM with a longer lease than the others would break
what an answer "in force everywhere" says.
"""

__all__ = [
    "ACKNOWLEDGEMENT_KEPT_S",
    "DIRECT_BELOW_S",
    "GATHER_S",
    "HOLD_LEAST_LEASE_S",
    "HOLD_S",
    "IN_FORCE_MARGIN_S",
    "LEASE_S",
    "PARENT_RETRY_S",
    "PARENT_TIMEOUT_S",
    "PROBE_MARGIN_S",
    "RETRY_S",
]

# How long new work may start after a question that a majority has confirmed.
LEASE_S = 3.0
# How long a replica holds a question to which it has nothing new to say.
HOLD_S = 0.8
# With less of the lease left than this, a question is not to be held.
HOLD_LEAST_LEASE_S = 1.4
# How much longer than it is held a question to a replica may take.
PROBE_MARGIN_S = 0.5
# How long a VM waits for its children's next questions before it asks itself.
GATHER_S = 0.1
# How long a question to the parent may take: two rounds of the parent.
PARENT_TIMEOUT_S = 1.7
# How long a VM asks the control replicas itself after its parent failed.
PARENT_RETRY_S = 3.0
# With less of the lease left than this, a VM asks the control replicas itself.
DIRECT_BELOW_S = 1.0
# The pause after a question that brought neither news nor a lease.
RETRY_S = 0.2
# What is added to the lease before a VM without an acknowledgement counts as
# one without a lease.
IN_FORCE_MARGIN_S = 0.2
# How long a branch's acknowledgements count after its last question.
ACKNOWLEDGEMENT_KEPT_S = 2 * LEASE_S
