"""The work of a leader in one term."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

from endivesill import errors, events
from endivesill.control.core import ReplicaCore
from endivesill.control.entries import EntryKind, LogEntry, Proposal
from endivesill.control.events import LEADERSHIP_TRANSFER
from endivesill.control.messages import LEAD_PATH, LeadRequest, to_message
from endivesill.control.progress import Progress
from endivesill.control.replication import PeerReplication
from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message
from endivesill.signals import Signal

__all__ = ["Leadership"]

LEASE_SHARE = 0.9
LARGEST_BACKLOG_ENTRIES = 10_000


class Leadership:
    """A leader's term: proposals, commits, lease and the replicas' progress.

    Args:
      core: the replica's shared state.

    Attributes:
      term: the term in which it leads.
      progress: what is known of the other replicas, by identity.
      transferring: whether it is handing over and takes no proposals.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._began_s = core.timer.now_s()
        self._peers: dict[str, PeerReplication] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._lease_allowed = True
        self._ticker = core.timer.call_every(core.settings.heartbeat_s, self._tick)
        self._first_index = 0
        self.term = core.term
        self.progress: dict[str, Progress] = {}
        self.transferring = False
        self.answered = Signal()

    def begin(self) -> None:
        """Append the term's first entry and start replicating."""
        self._first_index = self._append(EntryKind.NO_OP, "{}").index
        self._match_peers()

    def close(self) -> None:
        """Stop all work; the term is over for this replica."""
        self._ticker.cancel()
        for task in self._tasks:
            task.cancel()
        self.answered.notify()

    # Proposals and commits.

    async def propose(self, proposal: Proposal, timeout_s: float) -> Message:
        """Commit a proposal and return its outcome; see StateMachine.apply.

        Raises:
          UnavailableError: nothing was changed.
          OutcomeUnknownError: it may be committed later, or not.
        """
        core = self._core
        if self.transferring:
            raise errors.NotLeaderError(None)
        if len(core.voter_set.voters) < core.settings.minimum_voters:
            raise errors.UnavailableError("too few voters yet")
        if core.log.last_index - core.commit_index > LARGEST_BACKLOG_ENTRIES:
            raise errors.UnavailableError("too many proposals wait for a commit")
        entry = self._append(EntryKind.COMMAND, proposal.to_text())
        return await self._outcome(entry, timeout_s)

    async def change_voters(self, voter_set: VoterSet, timeout_s: float) -> None:
        """Commit another voter set, which differs in one voter at most.

        Raises:
          UnavailableError: an earlier change is not committed yet.
          OutcomeUnknownError: it may be committed later, or not.
        """
        core = self._core
        await self._wait_for_own_commit(timeout_s)
        if core.voters_index > core.commit_index or self.transferring:
            raise errors.UnavailableError("another change of voters is under way")
        body = json.dumps(voter_set.to_document())
        entry = self._append(EntryKind.VOTERS, body)
        self._match_peers()
        await self._outcome(entry, timeout_s)

    async def _outcome(self, entry: LogEntry, timeout_s: float) -> Message:
        future = self._core.expect(entry.index, entry.term)
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
        entry = LogEntry(index, self.term, core.next_time_s(), kind, body)
        core.log.append([entry])
        core.note_appended(entry)
        for peer in self._peers.values():
            peer.wake()
        return entry

    def note_synced(self) -> None:
        """React to a sync of the own log, or to its failure."""
        core = self._core
        if core.log.last_error is not None:
            if not self.transferring:
                self.run_task(self._leave())
            return
        self._advance_commit()
        self.answered.notify()

    async def _leave(self) -> None:
        """Hand over because of the disk, or at least stop leading."""
        await self.transfer(None)
        if self._core.leadership is self:
            self._core.step_down("the disk failed")

    def note_answer(self) -> None:
        """React to an answer of a replica."""
        self._advance_commit()
        self.answered.notify()

    def _advance_commit(self) -> None:
        core = self._core
        matches = [
            core.log.synced_index
            if identity == core.identity
            else self.progress[identity].match_index
            for identity in core.voter_set.voters
        ]
        matches.sort(reverse=True)
        index = matches[core.voter_set.quorum - 1]
        # Entries of earlier terms are committed by one of this term only.
        if index > core.commit_index and core.log.term_at(index) == self.term:
            core.advance_commit(index)
            if core.leadership is self:
                for peer in self._peers.values():
                    peer.note_commit()

    # Peers.

    def _match_peers(self) -> None:
        """Have a replication task for each other member and for no one else."""
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
        """Run a task that is cancelled at the end of the term."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """Stop leading when a task has failed: a part of the work is not done."""
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

    def _majority_answered_s(self) -> float:
        """Return when the last call was sent that a majority has answered."""
        core = self._core
        times = [
            core.timer.now_s()
            if identity == core.identity
            else self.progress[identity].answered_s
            for identity in core.voter_set.voters
        ]
        times.sort(reverse=True)
        return times[core.voter_set.quorum - 1]

    def has_quorum(self) -> bool:
        """Tell whether a majority has answered within an election timeout."""
        heard_s = max(self._began_s, self._majority_answered_s())
        elapsed_s = self._core.timer.now_s() - heard_s
        return elapsed_s < self._core.settings.election_timeout_s

    def holds_lease(self) -> bool:
        """Tell whether no other replica can have been elected yet."""
        length_s = LEASE_SHARE * self._core.settings.election_timeout_s
        end_s = self._majority_answered_s() + length_s
        return self._lease_allowed and self._core.timer.now_s() < end_s

    async def read_index(self, timeout_s: float) -> int:
        """Return an index that a linearizable read must have applied.

        Raises:
          UnavailableError: a majority did not confirm the leader in time.
        """
        core = self._core
        asked_s = core.timer.now_s()
        await self._wait_for_own_commit(timeout_s)
        index = core.commit_index
        if self.holds_lease():
            return index
        for peer in self._peers.values():
            peer.request_heartbeat()
        await self._wait_until(lambda: self._majority_answered_s() > asked_s, timeout_s)
        return index

    async def _wait_for_own_commit(self, timeout_s: float) -> None:
        """Wait for a commit of this term, which shows all earlier ones."""
        await self._wait_until(
            lambda: self._core.commit_index >= self._first_index, timeout_s
        )

    async def _wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        core = self._core

        async def wait() -> None:
            while core.leadership is self and not condition():
                await self.answered.wait()

        try:
            await core.timer.wait_for(wait(), timeout_s)
        except errors.DeadlineExceededError:
            raise errors.UnavailableError("no majority answered in time") from None
        if core.leadership is not self:
            raise errors.NotLeaderError(core.active_leader_address())

    # Leadership transfer.

    async def transfer(self, identity: str | None) -> bool:
        """Hand leadership to a voter; return whether that has worked.

        Args:
          identity: who shall lead; None for the voter that is furthest.
        """
        core = self._core
        heir = identity or self._furthest_voter()
        progress = self.progress.get(heir) if heir else None
        if heir is None or progress is None or self.transferring:
            return False
        address = core.voter_set.members[heir]
        self.transferring = True
        events.emit(LEADERSHIP_TRANSFER, term=self.term, to=heir)
        timeout_s = core.settings.election_timeout_s
        try:
            await self._wait_until(
                lambda: progress.match_index >= core.log.last_index, timeout_s
            )
            # From here on another leader may be elected in spite of the lease.
            self._lease_allowed = False
            request = LeadRequest(core.cluster, heir, self.term)
            await core.transport.call(
                address, LEAD_PATH, to_message(request), timeout_s
            )
        except errors.EndivesillError:
            pass
        self.transferring = False
        return core.leadership is not self

    def _furthest_voter(self) -> str | None:
        core = self._core
        others = [i for i in core.voter_set.voters if i in self.progress]
        fresh_s = core.timer.now_s() - core.settings.election_timeout_s
        live = [i for i in others if self.progress[i].answered_s > fresh_s]
        return max(live, key=lambda i: self.progress[i].match_index, default=None)
