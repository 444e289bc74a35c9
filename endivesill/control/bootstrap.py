"""Creation of a cluster, and joining of an existing one with an empty disk.

The initial voters are all replicas in the configured address list, each with the
identity on its empty disk. A replica writes them only after all others responded
that they have the same list and no state. If any of them has a state, the cluster
exists already, and the empty replica asks to join as a learner.
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
# A replica without contact to a leader for this time asks to join as a learner.
REJOIN_AFTER_S = 2.0


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
      addresses: the configured peer addresses of the control VMs.
      may_create_cluster: whether a replica with an empty disk may take part in the
        creation of a cluster; if not, its disk was lost and it only joins.
    """

    def __init__(
        self,
        core: ReplicaCore,
        addresses: tuple[str, ...],
        *,
        may_create_cluster: bool = True,
    ) -> None:
        self._core = core
        self._may_create_cluster = may_create_cluster
        self._addresses = tuple(sorted(set(addresses)))

    @property
    def _is_listed(self) -> bool:
        return self._core.transport.address in self._addresses

    async def handle_hello(self, message: Message) -> Message:
        """Handle the bootstrap query of another replica."""
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
        complete = len(hellos) == len(self._addresses)
        return self._may_create_cluster and self._is_listed and complete

    async def _query_all(self) -> dict[str, Hello]:
        core = self._core

        async def query(address: str) -> tuple[str, Hello] | None:
            if address == core.transport.address:
                return address, self._hello()
            try:
                message = await core.transport.call(
                    address, HELLO_PATH, {}, CALL_TIMEOUT_S
                )
                return address, from_message(Hello, message)
            except errors.PeerUnreachableError:
                return None

        responses = await asyncio.gather(*(query(a) for a in self._addresses))
        return dict(response for response in responses if response is not None)

    async def _create_cluster(self, hellos: dict[str, Hello]) -> None:
        """Create the cluster; all listed replicas write the same initial state."""
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
            await core.timer.sleep(REJOIN_AFTER_S)
            elapsed_s = core.timer.now_s() - core.leader_contact_s
            if core.cluster and core.leadership is None and elapsed_s > REJOIN_AFTER_S:
                await self._join()

    async def _join(self) -> None:
        """Ask all configured replicas, and the leader they name, for admission.

        The leader may have an address that is not configured.
        """
        core = self._core
        message = {"identity": core.identity, "address": core.transport.address}
        addresses = [a for a in self._addresses if a != core.transport.address]
        queried: set[str] = set()
        while addresses:
            address = addresses.pop(0)
            queried.add(address)
            try:
                response = await core.transport.call(
                    address, JOIN_PATH, message, CALL_TIMEOUT_S
                )
            except errors.PeerUnreachableError:
                continue
            if response.get("joined"):
                events.emit(LEARNER_JOINED, **message)
                return
            leader = response.get("leader")
            if leader and leader not in queried:
                addresses.insert(0, leader)
