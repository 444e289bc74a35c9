"""Membership changes, carried out by the leader.

The voter set changes by one voter at a time. A change is refused unless a majority
of the resulting voters is live and caught up.
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

MAX_READY_LAG_ENTRIES = 100
CALL_TIMEOUT_S = 1.0
RESPONSE_MARGIN_S = 0.2


@attrs.frozen
class ReplicaStatus:
    """The leader's view of one replica.

    Attributes:
      identity: the replica ID, which is bound to its disk.
      address: the peer address.
      voter: whether it is a voter; otherwise it is a learner.
      live: whether it responded within the election timeout.
      ready: whether it is live and caught up with the log.
      match_index: the highest index known to be on its disk.
    """

    identity: str
    address: str
    voter: bool
    live: bool
    ready: bool
    match_index: int


@attrs.frozen
class ClusterStatus:
    """The leader's view of the cluster.

    Attributes:
      cluster: the cluster ID.
      term: the leader's term.
      leader: the leader's identity.
      commit_index: the highest committed index.
      replicas: the voters and learners, sorted by identity.
      spare_voters: how many ready voters can fail at once without loss of the
        quorum; negative if there is no quorum.
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
        """Return the status that `to_document` encoded."""
        replicas = tuple(ReplicaStatus(**r) for r in document["replicas"])
        return cls(**{**document, "replicas": replicas})


@attrs.frozen
class ChangeResult:
    """Result of a membership change.

    Attributes:
      done: whether the change is complete and the cluster can lose one more voter.
      detail: what is still missing, in one line; empty if the change is done.
      status: the status of the cluster after the change.
    """

    done: bool
    detail: str
    status: ClusterStatus


class VoterManager:
    """Carries out membership changes while this replica leads.

    Args:
      core: the replica's shared state.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._lock = asyncio.Lock()

    async def handle_voters(self, message: Message) -> Message:
        """Handle a request of VoterOperations.

        Raises:
          NotLeaderError: this replica does not lead.
          UnsafeChangeError: the cluster might lose its quorum.
        """
        timeout_s = message["timeout_s"] - RESPONSE_MARGIN_S
        replica, address = message["replica"], message["address"]
        operation = message["operation"]
        if operation == "status":
            self._require_leadership()
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
        self._require_leadership()
        change = {"done": not detail, "detail": detail}
        return {"change": change, "status": self.status().to_document()}

    async def handle_join(self, message: Message) -> Message:
        """Add a replica as a learner at its own request.

        Raises:
          NotLeaderError: this replica does not lead.
          UnsafeChangeError: it belongs to another cluster.
        """
        identity, address = message["identity"], message["address"]
        if message.get("cluster", "") not in ("", self._core.cluster):
            raise errors.UnsafeChangeError(f"{address} is in another cluster")
        async with self._lock:
            await self._add_learner(identity, address)
        return {"joined": True}

    async def promote(self, identity: str) -> None:
        """Promote a learner to voter, waiting for a short time until it is ready.

        Raises:
          UnsafeChangeError: the learner is not ready or no longer a member, or the
            cluster might lose its quorum.
        """
        async with self._lock:
            if identity not in self._core.voter_set.members:
                raise errors.UnsafeChangeError(f"no replica {identity}")
            try:
                await self._core.timer.wait_for(
                    self._wait_until_caught_up(identity),
                    self._core.settings.election_timeout_s,
                )
            except errors.DeadlineExceededError:
                raise errors.UnsafeChangeError(f"{identity} is not ready") from None
            await self._promote(identity)

    async def remove_lost(self, identity: str) -> None:
        """Remove a voter or learner that is lost or stops.

        Raises:
          UnsafeChangeError: the cluster might lose its quorum.
        """
        async with self._lock:
            if identity in self._core.voter_set.members:
                await self._check_and_commit(self._core.voter_set.without(identity))

    async def _change(self, operation: str, replica: str, address: str) -> str:
        """Carry out a change; return what is still missing, or the empty string."""
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
            return self._missing_redundancy()
        await self._wait_until(lambda: not self._missing_redundancy())
        return ""

    def _missing_redundancy(self) -> str:
        spare = self._spare_voters(self._core.voter_set)
        return "" if spare >= 1 else "the cluster cannot lose one more voter"

    def _require_leadership(self) -> Leadership:
        leadership = self._core.leadership
        if leadership is None:
            raise errors.NotLeaderError(self._core.active_leader_address())
        return leadership

    # Status.

    def status(self) -> ClusterStatus:
        """Return this leader's view of the cluster.

        Raises:
          NotLeaderError: this replica does not lead.
        """
        core = self._core
        voter_set = core.voter_set
        return ClusterStatus(
            core.cluster,
            core.term,
            core.identity,
            core.commit_index,
            tuple(
                self._replica_status(i, a) for i, a in sorted(voter_set.members.items())
            ),
            self._spare_voters(voter_set),
        )

    def _replica_status(self, identity: str, address: str) -> ReplicaStatus:
        core = self._core
        progress = self._require_leadership().progress.get(identity)
        if progress is None:
            match_index, live = core.log.synced_index, True
        else:
            match_index = progress.match_index
            elapsed_s = core.timer.now_s() - progress.last_contact_s
            live = elapsed_s < core.settings.election_timeout_s
        lag_entries = core.log.last_index - match_index
        ready = live and lag_entries <= MAX_READY_LAG_ENTRIES
        voter = identity in core.voter_set.voters
        return ReplicaStatus(identity, address, voter, live, ready, match_index)

    def _is_ready(self, identity: str) -> bool:
        address = self._core.voter_set.members[identity]
        return self._replica_status(identity, address).ready

    def _spare_voters(self, voter_set: VoterSet) -> int:
        known = self._core.voter_set.members
        ready = [i for i in voter_set.voters if i in known and self._is_ready(i)]
        return len(ready) - voter_set.quorum

    def _identity_of(self, replica: str) -> str:
        """Return the identity of a member given by identity or address.

        At the same address, a voter takes precedence over a learner.

        Raises:
          UnsafeChangeError: there is no such member.
        """
        voter_set = self._core.voter_set
        if replica in voter_set.members:
            return replica
        found = [i for i, a in voter_set.voters.items() if a == replica]
        found = found or [i for i, a in voter_set.learners.items() if a == replica]
        if not found:
            raise errors.UnsafeChangeError(f"no replica {replica}")
        return found[0]

    # Steps of a change; each one is committed before the next.

    async def _commit(self, voter_set: VoterSet) -> None:
        timeout_s = 2 * self._core.settings.election_timeout_s
        await self._require_leadership().change_voters(voter_set, timeout_s)

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
        self._require_leadership()
        voter_set = self._core.voter_set
        if identity in voter_set.members:
            return
        # An earlier learner at the same address has lost its disk.
        for stale, stale_address in voter_set.learners.items():
            if stale_address == address:
                voter_set = voter_set.without(stale)
        await self._commit(voter_set.with_learner(identity, address))

    async def _promote(self, identity: str) -> None:
        voter_set = self._core.voter_set
        if identity in voter_set.voters:
            return
        await self._wait_until_caught_up(identity)
        await self._check_and_commit(self._core.voter_set.with_voter(identity))

    async def _add(self, address: str) -> None:
        identity = await self._fetch_identity(address)
        await self._add_learner(identity, address)
        await self._promote(identity)

    async def _remove(self, identity: str) -> None:
        leadership = self._require_leadership()
        if identity == self._core.identity:
            await self._transfer_leadership(leadership)
        await self._check_and_commit(self._core.voter_set.without(identity))

    async def _transfer_leadership(self, leadership: Leadership) -> None:
        """Transfer leadership and redirect the caller to the new leader.

        Raises:
          NotLeaderError: leadership was transferred; names the new leader.
          UnavailableError: no voter took over.
          UnsafeChangeError: there is no other voter.
        """
        if len(self._core.voter_set.voters) == 1:
            raise errors.UnsafeChangeError("the last voter must stay")
        if not await leadership.transfer(None):
            raise errors.UnavailableError("no other voter could take over")
        raise errors.NotLeaderError(self._core.active_leader_address())

    async def _replace(self, replica: str, address: str) -> None:
        leadership = self._require_leadership()
        new = await self._fetch_identity(address)
        members = self._core.voter_set.members
        if new in self._core.voter_set.voters and (
            replica not in members and replica not in (a for a in members.values())
        ):
            return
        old = self._identity_of(replica)
        if old == new:
            # The replica at this address was replaced already.
            return
        if old == self._core.identity:
            await self._transfer_leadership(leadership)
        await self._add_learner(new, address)
        await self._wait_until_caught_up(new)
        if not self._is_ready(old):
            # A lost voter is removed before the promotion. Until then the new
            # replica does not count towards the quorum, so its failure does no harm.
            await self._check_and_commit(self._core.voter_set.without(old))
            await self._promote(new)
            return
        await self._promote(new)
        await self._check_and_commit(self._core.voter_set.without(old))

    async def _fetch_identity(self, address: str) -> str:
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

    async def _wait_until_caught_up(self, identity: str) -> None:
        """Wait until a replica is ready and has all that is committed by now."""
        index = self._core.commit_index

        def has_caught_up() -> bool:
            address = self._core.voter_set.members[identity]
            status = self._replica_status(identity, address)
            return status.ready and status.match_index >= index

        await self._wait_until(has_caught_up)

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        leadership = self._require_leadership()
        while not condition():
            await leadership.progress_changed.wait()
            self._require_leadership()
