"""What the parts of a control replica share: term, role, log and state."""

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
    """What a replica does in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class _Waiter:
    """Someone who waits for the outcome of an entry."""

    term: int
    future: asyncio.Future[Message]


class ReplicaCore:
    """The shared state of one replica.

    Args:
      timer: the timer service.
      transport: how peers are called.
      storage: the disk.
      settings: the `[control]` settings.
      seed: seed of the election timeouts.

    Attributes:
      term: the highest term seen; it counts once it is on disk.
      voted_for: who has this replica's vote in the term.
      leader: the identity of the leader, or None.
      leader_address: its peer address, or None.
      leader_contact_s: when the leader was last heard.
      election_reset_s: when the wait for an election began.
      commit_index: the last committed index known.
      cluster: the cluster's id; empty before the replica has a state.
      leadership: what there is of a leader's work while leading.
      changed: notified after each change of role, commit or voters.
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
        """The identity of this replica's disk."""
        return self.storage.metadata.identity

    @property
    def log(self) -> Log:
        """The replicated log."""
        return self.storage.log

    @property
    def voter_set(self) -> VoterSet:
        """The newest voters in the log, committed or not."""
        return self._voter_sets[-1][1]

    @property
    def voters_index(self) -> int:
        """The index of the entry with the newest voters."""
        return self._voter_sets[-1][0]

    @property
    def is_voter(self) -> bool:
        """Tell whether this replica has a vote."""
        return self.identity in self.voter_set.voters

    async def load(self) -> None:
        """Read the disk; a replica forgets on a restart whom it has heard."""
        snapshot = await self.storage.load()
        self.term = self.storage.metadata.term
        self.voted_for = self.storage.metadata.voted_for
        if snapshot is not None:
            self._take_snapshot(snapshot)
        for entry in self.log.entries(self.log.first_index, self.log.last_index):
            self.note_appended(entry)
        # A leader may hold a lease that rests on a promise from before the start.
        self.leader_contact_s = self.timer.now_s()
        self.election_reset_s = self.timer.now_s()

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        self.cluster = snapshot.cluster
        self._voter_sets = [(snapshot.index, snapshot.voter_set)]
        self._time_base = (snapshot.time_s, self.timer.now_s())
        self.commit_index = max(self.commit_index, snapshot.index)
        self.machine.load(snapshot)

    def install(self, snapshot: Snapshot) -> None:
        """Take over a snapshot from the leader that is on disk already."""
        self._take_snapshot(snapshot)
        for entry in self.log.entries(snapshot.index + 1, self.log.last_index):
            self.note_appended(entry)
        for index in [i for i in self._waiters if i <= snapshot.index]:
            for waiter in self._waiters.pop(index):
                _fail(waiter, errors.OutcomeUnknownError("the log was replaced"))
        events.emit(SNAPSHOT_INSTALLED, index=snapshot.index, term=snapshot.term)
        self.changed.notify()

    # Term, vote and role.

    async def persist(self) -> None:
        """Bring term and vote to disk.

        Raises:
          StorageError: they are not on disk and must not be used.
        """
        async with self._vote_lock:
            metadata = attrs.evolve(
                self.storage.metadata, term=self.term, voted_for=self.voted_for
            )
            if metadata != self.storage.metadata:
                await self.storage.save(metadata)

    def note_term(self, term: int) -> None:
        """Enter a higher term that was seen, as a follower."""
        if term > self.term:
            self.term = term
            self.voted_for = None
            self.step_down("a higher term")

    async def observe_term(self, term: int) -> None:
        """Enter a term that was seen and persist it."""
        self.note_term(term)
        if self.storage.metadata.term < self.term:
            await self.persist()

    def step_down(self, reason: str) -> None:
        """Become a follower without a leader."""
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

    def follow(self, leader: str, address: str) -> None:
        """Note a call from the leader of the present term."""
        self.leader_contact_s = self.timer.now_s()
        self.election_reset_s = self.leader_contact_s
        if self.role is Role.CANDIDATE:
            self.role = Role.FOLLOWER
        if self.leader != leader:
            self.leader = leader
            self.leader_address = address
            self.changed.notify()

    def heard_leader(self) -> bool:
        """Tell whether a leader may rest its lease on this replica."""
        if self.leadership is not None:
            return self.leadership.has_quorum()
        elapsed_s = self.timer.now_s() - self.leader_contact_s
        return elapsed_s < self.settings.election_timeout_s

    def active_leader_address(self) -> str | None:
        """Return the address of the leader if it is likely to answer."""
        return self.leader_address if self.heard_leader() else None

    # Log, commit and state.

    def next_time_s(self) -> float:
        """Return the cluster's time, which goes on from the last entry's."""
        time_s, noted_s = self._time_base
        if time_s == 0.0:
            return self.timer.wall_time_s()
        return time_s + (self.timer.now_s() - noted_s)

    def note_appended(self, entry: LogEntry) -> None:
        """Keep what an entry means before it is committed."""
        self._time_base = (entry.time_s, self.timer.now_s())
        if entry.kind is EntryKind.VOTERS:
            self._voter_sets.append((entry.index, entry.voter_set()))
            self.changed.notify()

    async def truncate_from(self, index: int) -> None:
        """Cut off entries of another leader that were not committed."""
        if index <= self.commit_index:
            raise errors.EndivesillError(f"entry {index} is committed")
        while self._voter_sets[-1][0] >= index:
            self._voter_sets.pop()
        await self.log.truncate_from(index)
        self.changed.notify()

    def advance_commit(self, index: int) -> None:
        """Take entries up to an index as committed and apply them."""
        if index > self.commit_index:
            self.commit_index = index
            self._apply_committed()

    def _apply_committed(self) -> None:
        self._apply_scheduled = False
        machine = self.machine
        # Behind the log's base, a snapshot from the leader is being put in use.
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
        """Keep the state as it is; entries are still committed."""
        self._apply_paused = True

    def resume_applying(self) -> None:
        """Apply what was committed meanwhile."""
        self._apply_paused = False
        self._apply_committed()

    def _apply(self, entry: LogEntry) -> None:
        outcome = self.machine.apply(entry)
        if entry.kind is EntryKind.VOTERS:
            self._note_voters(entry)
        for waiter in self._waiters.pop(entry.index, ()):
            if waiter.term != entry.term:
                _fail(waiter, errors.NotLeaderError(self.active_leader_address()))
            elif not waiter.future.done():
                waiter.future.set_result(outcome)

    def _note_voters(self, entry: LogEntry) -> None:
        voter_set = entry.voter_set()
        events.emit(
            VOTERS_CHANGED,
            index=entry.index,
            voters=dict(voter_set.voters),
            learners=dict(voter_set.learners),
        )
        while len(self._voter_sets) > 1 and self._voter_sets[1][0] <= entry.index:
            self._voter_sets.pop(0)
        # After a restart the log is applied from its begin, with old voter sets.
        is_newest = entry.index == self.voters_index
        if self.role is Role.LEADER and is_newest and not self.is_voter:
            self.step_down("removed from the voters")

    def applied_voter_set(self) -> VoterSet:
        """Return the voters at the last applied entry."""
        return self._voter_sets[0][1]

    def expect(self, index: int, term: int) -> asyncio.Future[Message]:
        """Return what will hold the outcome of an entry once it is applied."""
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(index, []).append(_Waiter(term, future))
        return future

    async def wait_applied(self, index: int) -> None:
        """Wait until the state holds an entry."""
        while self.machine.applied_index < index:
            await self.changed.wait()


def _fail(waiter: _Waiter, error: errors.EndivesillError) -> None:
    if not waiter.future.done():
        waiter.future.set_exception(error)
        # The one who waited may be gone.
        waiter.future.exception()
