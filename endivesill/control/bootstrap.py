"""Creation of a cluster, and joining of an existing one with an empty disk.

The initial voters are all replicas in the configured address list, each with the
identity on its empty disk. A replica writes them only after all others responded
that they have the same list and no state. If any of them has a state, the cluster
exists already, and the empty replica asks to join as a learner. It looks for the
cluster at all addresses that it knows, and at those that the replicas there name.
"""

from __future__ import annotations

import asyncio

import attrs

from endivesill import errors, events
from endivesill.control.core import ReplicaCore
from endivesill.control.events import (
    BOOTSTRAP_CONFLICT,
    BOOTSTRAPPED,
    LEARNER_JOINED,
)
from endivesill.control.known_peers import KnownPeers
from endivesill.control.messages import from_message, to_message
from endivesill.control.snapshots import Snapshot
from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message

__all__ = ["HELLO_PATH", "JOIN_PATH", "Bootstrap", "Hello"]

HELLO_PATH = "/control/hello"
JOIN_PATH = "/control/join"

INITIAL_INDEX = 1
INITIAL_TERM = 1
CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.5
JOIN_RETRY_DELAY_S = 0.5
# A replica without contact to a leader for this time asks to join as a learner: twice
# the election timeout, so that it has caught up well before operators count on it.
REJOIN_AFTER_S = 1.0
REJOIN_PERIOD_S = 0.25
# Addresses that one search asks; those of a cluster of nine, before and after all of
# its VMs were exchanged.
MAX_ASKED = 18


@attrs.frozen
class Hello:
    """Response to a bootstrap query: a replica's identity and cluster.

    Attributes:
      identity: the replica ID.
      cluster: the cluster ID; empty if the replica has no state.
      addresses: the configured addresses of the control VMs, sorted.
      voters: the peer addresses of the voters known to the replica, by identity.
    """

    identity: str
    cluster: str
    addresses: list[str]
    voters: dict[str, str]


class Bootstrap:
    """Creates or joins a cluster for a replica without a state.

    Args:
      core: the replica's shared state.
      addresses: the peer addresses of the control VMs that were configured at the
        start; only these create a cluster.
      peers: where to look for an existing cluster.
      may_create_cluster: whether a replica with an empty disk may take part in the
        creation of a cluster; if not, its disk was lost and it only joins.

    Attributes:
      is_stopping: whether the process stops, so that it does not join again.
    """

    def __init__(
        self,
        core: ReplicaCore,
        addresses: tuple[str, ...],
        peers: KnownPeers,
        *,
        may_create_cluster: bool = True,
    ) -> None:
        self._core = core
        self._peers = peers
        self.is_stopping = False
        self._may_create_cluster = may_create_cluster
        self._addresses = tuple(sorted(set(addresses)))

    @property
    def _is_listed(self) -> bool:
        return self._core.transport.address in self._addresses

    async def handle_hello(self, message: Message) -> Message:
        """Handle the bootstrap query of another replica."""
        self._peers.note_heard(message.get("address"))
        return to_message(self._hello())

    def _hello(self) -> Hello:
        core = self._core
        voters = dict(core.voter_set.voters)
        return Hello(core.identity, core.cluster, list(self._addresses), voters)

    async def run(self) -> None:
        """Create or join a cluster; return once this replica has a state."""
        core = self._core
        while not core.cluster:
            hellos = await self._query_all()
            existing = [hello for hello in hellos.values() if hello.cluster]
            if existing:
                await self._adopt_or_join(existing)
                await core.timer.sleep(JOIN_RETRY_DELAY_S)
            elif self._can_create_cluster(hellos):
                await self._create_cluster(hellos)
            if not core.cluster:
                await core.timer.sleep(RETRY_DELAY_S)

    def _can_create_cluster(self, hellos: dict[str, Hello]) -> bool:
        complete = set(self._addresses) <= set(hellos)
        return self._may_create_cluster and self._is_listed and complete

    async def _query_all(self) -> dict[str, Hello]:
        addresses = dict.fromkeys([*self._addresses, *self._peers.addresses()])
        responses = await asyncio.gather(*(self._query(a) for a in addresses))
        return {
            address: hello
            for address, hello in zip(addresses, responses, strict=True)
            if hello is not None
        }

    async def _query(self, address: str) -> Hello | None:
        """Return what a replica says of itself; None if it does not answer."""
        core = self._core
        if address == core.transport.address:
            return self._hello()
        message = {"address": core.transport.address}
        try:
            return from_message(
                Hello,
                await core.transport.call(address, HELLO_PATH, message, CALL_TIMEOUT_S),
            )
        except errors.PeerUnreachableError:
            return None

    async def _create_cluster(self, hellos: dict[str, Hello]) -> None:
        """Create the cluster; all listed replicas write the same initial state."""
        hellos = {address: hellos[address] for address in self._addresses}
        lists = {tuple(hello.addresses) for hello in hellos.values()}
        if lists != {self._addresses}:
            events.emit(BOOTSTRAP_CONFLICT, lists=sorted(map(list, lists)))
            return
        await self._write_initial_state({h.identity: a for a, h in hellos.items()})

    async def _write_initial_state(self, voters: dict[str, str]) -> None:
        core = self._core
        voter_set = VoterSet(voters)
        cluster = voter_set.cluster_id()
        snapshot = Snapshot(INITIAL_INDEX, INITIAL_TERM, 0.0, cluster, voter_set)
        await core.storage.save_snapshot(snapshot.to_text(), snapshot.header())
        await core.log.reset(INITIAL_INDEX, INITIAL_TERM)
        core.install_snapshot(snapshot)
        events.emit(BOOTSTRAPPED, cluster=cluster, voters=voters)

    async def _adopt_or_join(self, existing: list[Hello]) -> None:
        core = self._core
        clusters = {hello.cluster for hello in existing}
        if len(clusters) > 1:
            events.emit(BOOTSTRAP_CONFLICT, clusters=sorted(clusters))
            return
        initial_voters = [h.voters for h in existing if core.identity in h.voters]
        if initial_voters and VoterSet(initial_voters[0]).cluster_id() in clusters:
            await self._write_initial_state(initial_voters[0])
            return
        await self._join()

    async def rejoin(self) -> None:
        """Ask to join as a learner whenever the leader is silent.

        A voter that was removed during an outage is not notified of its removal.
        For a replica that is still a member, the request has no effect.
        """
        core = self._core
        while True:
            await core.timer.sleep(REJOIN_PERIOD_S)
            elapsed_s = core.timer.now_s() - core.leader_contact_s
            is_out = core.leadership is None and elapsed_s > REJOIN_AFTER_S
            if core.cluster and is_out and not self.is_stopping:
                await self._join()

    async def _join(self) -> None:
        """Ask all known replicas, and those that they name, for admission.

        They are asked side by side, since some of them may be gone. One that does not
        know the leader may know other members.
        """
        addresses = self._peers.addresses()
        asked: set[str] = {self._core.transport.address}
        pending: set[asyncio.Task[list[str]]] = set()
        has_joined = False
        try:
            while not has_joined:
                for address in addresses:
                    if address not in asked and len(asked) <= MAX_ASKED:
                        asked.add(address)
                        pending.add(asyncio.ensure_future(self._ask_to_join(address)))
                if not pending:
                    return
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                addresses = [a for task in done for a in task.result()]
                has_joined = self._core.transport.address in addresses
        finally:
            for task in pending:
                task.cancel()

    async def _ask_to_join(self, address: str) -> list[str]:
        """Ask a replica for admission.

        Returns:
          Where to ask next; the own address once this replica is admitted.
        """
        core = self._core
        own = core.transport.address
        joining = {"identity": core.identity, "address": own}
        message = {**joining, "cluster": core.cluster}
        try:
            response = await core.transport.call(
                address, JOIN_PATH, message, CALL_TIMEOUT_S
            )
        except errors.PeerUnreachableError:
            return []
        if response.get("joined"):
            events.emit(LEARNER_JOINED, **joining)
            return [own]
        if response.get("leader"):
            return [response["leader"]]
        hello = await self._query(address)
        is_same_cluster = hello is not None and hello.cluster in ("", core.cluster)
        if hello is None or (core.cluster and not is_same_cluster):
            return []
        return [a for a in hello.voters.values() if a != own]
