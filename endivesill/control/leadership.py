"""The state and tasks of a leader during one term."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

from endivesill import errors, events
from endivesill.control.admission_checks import result_without_entry
from endivesill.control.core import ReplicaCore
from endivesill.control.entries import EntryKind, LogEntry, Proposal
from endivesill.control.events import LEADERSHIP_TRANSFER
from endivesill.control.messages import LEAD_PATH, LeadRequest, to_message
from endivesill.control.progress import PeerProgress
from endivesill.control.replication import PeerReplication
from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message
from endivesill.signals import Signal

__all__ = ["Leadership"]

LEASE_RATIO = 0.9
MAX_UNCOMMITTED_ENTRIES = 10_000


class Leadership:
    """Proposals, commits, lease and replication of a leader in one term.

    Args:
      core: the replica's shared state.

    Attributes:
      term: the term of this leadership.
      progress: replication progress of the other members, by identity.
      transferring: whether a leadership transfer is in progress; proposals are
        rejected meanwhile.
      progress_changed: notified after each response of a member, each sync of the
        leader's log and at the end of the leadership.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._started_s = core.timer.now_s()
        self._peers: dict[str, PeerReplication] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._lease_enabled = True
        self._ticker = core.timer.call_every(core.settings.heartbeat_s, self._tick)
        self._no_op_index = 0
        self.term = core.term
        self.progress: dict[str, PeerProgress] = {}
        self.transferring = False
        self.progress_changed = Signal()

    def start(self) -> None:
        """Append a no-op entry of the new term and start replication."""
        self._no_op_index = self._append(EntryKind.NO_OP, "{}").index
        self._reconcile_peers()

    def close(self) -> None:
        """Cancel all tasks and wake all waiters; the leadership has ended."""
        self._ticker.cancel()
        for task in self._tasks:
            task.cancel()
        self.progress_changed.notify()

    # Proposals and commits.

    async def propose(self, proposal: Proposal, timeout_s: float) -> Message:
        """Append a proposal and return its outcome; see StateMachine.apply.

        A proposal that its command's admission check stops has an outcome but no entry.

        Raises:
          UnavailableError: the proposal was not committed and will not be.
          OutcomeUnknownError: the proposal may still be committed.
        """
        core = self._core
        if self.transferring:
            raise errors.NotLeaderError(None)
        if len(core.voter_set.voters) < core.settings.minimum_voters:
            raise errors.UnavailableError("too few voters yet")
        if core.log.last_index - core.commit_index > MAX_UNCOMMITTED_ENTRIES:
            raise errors.UnavailableError("too many proposals wait for a commit")
        result = result_without_entry(core, proposal)
        if result is not None:
            return {"result": result}
        entry = self._append(EntryKind.COMMAND, proposal.to_text())
        return await self._wait_for_outcome(entry, timeout_s)

    async def change_voters(self, voter_set: VoterSet, timeout_s: float) -> None:
        """Commit a new voter set, which may differ in one voter at most.

        Raises:
          UnavailableError: an earlier change is not committed yet.
          OutcomeUnknownError: the change may still be committed.
        """
        core = self._core
        await self._wait_for_term_commit(timeout_s)
        if core.voters_index > core.commit_index or self.transferring:
            raise errors.UnavailableError("another change of voters is under way")
        body = json.dumps(voter_set.to_document())
        entry = self._append(EntryKind.VOTERS, body)
        self._reconcile_peers()
        await self._wait_for_outcome(entry, timeout_s)

    async def _wait_for_outcome(self, entry: LogEntry, timeout_s: float) -> Message:
        future = self._core.add_waiter(entry.index, entry.term)
        try:
            return await self._core.timer.wait_for(future, timeout_s)
        except errors.DeadlineExceededError:
            raise errors.OutcomeUnknownError(
                f"entry {entry.index} was not committed within {timeout_s} s"
            ) from None

    def _append(self, kind: EntryKind, body: str) -> LogEntry:
        core = self._core
        if core.leadership is not self:
            raise errors.NotLeaderError(core.active_leader_address())
        index = core.log.last_index + 1
        entry = LogEntry(index, self.term, core.cluster_time_s(), kind, body)
        core.log.append([entry])
        core.record_appended(entry)
        for peer in self._peers.values():
            peer.wake()
        return entry

    def handle_sync(self) -> None:
        """Handle a sync of the leader's own log, or its failure."""
        core = self._core
        if core.log.last_error is not None:
            if not self.transferring:
                self.run_task(self._hand_over_or_step_down())
            return
        self._advance_commit()
        self.progress_changed.notify()

    async def _hand_over_or_step_down(self) -> None:
        """Transfer leadership after a disk failure; step down if that fails."""
        await self.transfer(None)
        if self._core.leadership is self:
            self._core.step_down("the disk failed")

    def handle_response(self) -> None:
        """Handle a response of a member: its progress may allow a commit."""
        self._advance_commit()
        self.progress_changed.notify()

    def _advance_commit(self) -> None:
        core = self._core
        match_indexes = [
            core.log.synced_index
            if identity == core.identity
            else self.progress[identity].match_index
            for identity in core.voter_set.voters
        ]
        match_indexes.sort(reverse=True)
        index = match_indexes[core.voter_set.quorum - 1]
        # Entries of earlier terms are committed only indirectly, by an entry of the
        # current term (section 5.4.2 of the Raft paper).
        if index > core.commit_index and core.log.term_at(index) == self.term:
            core.advance_commit(index)
            if core.leadership is self:
                for peer in self._peers.values():
                    peer.schedule_commit_notice()

    # Peers.

    def _reconcile_peers(self) -> None:
        """Start replication to new members and stop it for removed ones."""
        core = self._core
        members = core.voter_set.members
        for identity, address in members.items():
            if identity == core.identity or identity in self._peers:
                continue
            peer = PeerReplication(core, self, identity, address)
            self._peers[identity] = peer
            self.progress[identity] = peer.progress
            peer.task = self.run_task(peer.run())
        for identity in [i for i in self._peers if i not in members]:
            peer = self._peers.pop(identity)
            del self.progress[identity]
            if peer.task is not None:
                peer.task.cancel()

    def run_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a task that is cancelled when the leadership ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Step down if a task failed, since its work is no longer done."""
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = repr(task.exception())
        events.emit(events.TASK_FAILED, task="control-leadership", error=error)
        if self._core.leadership is self:
            self._core.step_down("a task failed")

    def _tick(self) -> None:
        if not self.has_quorum():
            self._core.step_down("no answers from a majority")
            return
        for peer in self._peers.values():
            peer.tick()

    # Lease and reads.

    def _quorum_contact_s(self) -> float:
        """Return a time such that a majority answered calls sent then or later."""
        core = self._core
        times = [
            core.timer.now_s()
            if identity == core.identity
            else self.progress[identity].last_contact_s
            for identity in core.voter_set.voters
        ]
        times.sort(reverse=True)
        return times[core.voter_set.quorum - 1]

    def has_quorum(self) -> bool:
        """Return whether a majority was in contact within the election timeout."""
        contact_s = max(self._started_s, self._quorum_contact_s())
        elapsed_s = self._core.timer.now_s() - contact_s
        return elapsed_s < self._core.settings.election_timeout_s

    def holds_lease(self) -> bool:
        """Return whether no other replica can have been elected yet."""
        lease_s = LEASE_RATIO * self._core.settings.election_timeout_s
        lease_end_s = self._quorum_contact_s() + lease_s
        return self._lease_enabled and self._core.timer.now_s() < lease_end_s

    def has_committed_in_term(self) -> bool:
        """Return whether an entry of this term is committed.

        Before that, the leader does not know which earlier entries are committed.
        """
        return self._core.commit_index >= self._no_op_index

    async def read_index(self, timeout_s: float) -> int:
        """Return the read index: a linearizable read must wait until it is applied.

        Raises:
          UnavailableError: a majority did not confirm the leader in time.
          NotLeaderError: the leadership has ended.
        """
        core = self._core
        requested_s = core.timer.now_s()
        await self._wait_for_term_commit(timeout_s)
        index = core.commit_index
        if self.holds_lease():
            return index
        for peer in self._peers.values():
            peer.request_heartbeat()
        await self._wait_until(
            lambda: self._quorum_contact_s() > requested_s, timeout_s
        )
        return index

    async def _wait_for_term_commit(self, timeout_s: float) -> None:
        await self._wait_until(self.has_committed_in_term, timeout_s)

    async def _wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        core = self._core

        async def wait() -> None:
            while core.leadership is self and not condition():
                await self.progress_changed.wait()

        try:
            await core.timer.wait_for(wait(), timeout_s)
        except errors.DeadlineExceededError:
            raise errors.UnavailableError("no majority answered in time") from None
        if core.leadership is not self:
            raise errors.NotLeaderError(core.active_leader_address())

    # Leadership transfer.

    async def transfer(self, identity: str | None) -> bool:
        """Transfer leadership to a voter; return whether this replica lost it.

        Args:
          identity: the new leader; None for the most caught-up voter.
        """
        core = self._core
        transferee = identity or self._most_caught_up_voter()
        progress = self.progress.get(transferee) if transferee else None
        if transferee is None or progress is None or self.transferring:
            return False
        address = core.voter_set.members[transferee]
        self.transferring = True
        events.emit(LEADERSHIP_TRANSFER, term=self.term, to=transferee)
        timeout_s = core.settings.election_timeout_s
        try:
            await self._wait_until(
                lambda: progress.match_index >= core.log.last_index, timeout_s
            )
            # The transferee may be elected while the lease still runs.
            self._lease_enabled = False
            request = LeadRequest(core.cluster, transferee, self.term)
            await core.transport.call(
                address, LEAD_PATH, to_message(request), timeout_s
            )
        except errors.EndivesillError:
            pass
        finally:
            # Also when the caller is cancelled, since proposals are rejected meanwhile.
            self.transferring = False
        return core.leadership is not self

    def _most_caught_up_voter(self) -> str | None:
        core = self._core
        others = [i for i in core.voter_set.voters if i in self.progress]
        live_since_s = core.timer.now_s() - core.settings.election_timeout_s
        live = [i for i in others if self.progress[i].last_contact_s > live_since_s]
        return max(live, key=lambda i: self.progress[i].match_index, default=None)
