"""Automatic repair of the voter set.

The leader promotes learners until the desired number of voters is reached, and
replaces lost voters by learners that have caught up.
"""

from __future__ import annotations

from endivesill import errors, events
from endivesill.control.core import ReplicaCore
from endivesill.control.events import VOTER_REPAIR
from endivesill.control.voter_manager import ReplicaStatus, VoterManager

__all__ = ["VoterRepair"]

REPAIR_PERIOD_S = 0.2
# A voter without contact for this time is replaced if a learner is ready; restarts
# and short partitions are over by then.
VOTER_LOST_AFTER_S = 3.0
# A learner without contact for this time is removed; it rejoins when it returns.
LEARNER_LOST_AFTER_S = 10.0


class VoterRepair:
    """Repairs the voter set while this replica leads.

    Args:
      core: the replica's shared state.
      manager: carries out the membership changes.
      desired_voters: the number of voters to reach and keep.
    """

    def __init__(
        self, core: ReplicaCore, manager: VoterManager, desired_voters: int
    ) -> None:
        self._core = core
        self._manager = manager
        self._desired_voters = desired_voters

    async def run(self) -> None:
        """Check the voter set periodically; make one change at a time."""
        while True:
            await self._core.timer.sleep(REPAIR_PERIOD_S)
            if self._core.leadership is None:
                continue
            try:
                await self._repair_once()
            except errors.EndivesillError as error:
                events.emit(VOTER_REPAIR, step="failed", reason=str(error))

    async def _repair_once(self) -> None:
        """Make the most urgent change, if any."""
        status = self._manager.status()
        voters = [r for r in status.replicas if r.voter]
        learners = [r for r in status.replicas if not r.voter]
        ready = [r for r in learners if r.ready]
        if ready and len(voters) < self._desired_voters:
            await self._promote(ready[0])
            return
        lost = [r for r in voters if self._is_lost(r, learners)]
        if lost and ready:
            await self._drop(lost[0])
            return
        for replica in learners:
            if self._time_since_contact_s(replica) > LEARNER_LOST_AFTER_S:
                await self._drop(replica)
                return

    async def _promote(self, replica: ReplicaStatus) -> None:
        events.emit(VOTER_REPAIR, step="promote", replica=replica.identity)
        await self._manager.promote(replica.identity)

    async def _drop(self, replica: ReplicaStatus) -> None:
        events.emit(VOTER_REPAIR, step="drop", replica=replica.identity)
        await self._manager.remove_lost(replica.identity)

    def _is_lost(self, voter: ReplicaStatus, learners: list[ReplicaStatus]) -> bool:
        if voter.live:
            return False
        # A ready replica with another identity at its address proves that the
        # voter's disk is lost.
        replaced = any(r.address == voter.address and r.ready for r in learners)
        return replaced or self._time_since_contact_s(voter) > VOTER_LOST_AFTER_S

    def _time_since_contact_s(self, replica: ReplicaStatus) -> float:
        leadership = self._core.leadership
        progress = leadership.progress.get(replica.identity) if leadership else None
        if progress is None:
            return 0.0
        contact_s = max(progress.last_contact_s, progress.started_s)
        return self._core.timer.now_s() - contact_s
