"""The leader's part of changes of the voters.

Voters change one at a time. A change is refused unless a majority of the voters
after it is live and caught up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from endivesill import errors, events
from endivesill.control.bootstrap import HELLO_PATH, Hello
from endivesill.control.core import ReplicaCore
from endivesill.control.events import VOTERS_REFUSED
from endivesill.control.leadership import Leadership
from endivesill.control.messages import from_message
from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message

__all__ = [
    "VOTERS_PATH",
    "ChangeResult",
    "ClusterStatus",
    "ReplicaStatus",
    "VoterManager",
]

VOTERS_PATH = "/control/voters"

READY_LAG_ENTRIES = 100
CALL_TIMEOUT_S = 1.0
ANSWER_MARGIN_S = 0.2


@attrs.frozen
class ReplicaStatus:
    """One replica as the leader sees it.

    Attributes:
      identity: the identity of its disk.
      address: its peer address.
      voter: whether it votes; a learner does not.
      live: whether it has answered within an election timeout.
      ready: whether it is live and has caught up with the log.
      match_index: the last index known to be on its disk.
    """

    identity: str
    address: str
    voter: bool
    live: bool
    ready: bool
    match_index: int


@attrs.frozen
class ClusterStatus:
    """The cluster as its leader sees it.

    Attributes:
      cluster: the cluster's id.
      term: the leader's term.
      leader: the leader's identity.
      commit_index: the last committed index.
      replicas: voters and learners.
      spare_voters: how many voters can be lost at once without losing the
        quorum; negative without a quorum.
    """

    cluster: str
    term: int
    leader: str
    commit_index: int
    replicas: tuple[ReplicaStatus, ...]
    spare_voters: int

    def to_document(self) -> Message:
        """Return the status as a JSON object."""
        return attrs.asdict(self)

    @classmethod
    def from_document(cls, document: Message) -> ClusterStatus:
        """Return the status of a JSON object."""
        replicas = tuple(ReplicaStatus(**r) for r in document["replicas"])
        return cls(**{**document, "replicas": replicas})


@attrs.frozen
class ChangeResult:
    """How a change of voters ended.

    Attributes:
      done: whether it is made and the cluster can lose one more voter.
      detail: what is still missing, in one line.
      status: the cluster afterwards.
    """

    done: bool
    detail: str
    status: ClusterStatus


class VoterManager:
    """The part of a replica that changes voters while it leads.

    Args:
      core: the replica's shared state.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._lock = asyncio.Lock()

    async def handle_voters(self, message: Message) -> Message:
        """Answer VoterOperations."""
        timeout_s = message["timeout_s"] - ANSWER_MARGIN_S
        replica, address = message["replica"], message["address"]
        operation = message["operation"]
        if operation == "status":
            self._leading()
            return {"status": self.status().to_document()}
        try:
            detail = await self._core.timer.wait_for(
                self._change(operation, replica, address), timeout_s
            )
        except errors.DeadlineExceededError:
            detail = "not caught up yet; repeat the command"
        except errors.UnsafeChangeError as error:
            events.emit(VOTERS_REFUSED, operation=operation, reason=str(error))
            raise
        self._leading()
        change = {"done": not detail, "detail": detail}
        return {"change": change, "status": self.status().to_document()}

    async def handle_join(self, message: Message) -> Message:
        """Take a replica without a state as a learner."""
        identity, address = message["identity"], message["address"]
        async with self._lock:
            await self._add_learner(identity, address)
        return {"joined": True}

    async def promote(self, identity: str) -> None:
        """Make a learner that has caught up a voter."""
        async with self._lock:
            await self._promote(identity)

    async def drop(self, identity: str) -> None:
        """Remove a replica that is lost.

        Raises:
          UnsafeChangeError: the cluster might lose its quorum.
        """
        async with self._lock:
            await self._check_and_commit(self._core.voter_set.without(identity))

    async def _change(self, operation: str, replica: str, address: str) -> str:
        """Make a change and return what is missing at its end."""
        async with self._lock:
            if operation == "add":
                await self._add(address)
            elif operation == "remove":
                await self._remove(self._identity_of(replica))
            elif operation == "replace":
                await self._replace(replica, address)
            else:
                raise errors.EndivesillError(f"no operation {operation!r}")
        if operation == "remove":
            return self._missing()
        await self._until(lambda: not self._missing())
        return ""

    def _missing(self) -> str:
        spare = self._spare_voters(self._core.voter_set)
        return "" if spare >= 1 else "the cluster cannot lose one more voter"

    def _leading(self) -> Leadership:
        leadership = self._core.leadership
        if leadership is None:
            raise errors.NotLeaderError(self._core.active_leader_address())
        return leadership

    # What the leader sees.

    def status(self) -> ClusterStatus:
        """Return the cluster as this leader sees it."""
        core = self._core
        voter_set = core.voter_set
        return ClusterStatus(
            core.cluster,
            core.term,
            core.identity,
            core.commit_index,
            tuple(self._replica(i, a) for i, a in sorted(voter_set.members.items())),
            self._spare_voters(voter_set),
        )

    def _replica(self, identity: str, address: str) -> ReplicaStatus:
        core = self._core
        progress = self._leading().progress.get(identity)
        if progress is None:
            match_index, live = core.log.synced_index, True
        else:
            match_index = progress.match_index
            elapsed_s = core.timer.now_s() - progress.last_contact_s
            live = elapsed_s < core.settings.election_timeout_s
        lag_entries = core.log.last_index - match_index
        ready = live and lag_entries <= READY_LAG_ENTRIES
        voter = identity in core.voter_set.voters
        return ReplicaStatus(identity, address, voter, live, ready, match_index)

    def _is_ready(self, identity: str) -> bool:
        address = self._core.voter_set.members[identity]
        return self._replica(identity, address).ready

    def _spare_voters(self, voter_set: VoterSet) -> int:
        known = self._core.voter_set.members
        ready = [i for i in voter_set.voters if i in known and self._is_ready(i)]
        return len(ready) - voter_set.quorum

    def _identity_of(self, replica: str) -> str:
        """Return the identity of a member given by identity or address."""
        voter_set = self._core.voter_set
        if replica in voter_set.members:
            return replica
        found = [i for i, a in voter_set.voters.items() if a == replica]
        found = found or [i for i, a in voter_set.learners.items() if a == replica]
        if not found:
            raise errors.UnsafeChangeError(f"no replica {replica}")
        return found[0]

    # Steps; each is committed before the next.

    async def _commit(self, voter_set: VoterSet) -> None:
        timeout_s = 2 * self._core.settings.election_timeout_s
        await self._leading().change_voters(voter_set, timeout_s)

    async def _check_and_commit(self, voter_set: VoterSet) -> None:
        if not voter_set.voters:
            raise errors.UnsafeChangeError("the last voter must stay")
        missing = -self._spare_voters(voter_set)
        if missing > 0:
            raise errors.UnsafeChangeError(
                f"{missing} of the voters after the change would have to be live "
                "and caught up, and are not"
            )
        await self._commit(voter_set)

    async def _add_learner(self, identity: str, address: str) -> None:
        self._leading()
        voter_set = self._core.voter_set
        if identity in voter_set.members:
            return
        # A learner that was at the address before has lost its disk.
        for stale, stale_address in voter_set.learners.items():
            if stale_address == address:
                voter_set = voter_set.without(stale)
        await self._commit(voter_set.with_learner(identity, address))

    async def _promote(self, identity: str) -> None:
        voter_set = self._core.voter_set
        if identity in voter_set.voters:
            return
        await self._until(lambda: self._is_ready(identity))
        await self._check_and_commit(self._core.voter_set.with_voter(identity))

    async def _add(self, address: str) -> None:
        identity = await self._ask_identity(address)
        await self._add_learner(identity, address)
        await self._promote(identity)

    async def _remove(self, identity: str) -> None:
        leadership = self._leading()
        if identity == self._core.identity:
            await self._hand_over(leadership)
        await self._check_and_commit(self._core.voter_set.without(identity))

    async def _hand_over(self, leadership: Leadership) -> None:
        """Let another voter lead; the caller is sent on to it."""
        if len(self._core.voter_set.voters) == 1:
            raise errors.UnsafeChangeError("the last voter must stay")
        if not await leadership.transfer(None):
            raise errors.UnavailableError("no other voter could take over")
        raise errors.NotLeaderError(self._core.active_leader_address())

    async def _replace(self, replica: str, address: str) -> None:
        leadership = self._leading()
        new = await self._ask_identity(address)
        members = self._core.voter_set.members
        if new in self._core.voter_set.voters and (
            replica not in members and replica not in (a for a in members.values())
        ):
            return
        old = self._identity_of(replica)
        if old == new:
            # The old replica at the same address has been replaced already.
            return
        if old == self._core.identity:
            await self._hand_over(leadership)
        await self._add_learner(new, address)
        await self._until(lambda: self._is_ready(new))
        if not self._is_ready(old):
            # A lost voter goes first: until the new one is in, it counts for
            # nothing, and the loss of the new one does no harm.
            await self._check_and_commit(self._core.voter_set.without(old))
            await self._promote(new)
            return
        await self._promote(new)
        await self._check_and_commit(self._core.voter_set.without(old))

    async def _ask_identity(self, address: str) -> str:
        core = self._core
        if address == core.transport.address:
            return core.identity
        try:
            message = await core.transport.call(address, HELLO_PATH, {}, CALL_TIMEOUT_S)
            hello = from_message(Hello, message)
        except errors.PeerUnreachableError as error:
            raise errors.UnsafeChangeError(f"no replica answers: {error}") from None
        if hello.cluster not in ("", core.cluster):
            raise errors.UnsafeChangeError(f"{address} is in another cluster")
        return hello.identity

    async def _until(self, condition: Callable[[], bool]) -> None:
        leadership = self._leading()
        while not condition():
            await leadership.progress_changed.wait()
            self._leading()
