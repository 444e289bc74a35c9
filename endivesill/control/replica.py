"""The replica of a control VM, which is also a client of the replicated state."""

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
from endivesill.control.known_peers import KnownPeers
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
from endivesill.control.repair import LEAVE_PATH, VoterRepair
from endivesill.control.settings import ControlSettings
from endivesill.control.snapshotter import Snapshotter
from endivesill.control.storage import ReplicaStorage
from endivesill.control.voter_manager import VOTERS_PATH, VoterManager
from endivesill.control.voters import VoterOperations
from endivesill.control.wire import with_error_responses
from endivesill.peers import Message, PeerTransport
from endivesill.supervision import supervise
from endivesill.timer import TimerService

__all__ = ["NEWEST_PATH", "ControlReplica"]

NEWEST_PATH = "/control/newest"

RESTART_BACKOFF_S = 0.5

T = TypeVar("T")


class ControlReplica(ControlClient):
    """One replica of the replicated state.

    Args:
      timer: the timer service.
      transport: the peer transport; `start` registers the handlers of its paths.
      disk: the storage of the replica's files.
      addresses: peer addresses of all control VMs, including this one.
      settings: the `[control]` settings.
      seed: seed of the random election timeouts; None for a random seed.
      may_create_cluster: whether a replica with an empty disk may take part in the
        creation of a cluster.
      desired_voters: number of voters that the leader maintains automatically; 0
        leaves membership changes to operators.

    Raises:
      EndivesillError: the election timeout is too short for the heartbeat period.

    Attributes:
      voters: status and membership changes of the cluster.
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
                "[control] election_timeout_s must be at least twice heartbeat_s"
            )
        self._timer = timer
        self._transport = transport
        self._storage = ReplicaStorage(disk, settings.segment_bytes)
        self._core = ReplicaCore(timer, transport, self._storage, settings, seed)
        self._election = Election(self._core)
        self._follower = Follower(self._core)
        self._snapshotter = Snapshotter(self._core)
        self._peers = KnownPeers(
            transport.address,
            addresses,
            lambda: self._core.voter_set.members.values(),
        )
        self._bootstrap = Bootstrap(
            self._core, addresses, self._peers, may_create_cluster=may_create_cluster
        )
        self._voter_manager = VoterManager(self._core)
        self._repair = (
            VoterRepair(self._core, self._voter_manager, desired_voters)
            if desired_voters
            else None
        )
        self._client = RemoteControlClient(
            timer,
            transport,
            addresses,
            self._core.active_leader_address,
            self._peers.addresses,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._newest_fields: dict[str, Callable[[], Any]] = {}
        self.voters = VoterOperations(self._client)

    # Life cycle.

    async def start(self) -> None:
        """Load the files, register the peer paths and start the replica's tasks.

        Raises:
          StorageCorruptError: a file is damaged or missing.
        """
        core = self._core
        await core.load()
        core.log.add_sync_listener(self._handle_sync)
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
        """Transfer leadership, if this replica leads, and stop."""
        await self.transfer_leadership()
        await self.halt()

    async def leave(self, timeout_s: float) -> bool:
        """Offer the seat of this voter to a learner, as its process stops.

        Returns:
          Whether this replica is no longer a voter. It keeps its seat where no learner
          is ready in time, and with a leader of an earlier version.
        """
        self._bootstrap.is_stopping = True
        return await self.voters.leave(self.identity, timeout_s)

    async def halt(self) -> None:
        """Stop without transferring leadership and close the disk."""
        leadership = self._core.leadership
        if leadership is not None:
            leadership.close()
        await self._client.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._storage.close()

    def use_seeds(self, addresses: tuple[str, ...]) -> None:
        """Look for the cluster at other control VMs than those of the start."""
        self._peers.seeds = addresses

    def _handle_sync(self) -> None:
        if self._core.leadership is not None:
            self._core.leadership.handle_sync()

    # Status and local reads.

    @property
    def identity(self) -> str:
        """The replica ID, which is bound to its disk."""
        return self._core.identity

    @property
    def state(self) -> State:
        """The state after the last applied entry; callers must not modify it."""
        return self._core.machine.state

    @property
    def applied_index(self) -> int:
        """The index of the last applied entry."""
        return self._core.machine.applied_index

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its term.

        A newer leader may exist already.
        """
        return self._core.role is Role.LEADER

    @property
    def core(self) -> ReplicaCore:
        """The replica's shared state; callers must not modify it."""
        return self._core

    def subscribe_applied(self, listener: Callable[[Applied], None]) -> None:
        """Call a listener after each applied entry, in log order.

        The installation of a snapshot is reported by a single call with the kind
        SNAPSHOT.
        """
        self._core.machine.subscribe(listener)

    def newest_index_of(self, command: str) -> int:
        """Return the highest synced index of an entry with the given command.

        The entry may be uncommitted. As a committed entry is on the disks of a
        majority, the maximum over any majority of the voters is at least the index
        of the last committed command. 0 means that there is no such entry.
        """
        log = self._core.log
        machine = self._core.machine
        for index in range(log.synced_index, machine.applied_index, -1):
            entry = log.entry(index)
            if entry.kind is EntryKind.COMMAND and entry.proposal().command == command:
                return index
        return machine.newest_index_by_command.get(command, 0)

    def add_newest_field(self, name: str, read: Callable[[], Any]) -> None:
        """Add a field to the responses of this replica to /control/newest."""
        self._newest_fields[name] = read

    async def transfer_leadership(self, identity: str | None = None) -> bool:
        """Transfer leadership to another voter; return whether it succeeded.

        Args:
          identity: the new leader; None for the most caught-up voter.
        """
        leadership = self._core.leadership
        return leadership is not None and await leadership.transfer(identity)

    # ControlClient.

    async def propose(
        self, command: str, message: Message, timeout_s: float
    ) -> Message:
        """Commit a command through the leader; see the base class."""
        return await self._client.propose(command, message, timeout_s)

    async def query(self, query: str, message: Message, timeout_s: float) -> Message:
        """Run a query at the leader; see the base class."""
        return await self._client.query(query, message, timeout_s)

    # Peer paths.

    def _handle_paths(self) -> None:
        handle = self._transport.handle
        election, follower = self._election, self._follower
        handle(VOTE_PATH, self._with_recipient_check(VoteRequest, election.handle_vote))
        handle(LEAD_PATH, self._with_recipient_check(LeadRequest, election.handle_lead))
        handle(
            APPEND_PATH,
            self._with_recipient_check(AppendRequest, follower.handle_append),
        )
        handle(
            CHUNK_PATH, self._with_recipient_check(ChunkRequest, follower.handle_chunk)
        )
        handle(HELLO_PATH, self._bootstrap.handle_hello)
        handle(JOIN_PATH, with_error_responses(self._voter_manager.handle_join))
        handle(VOTERS_PATH, with_error_responses(self._voter_manager.handle_voters))
        if self._repair is not None:
            handle(LEAVE_PATH, with_error_responses(self._repair.handle_leave))
        handle(PROPOSE_PATH, with_error_responses(self._handle_propose))
        handle(QUERY_PATH, with_error_responses(self._handle_query))
        handle(NEWEST_PATH, self._handle_newest)

    def _with_recipient_check(
        self, kind: type[T], respond: Callable[[T], Awaitable[Any]]
    ) -> Callable[[Message], Awaitable[Message]]:
        """Wrap a handler of requests that name their recipient.

        Requests for another identity or cluster, and those whose handler fails, are
        answered with `{"refused": reason}`.
        """

        async def handle(message: Message) -> Message:
            core = self._core
            try:
                request: Any = from_message(kind, message)
            except errors.PeerUnreachableError as error:
                return {"refused": str(error)}
            # The leader may write to a replica whose disk was lost since.
            self._peers.note_heard(getattr(request, "address", None))
            if request.to != core.identity:
                return {"refused": "another replica answers here"}
            if core.cluster and request.cluster != core.cluster:
                return {"refused": "another cluster"}
            try:
                return to_message(await respond(request))
            except errors.StorageError as error:
                return {"refused": str(error)}
            except Exception as error:
                name = f"control-{kind.__name__}"
                events.emit(events.TASK_FAILED, task=name, error=repr(error))
                return {"refused": repr(error)}

        return handle

    def _require_leadership(self) -> Leadership:
        if self._core.leadership is None:
            raise errors.NotLeaderError(self._core.active_leader_address())
        return self._core.leadership

    async def _handle_propose(self, message: Message) -> Message:
        """Commit a batch of proposals of one client.

        An error applies to the whole batch: the client resends it, and proposals
        that were committed return their stored outcomes.
        """
        leadership = self._require_leadership()
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
        """Commit one proposal; return its outcome, or the error if there is none."""
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
        index = await self._require_leadership().read_index(timeout_s)
        core = self._core
        try:
            await self._timer.wait_for(core.wait_applied(index), timeout_s)
        except errors.DeadlineExceededError:
            raise errors.UnavailableError("the state lags behind") from None
        return {"result": run_query(self.state, message["query"], message["message"])}

    async def _handle_newest(self, message: Message) -> Message:
        core = self._core
        response = {
            "identity": core.identity,
            "term": self._storage.metadata.term,
            "last_index": core.log.synced_index,
            "commit_index": core.commit_index,
            "applied_index": self.applied_index,
            "voters": dict(core.voter_set.voters),
        }
        for name, read in self._newest_fields.items():
            response[name] = read()
        return response
