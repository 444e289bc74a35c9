"""Automatic repair of the voter set.

The leader promotes learners until the desired number of voters is reached, and
replaces voters that stop or are lost by learners that have caught up.
"""

from __future__ import annotations

import asyncio

from endivesill import errors, events
from endivesill.control.core import ReplicaCore
from endivesill.control.events import VOTER_REPAIR
from endivesill.control.voter_manager import ReplicaStatus, VoterManager
from endivesill.peers import Message

__all__ = ["LEAVE_PATH", "VoterRepair"]

LEAVE_PATH = "/control/leave"

REPAIR_PERIOD_S = 0.2
# A voter without contact for this time is replaced if a learner is ready: twice the
# election timeout. One that was only out for a moment returns as a learner, which is
# cheap; a seat that waits for a VM that is gone costs the loss of one more.
VOTER_LOST_AFTER_S = 1.0
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
        # Two replicas that stop at the same time do not get the same successor.
        self._leave_lock = asyncio.Lock()

    async def run(self) -> None:
        """Check the voter set periodically; make one change at a time."""
        while True:
            await self._core.timer.sleep(REPAIR_PERIOD_S)
            try:
                # A lost voter costs two changes; between them the voter set bears the
                # loss of one VM less, so that the second follows at once.
                while self._core.leadership is not None and await self._repair_once():
                    pass
            except errors.EndivesillError as error:
                events.emit(VOTER_REPAIR, step="failed", reason=str(error))

    async def _repair_once(self) -> bool:
        """Make the most urgent change; return False if there is none."""
        status = self._manager.status()
        voters = [r for r in status.replicas if r.voter]
        learners = [r for r in status.replicas if not r.voter]
        ready = [r for r in learners if r.ready]
        if ready and len(voters) < self._desired_voters:
            await self._promote(ready[0])
            return True
        lost = [r for r in voters if self._is_lost(r, learners)]
        if lost and (ready or len(voters) > self._desired_voters):
            await self._drop(lost[0])
            return True
        for replica in learners:
            if self._time_since_contact_s(replica) > LEARNER_LOST_AFTER_S:
                await self._drop(replica)
                return True
        return False

    async def handle_leave(self, message: Message) -> Message:
        """Give the seat of a replica that stops to a learner that has caught up.

        Without such a learner the replica keeps its seat, as it may just restart.

        Raises:
          NotLeaderError: this replica does not lead.
          UnsafeChangeError: the cluster might lose its quorum.
        """
        async with self._leave_lock:
            return {"left": await self._release_seat(message["identity"])}

    async def _release_seat(self, identity: str) -> bool:
        """Replace a replica that stops; return whether it is no voter any more."""
        voters = self._core.voter_set.voters
        learners = [r for r in self._manager.status().replicas if not r.voter]
        if identity not in voters:
            # It must not be given a seat while it stops.
            await self._manager.remove_lost(identity)
            return True
        live = [r for r in learners if r.live]
        if learners and not live:
            # A new leader has not heard from them yet.
            raise errors.UnsafeChangeError("no learner has answered")
        if live and len(voters) <= self._desired_voters:
            successor = max(live, key=lambda r: r.match_index).identity
            events.emit(
                VOTER_REPAIR, step="hand-over", replica=identity, successor=successor
            )
            await self._manager.promote(successor)
        # The learner may have replaced another voter meanwhile.
        if len(self._core.voter_set.voters) <= self._desired_voters:
            return False
        events.emit(VOTER_REPAIR, step="leave", replica=identity)
        await self._manager.remove_lost(identity)
        return True

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
