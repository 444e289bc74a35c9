"""Durations of the configuration lease, the same on every VM.

They are constants instead of settings: a VM with a longer lease than the others would
invalidate the answer that a revision is in force everywhere.
"""

__all__ = [
    "ACKNOWLEDGEMENT_RETENTION_S",
    "CHILD_WAIT_S",
    "DIRECT_PROBE_RESERVE_S",
    "DIRECT_PROBE_THRESHOLD_S",
    "IN_FORCE_MARGIN_S",
    "LEASE_S",
    "MAX_HOLD_S",
    "PARENT_BYPASS_S",
    "PROBE_TIMEOUT_MARGIN_S",
    "RETRY_DELAY_S",
]

# How long new work may start after the sending of a probe that a majority confirmed.
LEASE_S = 3.0
# How long a replica holds a probe (long poll) while it has no newer revision.
MAX_HOLD_S = 0.7
# Added to the hold time of a probe to get its timeout.
PROBE_TIMEOUT_MARGIN_S = 0.5
# How long a VM waits for the next requests of its children before its own request.
CHILD_WAIT_S = 0.25
# The part of the lease that a VM waiting for its parent keeps in reserve for a direct
# probe of the control replicas.
DIRECT_PROBE_RESERVE_S = 0.6
# With less of the lease left than this, a VM probes the control replicas directly and
# without a hold, so that it has its answer in time for the next round of its parent.
DIRECT_PROBE_THRESHOLD_S = MAX_HOLD_S + CHILD_WAIT_S + 0.1 + DIRECT_PROBE_RESERVE_S
# How long a VM probes the control replicas directly after its parent failed.
PARENT_BYPASS_S = 3.0
# The pause after a round that brought neither a newer revision nor a lease.
RETRY_DELAY_S = 0.2
# Added to the lease before a VM that has not acknowledged a revision counts as being
# without a lease.
IN_FORCE_MARGIN_S = 0.2
# How long the acknowledgements of a branch count after its last request.
ACKNOWLEDGEMENT_RETENTION_S = 2 * LEASE_S
