"""A control VM's replica of the state, which is also a client of it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from endivesill import errors, events
from endivesill.control.bootstrap import HELLO_PATH, JOIN_PATH, Bootstrap
from endivesill.control.client import ControlClient
from endivesill.control.commands import COMMANDS, QUERIES, State, run_query
from endivesill.control.core import ReplicaCore, Role
from endivesill.control.disk import Disk
from endivesill.control.election import Election
from endivesill.control.entries import EntryKind, Proposal
from endivesill.control.events import REPLICA_STARTED
from endivesill.control.follower import Follower
from endivesill.control.leadership import Leadership
from endivesill.control.machine import Applied
from endivesill.control.messages import (
    APPEND_PATH,
    CHUNK_PATH,
    LEAD_PATH,
    VOTE_PATH,
    AppendRequest,
    ChunkRequest,
    LeadRequest,
    VoteRequest,
    from_message,
    to_message,
)
from endivesill.control.remote import (
    PROPOSE_PATH,
    QUERY_PATH,
    RemoteControlClient,
)
from endivesill.control.repair import Repair
from endivesill.control.settings import ControlSettings
from endivesill.control.snapshotter import Snapshotter
from endivesill.control.storage import ReplicaStorage
from endivesill.control.voter_manager import VOTERS_PATH, VoterManager
from endivesill.control.voters import VoterOperations
from endivesill.control.wire import error_to_message
from endivesill.peers import Message, PeerTransport
from endivesill.supervision import supervise
from endivesill.timer import TimerService

__all__ = ["NEWEST_PATH", "ControlReplica"]

NEWEST_PATH = "/control/newest"

RESTART_BACKOFF_S = 0.5

T = TypeVar("T")


class ControlReplica(ControlClient):
    """One replica of the state.

    Args:
      timer: the timer service.
      transport: the peer port; its paths are taken at `start`.
      disk: the replica's disk.
      addresses: peer addresses of all control VMs, this one included.
      settings: the `[control]` settings.
      seed: seed of the election timeouts; None for a random one.
      may_create_cluster: whether an empty disk may be part of a new cluster.
      desired_voters: how many voters the leader makes and keeps by itself; 0
        leaves the voters to operators.

    Raises:
      EndivesillError: the settings do not fit together.

    Attributes:
      voters: status and changes of the voters.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        disk: Disk,
        addresses: tuple[str, ...],
        settings: ControlSettings | None = None,
        seed: int | None = None,
        *,
        may_create_cluster: bool = True,
        desired_voters: int = 0,
    ) -> None:
        settings = settings or ControlSettings()
        if settings.election_timeout_s < 2 * settings.heartbeat_s:
            raise errors.EndivesillError(
                "[control] election_timeout_s must be twice heartbeat_s at least"
            )
        self._timer = timer
        self._transport = transport
        self._storage = ReplicaStorage(disk, settings.segment_bytes)
        self._core = ReplicaCore(timer, transport, self._storage, settings, seed)
        self._election = Election(self._core)
        self._follower = Follower(self._core)
        self._snapshotter = Snapshotter(self._core)
        self._bootstrap = Bootstrap(
            self._core, addresses, may_create_cluster=may_create_cluster
        )
        self._manager = VoterManager(self._core)
        self._repair = (
            Repair(self._core, self._manager, desired_voters)
            if desired_voters
            else None
        )
        self._client = RemoteControlClient(
            timer, transport, addresses, self._core.active_leader_address
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._newest_fields: dict[str, Callable[[], Any]] = {}
        self.voters = VoterOperations(self._client)

    # Life cycle.

    async def start(self) -> None:
        """Read the disk and take part in the cluster.

        Raises:
          StorageCorruptError: a file is damaged.
        """
        core = self._core
        await core.load()
        core.log.add_sync_listener(self._note_synced)
        self._handle_paths()
        for name, run in (
            ("control-log", core.log.run),
            ("control-bootstrap", self._bootstrap.run),
            ("control-election", self._election.run),
            ("control-snapshots", self._snapshotter.run),
            *self._repair_tasks(),
        ):
            self._tasks.append(supervise(self._timer, name, run, RESTART_BACKOFF_S))
        events.emit(
            REPLICA_STARTED,
            identity=core.identity,
            term=core.term,
            last_index=core.log.last_index,
            cluster=core.cluster,
        )

    def _repair_tasks(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        if self._repair is None:
            return []
        return [
            ("control-repair", self._repair.run),
            ("control-rejoin", self._bootstrap.rejoin),
        ]

    async def stop(self) -> None:
        """Hand leadership over, if this replica leads, and stop."""
        await self.transfer_leadership()
        await self.halt()

    async def halt(self) -> None:
        """Stop at once."""
        leadership = self._core.leadership
        if leadership is not None:
            leadership.close()
        await self._client.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._storage.close()

    def _note_synced(self) -> None:
        if self._core.leadership is not None:
            self._core.leadership.handle_sync()

    # What others can ask of this replica.

    @property
    def identity(self) -> str:
        """The identity of this replica's disk."""
        return self._core.identity

    @property
    def state(self) -> State:
        """The state after the last applied entry; not to be changed."""
        return self._core.machine.state

    @property
    def applied_index(self) -> int:
        """The index of the last applied entry."""
        return self._core.machine.applied_index

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads, as far as it knows."""
        return self._core.role is Role.LEADER

    @property
    def core(self) -> ReplicaCore:
        """The replica's shared state; not to be changed."""
        return self._core

    def subscribe_applied(self, listener: Callable[[Applied], None]) -> None:
        """Call a listener after each applied entry, in the order of the log.

        After a snapshot from the leader it is called once, with the kind
        SNAPSHOT: the state as a whole was replaced.
        """
        self._core.machine.subscribe(listener)

    def newest_index_of(self, command: str) -> int:
        """Return the highest index on this disk of an entry with a command.

        The entry may not be committed yet. An entry that is committed anywhere
        is on the disks of a majority, so the largest answer of any majority of
        the voters is not under it. 0 means that there is none.
        """
        log = self._core.log
        machine = self._core.machine
        for index in range(log.synced_index, machine.applied_index, -1):
            entry = log.entry(index)
            if entry.kind is EntryKind.COMMAND and entry.proposal().command == command:
                return index
        return machine.newest_index_by_command.get(command, 0)

    def add_newest_field(self, name: str, read: Callable[[], Any]) -> None:
        """Add a field to what this replica answers under /control/newest."""
        self._newest_fields[name] = read

    async def transfer_leadership(self, identity: str | None = None) -> bool:
        """Hand leadership to another voter; return whether that has worked.

        Args:
          identity: who shall lead; None for the voter that is furthest.
        """
        leadership = self._core.leadership
        return leadership is not None and await leadership.transfer(identity)

    # ControlClient.

    async def propose(
        self, command: str, message: Message, timeout_s: float
    ) -> Message:
        """Commit a command, here or at the leader; see the base class."""
        return await self._client.propose(command, message, timeout_s)

    async def query(self, query: str, message: Message, timeout_s: float) -> Message:
        """Run a query, here or at the leader; see the base class."""
        return await self._client.query(query, message, timeout_s)

    # Peer paths.

    def _handle_paths(self) -> None:
        handle = self._transport.handle
        election, follower = self._election, self._follower
        handle(VOTE_PATH, self._addressed(VoteRequest, election.handle_vote))
        handle(LEAD_PATH, self._addressed(LeadRequest, election.handle_lead))
        handle(APPEND_PATH, self._addressed(AppendRequest, follower.handle_append))
        handle(CHUNK_PATH, self._addressed(ChunkRequest, follower.handle_chunk))
        handle(HELLO_PATH, self._bootstrap.handle_hello)
        handle(JOIN_PATH, _answering_errors(self._manager.handle_join))
        handle(VOTERS_PATH, _answering_errors(self._manager.handle_voters))
        handle(PROPOSE_PATH, _answering_errors(self._handle_propose))
        handle(QUERY_PATH, _answering_errors(self._handle_query))
        handle(NEWEST_PATH, self._handle_newest)

    def _addressed(
        self, kind: type[T], answer: Callable[[T], Awaitable[Any]]
    ) -> Callable[[Message], Awaitable[Message]]:
        """Wrap a handler of messages that are meant for one identity."""

        async def handle(message: Message) -> Message:
            core = self._core
            try:
                request: Any = from_message(kind, message)
            except errors.PeerUnreachableError as error:
                return {"refused": str(error)}
            if request.to != core.identity:
                return {"refused": "another replica answers here"}
            if core.cluster and request.cluster != core.cluster:
                return {"refused": "another cluster"}
            try:
                return to_message(await answer(request))
            except errors.StorageError as error:
                return {"refused": str(error)}
            except Exception as error:
                name = f"control-{kind.__name__}"
                events.emit(events.TASK_FAILED, task=name, error=repr(error))
                return {"refused": repr(error)}

        return handle

    def _leading(self) -> Leadership:
        if self._core.leadership is None:
            raise errors.NotLeaderError(self._core.active_leader_address())
        return self._core.leadership

    async def _handle_propose(self, message: Message) -> Message:
        """Commit several proposals of one client.

        An error is for all of them: the client sends them again, and those that
        were committed get their first outcomes.
        """
        leadership = self._leading()
        proposals = [Proposal(**fields) for fields in message["proposals"]]
        outcomes = await asyncio.gather(
            *(self._propose_one(leadership, p, message["timeout_s"]) for p in proposals)
        )
        failed = [o for o in outcomes if isinstance(o, errors.UnavailableError)]
        if len(failed) == len(outcomes):
            raise failed[0]
        if any(isinstance(o, errors.EndivesillError) for o in outcomes):
            raise errors.OutcomeUnknownError("not all proposals were committed")
        return {"outcomes": outcomes}

    async def _propose_one(
        self, leadership: Leadership, proposal: Proposal, timeout_s: float
    ) -> Message | errors.EndivesillError:
        """Commit one proposal; return its outcome or why there is none."""
        if proposal.command not in COMMANDS:
            text = f"no command {proposal.command!r}"
            return {"failure": "EndivesillError", "text": text}
        try:
            return await leadership.propose(proposal, timeout_s)
        except (errors.UnavailableError, errors.OutcomeUnknownError) as error:
            return error

    async def _handle_query(self, message: Message) -> Message:
        timeout_s = message["timeout_s"]
        if message["query"] not in QUERIES:
            raise errors.EndivesillError(f"no query {message['query']!r}")
        index = await self._leading().read_index(timeout_s)
        core = self._core
        try:
            await self._timer.wait_for(core.wait_applied(index), timeout_s)
        except errors.DeadlineExceededError:
            raise errors.UnavailableError("the state lags behind") from None
        return {"result": run_query(self.state, message["query"], message["message"])}

    async def _handle_newest(self, message: Message) -> Message:
        core = self._core
        answer = {
            "identity": core.identity,
            "term": self._storage.metadata.term,
            "last_index": core.log.synced_index,
            "commit_index": core.commit_index,
            "applied_index": self.applied_index,
            "voters": dict(core.voter_set.voters),
        }
        for name, read in self._newest_fields.items():
            answer[name] = read()
        return answer


def _answering_errors(
    answer: Callable[[Message], Awaitable[Message]],
) -> Callable[[Message], Awaitable[Message]]:
    """Wrap a handler whose errors are for the caller to see."""

    async def handle(message: Message) -> Message:
        try:
            return await answer(message)
        except errors.EndivesillError as error:
            return error_to_message(error)

    return handle
