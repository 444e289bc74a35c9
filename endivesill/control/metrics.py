"""Metrics of a control replica."""

from __future__ import annotations

from endivesill.control.replica import ControlReplica

__all__ = ["replica_metric_lines"]


def replica_metric_lines(replica: ControlReplica) -> list[str]:
    """Return the state of a replica as metric lines."""
    core = replica.core
    lag = core.commit_index - replica.applied_index
    return [
        f"endivesill_control_term {core.term}",
        f"endivesill_control_leads {int(replica.is_leader)}",
        f"endivesill_control_voters {len(core.voter_set.voters)}",
        f"endivesill_control_learners {len(core.voter_set.learners)}",
        f"endivesill_control_is_voter {int(core.is_voter)}",
        f"endivesill_control_commit_index {core.commit_index}",
        f"endivesill_control_apply_lag {lag}",
        f"endivesill_control_last_index {core.log.last_index}",
        f"endivesill_control_synced_index {core.log.synced_index}",
        f"endivesill_control_disk_failed {int(core.log.last_error is not None)}",
    ]
