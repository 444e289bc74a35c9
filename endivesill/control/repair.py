"""Keeps the number of voters without an operator.

The leader makes learners voters until there are as many as wanted, and puts a
learner that has caught up in the place of a voter that is lost.
"""

from __future__ import annotations

from endivesill import errors, events
from endivesill.control.core import ReplicaCore
from endivesill.control.events import VOTER_REPAIR
from endivesill.control.voter_manager import ReplicaStatus, VoterManager

__all__ = ["Repair"]

PERIOD_S = 0.2
# A voter that has not answered for this long is replaced if there is a learner;
# restarts and short cuts are over by then.
LOST_AFTER_S = 3.0
# A learner that is gone for this long is dropped; it asks again if it returns.
LEARNER_LOST_AFTER_S = 10.0


class Repair:
    """The part of a leader that replaces lost voters.

    Args:
      core: the replica's shared state.
      manager: makes the changes.
      desired_voters: how many voters there shall be.
    """

    def __init__(
        self, core: ReplicaCore, manager: VoterManager, desired_voters: int
    ) -> None:
        self._core = core
        self._manager = manager
        self._wanted = desired_voters

    async def run(self) -> None:
        """Look for what to repair, one change at a time."""
        while True:
            await self._core.timer.sleep(PERIOD_S)
            if self._core.leadership is None:
                continue
            try:
                await self._step()
            except errors.EndivesillError as error:
                events.emit(VOTER_REPAIR, step="failed", reason=str(error))

    async def _step(self) -> None:
        """Make the one change that is most urgent, if any."""
        status = self._manager.status()
        voters = [r for r in status.replicas if r.voter]
        learners = [r for r in status.replicas if not r.voter]
        ready = [r for r in learners if r.ready]
        if ready and len(voters) < self._wanted:
            await self._promote(ready[0])
            return
        lost = [r for r in voters if self._is_lost(r, learners)]
        if lost and ready:
            await self._drop(lost[0])
            return
        for replica in learners:
            if self._silent_s(replica) > LEARNER_LOST_AFTER_S:
                await self._drop(replica)
                return

    async def _promote(self, replica: ReplicaStatus) -> None:
        events.emit(VOTER_REPAIR, step="promote", replica=replica.identity)
        await self._manager.promote(replica.identity)

    async def _drop(self, replica: ReplicaStatus) -> None:
        events.emit(VOTER_REPAIR, step="drop", replica=replica.identity)
        await self._manager.drop(replica.identity)

    def _is_lost(self, voter: ReplicaStatus, learners: list[ReplicaStatus]) -> bool:
        if voter.live:
            return False
        # Another disk at its address shows that its own is gone.
        replaced = any(r.address == voter.address and r.ready for r in learners)
        return replaced or self._silent_s(voter) > LOST_AFTER_S

    def _silent_s(self, replica: ReplicaStatus) -> float:
        leadership = self._core.leadership
        progress = leadership.progress.get(replica.identity) if leadership else None
        if progress is None:
            return 0.0
        heard_s = max(progress.last_contact_s, progress.started_s)
        return self._core.timer.now_s() - heard_s
