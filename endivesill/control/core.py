"""State shared by the parts of a control replica: term, role, log and state."""

from __future__ import annotations

import asyncio
import enum
import random
from typing import TYPE_CHECKING

import attrs

from endivesill import errors, events
from endivesill.control.entries import EntryKind, LogEntry
from endivesill.control.events import (
    LEADER_STEPPED_DOWN,
    SNAPSHOT_INSTALLED,
    VOTERS_CHANGED,
)
from endivesill.control.log import Log
from endivesill.control.machine import StateMachine
from endivesill.control.settings import ControlSettings
from endivesill.control.snapshots import Snapshot
from endivesill.control.storage import ReplicaStorage
from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message, PeerTransport
from endivesill.signals import Signal
from endivesill.timer import TimerService

if TYPE_CHECKING:
    from endivesill.control.leadership import Leadership

__all__ = ["ReplicaCore", "Role"]

APPLY_BATCH_ENTRIES = 256


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class _Waiter:
    """A caller that waits for the outcome of a log entry.

    Attributes:
      term: term of the entry; an entry of another term at the same index has
        replaced it.
      future: receives the outcome.
    """

    term: int
    future: asyncio.Future[Message]


class ReplicaCore:
    """The shared state of one replica.

    Args:
      timer: the timer service.
      transport: used to call peers.
      storage: the replica's durable storage.
      settings: the `[control]` settings.
      seed: seed of the random election timeouts.

    Attributes:
      term: the highest term seen; it must be on disk before it is used.
      voted_for: the candidate that received this replica's vote in the term.
      leader: the identity of the leader, or None if it is unknown.
      leader_address: the leader's peer address, or None.
      leader_contact_s: time of the last request from the leader.
      election_reset_s: time at which the election timer was last reset.
      commit_index: the highest index known to be committed.
      cluster: the cluster ID; empty until the replica has a state.
      leadership: the leader's volatile state; None unless this replica leads.
      changed: notified when the role, the commit or applied index or the voters
        change.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        storage: ReplicaStorage,
        settings: ControlSettings,
        seed: int | None = None,
    ) -> None:
        self.timer = timer
        self.transport = transport
        self.storage = storage
        self.settings = settings
        self.random = random.Random(seed)
        self.machine = StateMachine()
        self.changed = Signal()
        self.term = 0
        self.voted_for: str | None = None
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.leader_address: str | None = None
        self.leader_contact_s = timer.now_s()
        self.election_reset_s = timer.now_s()
        self.commit_index = 0
        self.cluster = ""
        self.leadership: Leadership | None = None
        self._voter_sets: list[tuple[int, VoterSet]] = [(0, VoterSet())]
        self._waiters: dict[int, list[_Waiter]] = {}
        self._vote_lock = asyncio.Lock()
        self._time_base = (0.0, timer.now_s())
        self._apply_scheduled = False
        self._apply_paused = False

    @property
    def identity(self) -> str:
        """The replica ID, which is bound to its disk."""
        return self.storage.metadata.identity

    @property
    def log(self) -> Log:
        """The replicated log."""
        return self.storage.log

    @property
    def voter_set(self) -> VoterSet:
        """The latest voter set in the log, committed or not."""
        return self._voter_sets[-1][1]

    @property
    def voters_index(self) -> int:
        """The index of the entry that holds the latest voter set."""
        return self._voter_sets[-1][0]

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes in the latest voter set."""
        return self.identity in self.voter_set.voters

    async def load(self) -> None:
        """Restore term, vote, snapshot and log from disk.

        The leader is unknown after a restart.
        """
        snapshot = await self.storage.load()
        self.term = self.storage.metadata.term
        self.voted_for = self.storage.metadata.voted_for
        if snapshot is not None:
            self._restore_snapshot(snapshot)
        for entry in self.log.entries(self.log.first_index, self.log.last_index):
            self.record_appended(entry)
        # A leader's lease may still rely on a response sent before the restart, so
        # votes are refused for a full election timeout.
        self.leader_contact_s = self.timer.now_s()
        self.election_reset_s = self.timer.now_s()

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        self.cluster = snapshot.cluster
        self._voter_sets = [(snapshot.index, snapshot.voter_set)]
        self._time_base = (snapshot.time_s, self.timer.now_s())
        self.commit_index = max(self.commit_index, snapshot.index)
        self.machine.load(snapshot)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot that is already on disk.

        Callers waiting for an entry covered by the snapshot get an
        OutcomeUnknownError.
        """
        self._restore_snapshot(snapshot)
        for entry in self.log.entries(snapshot.index + 1, self.log.last_index):
            self.record_appended(entry)
        for index in [i for i in self._waiters if i <= snapshot.index]:
            for waiter in self._waiters.pop(index):
                _fail(waiter, errors.OutcomeUnknownError("the log was replaced"))
        events.emit(SNAPSHOT_INSTALLED, index=snapshot.index, term=snapshot.term)
        self.changed.notify()

    # Term, vote and role.

    async def persist(self) -> None:
        """Write the current term and vote to disk.

        Raises:
          StorageError: they are not durable and must not be used.
        """
        async with self._vote_lock:
            metadata = attrs.evolve(
                self.storage.metadata, term=self.term, voted_for=self.voted_for
            )
            if metadata != self.storage.metadata:
                await self.storage.save(metadata)

    def advance_term(self, term: int) -> None:
        """Adopt a higher term as a follower; a lower or equal one is ignored."""
        if term > self.term:
            self.term = term
            self.voted_for = None
            self.step_down("a higher term")

    async def advance_and_persist_term(self, term: int) -> None:
        """Adopt a higher term as a follower and make it durable.

        Raises:
          StorageError: the term could not be written.
        """
        self.advance_term(term)
        if self.storage.metadata.term < self.term:
            await self.persist()

    def step_down(self, reason: str) -> None:
        """Become a follower with no known leader and end any leadership."""
        was_leader = self.role is Role.LEADER
        self.role = Role.FOLLOWER
        self.leader = None
        self.leader_address = None
        self.election_reset_s = self.timer.now_s()
        if self.leadership is not None:
            self.leadership.close()
            self.leadership = None
        if was_leader:
            events.emit(LEADER_STEPPED_DOWN, term=self.term, reason=reason)
        self.changed.notify()

    def accept_leader(self, leader: str, address: str) -> None:
        """Reset the election timer on a request from the leader of this term."""
        self.leader_contact_s = self.timer.now_s()
        self.election_reset_s = self.leader_contact_s
        if self.role is Role.CANDIDATE:
            self.role = Role.FOLLOWER
        if self.leader != leader:
            self.leader = leader
            self.leader_address = address
            self.changed.notify()

    def has_active_leader(self) -> bool:
        """Return whether a leader was in contact within the election timeout.

        The leader's lease relies on it: while it is true, this replica grants
        votes only for a leadership transfer.
        """
        if self.leadership is not None:
            return self.leadership.has_quorum()
        elapsed_s = self.timer.now_s() - self.leader_contact_s
        return elapsed_s < self.settings.election_timeout_s

    def active_leader_address(self) -> str | None:
        """Return the leader's peer address, or None without an active leader."""
        return self.leader_address if self.has_active_leader() else None

    # Log, commit and state.

    def cluster_time_s(self) -> float:
        """Return the cluster time, which continues from the last entry's time.

        It advances with the local monotonic clock, so that it never goes back.
        """
        time_s, recorded_s = self._time_base
        if time_s == 0.0:
            return self.timer.wall_time_s()
        return time_s + (self.timer.now_s() - recorded_s)

    def record_appended(self, entry: LogEntry) -> None:
        """Track the cluster time and voter set of an appended entry.

        A voter set is in use as soon as its entry is appended.
        """
        self._time_base = (entry.time_s, self.timer.now_s())
        if entry.kind is EntryKind.VOTERS:
            self._voter_sets.append((entry.index, entry.voter_set()))
            self.changed.notify()

    async def truncate_from(self, index: int) -> None:
        """Remove uncommitted entries from an index on; they conflict with the leader.

        Raises:
          EndivesillError: an entry to be removed is committed.
          StorageError: the log files could not be truncated.
        """
        if index <= self.commit_index:
            raise errors.EndivesillError(f"entry {index} is committed")
        while self._voter_sets[-1][0] >= index:
            self._voter_sets.pop()
        await self.log.truncate_from(index)
        self.changed.notify()

    def advance_commit(self, index: int) -> None:
        """Mark entries up to an index as committed and start applying them."""
        if index > self.commit_index:
            self.commit_index = index
            self._apply_committed()

    def _apply_committed(self) -> None:
        self._apply_scheduled = False
        machine = self.machine
        # The log starts after the applied index only while a snapshot from the
        # leader is being installed.
        if self._apply_paused or machine.applied_index < self.log.base_index:
            return
        last = min(self.commit_index, machine.applied_index + APPLY_BATCH_ENTRIES)
        while machine.applied_index < last:
            self._apply(self.log.entry(machine.applied_index + 1))
        if machine.applied_index < self.commit_index and not self._apply_scheduled:
            self._apply_scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_committed)
        self.changed.notify()

    def pause_applying(self) -> None:
        """Stop applying entries; they can still be committed."""
        self._apply_paused = True

    def resume_applying(self) -> None:
        """Continue to apply entries, with those committed in the meantime."""
        self._apply_paused = False
        self._apply_committed()

    def _apply(self, entry: LogEntry) -> None:
        outcome = self.machine.apply(entry)
        if entry.kind is EntryKind.VOTERS:
            self._apply_voter_change(entry)
        for waiter in self._waiters.pop(entry.index, ()):
            if waiter.term != entry.term:
                _fail(waiter, errors.NotLeaderError(self.active_leader_address()))
            elif not waiter.future.done():
                waiter.future.set_result(outcome)

    def _apply_voter_change(self, entry: LogEntry) -> None:
        voter_set = entry.voter_set()
        events.emit(
            VOTERS_CHANGED,
            index=entry.index,
            voters=dict(voter_set.voters),
            learners=dict(voter_set.learners),
        )
        while len(self._voter_sets) > 1 and self._voter_sets[1][0] <= entry.index:
            self._voter_sets.pop(0)
        # The log is replayed after a restart and may contain old voter sets.
        is_newest = entry.index == self.voters_index
        if self.role is Role.LEADER and is_newest and not self.is_voter:
            self.step_down("removed from the voters")

    def applied_voter_set(self) -> VoterSet:
        """Return the voter set as of the last applied entry."""
        return self._voter_sets[0][1]

    def add_waiter(self, index: int, term: int) -> asyncio.Future[Message]:
        """Return a future for the outcome of an entry.

        It fails with NotLeaderError if an entry of another term is applied at the
        index, and with OutcomeUnknownError if a snapshot replaces the log.
        """
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(index, []).append(_Waiter(term, future))
        return future

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at an index is applied."""
        while self.machine.applied_index < index:
            await self.changed.wait()


def _fail(waiter: _Waiter, error: errors.EndivesillError) -> None:
    if not waiter.future.done():
        waiter.future.set_exception(error)
        # Marks the exception as retrieved, as the caller may have been cancelled.
        waiter.future.exception()
