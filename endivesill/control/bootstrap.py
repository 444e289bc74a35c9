"""The first start of a cluster, and the way of an empty disk into an old one.

The first voters are all replicas of the settings' list, each with the identity
that it has on its empty disk. A replica writes them only after it has heard
from all the others that they have the same list and no state. If one has a
state, the cluster exists: an empty replica then asks to be a learner.
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

FIRST_INDEX = 1
FIRST_TERM = 1
CALL_TIMEOUT_S = 1.0
RETRY_S = 0.5
JOIN_RETRY_S = 0.5
# Without a word of a leader for this long a replica asks to be a learner.
REJOIN_S = 2.0


@attrs.frozen
class Hello:
    """What a replica says of itself before there is a cluster.

    Attributes:
      identity: its identity.
      cluster: its cluster's id; empty without a state.
      addresses: the control addresses of its settings.
      voters: the voters that it knows, by identity.
    """

    identity: str
    cluster: str
    addresses: list[str]
    voters: dict[str, str]


class Bootstrap:
    """The part of a replica that finds or founds its cluster.

    Args:
      core: the replica's shared state.
      addresses: the control addresses of the settings.
      may_create_cluster: whether an empty disk may be part of a new cluster; if not, it
        has lost what was on it and only joins.
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
        """Answer another replica that looks for its cluster."""
        return to_message(self._hello())

    def _hello(self) -> Hello:
        core = self._core
        voters = dict(core.voter_set.voters)
        return Hello(core.identity, core.cluster, list(self._addresses), voters)

    async def run(self) -> None:
        """Work until this replica has a state."""
        core = self._core
        while not core.cluster:
            hellos = await self._ask_all()
            existing = [hello for hello in hellos.values() if hello.cluster]
            if existing:
                await self._adopt_or_join(existing)
                await core.timer.sleep(JOIN_RETRY_S)
            elif self._is_ready_to_found(hellos):
                await self._found(hellos)
            if not core.cluster:
                await core.timer.sleep(RETRY_S)

    def _is_ready_to_found(self, hellos: dict[str, Hello]) -> bool:
        complete = len(hellos) == len(self._addresses)
        return self._may_create_cluster and self._is_listed and complete

    async def _ask_all(self) -> dict[str, Hello]:
        core = self._core

        async def ask(address: str) -> tuple[str, Hello] | None:
            if address == core.transport.address:
                return address, self._hello()
            try:
                message = await core.transport.call(
                    address, HELLO_PATH, {}, CALL_TIMEOUT_S
                )
                return address, from_message(Hello, message)
            except errors.PeerUnreachableError:
                return None

        answers = await asyncio.gather(*(ask(a) for a in self._addresses))
        return dict(answer for answer in answers if answer is not None)

    async def _found(self, hellos: dict[str, Hello]) -> None:
        """Write the first voters; every replica of the list writes the same."""
        lists = {tuple(hello.addresses) for hello in hellos.values()}
        if lists != {self._addresses}:
            events.emit(BOOTSTRAP_CONFLICT, lists=sorted(map(list, lists)))
            return
        await self._write({h.identity: a for a, h in hellos.items()})

    async def _write(self, voters: dict[str, str]) -> None:
        core = self._core
        voter_set = VoterSet(voters)
        cluster = voter_set.cluster_id()
        snapshot = Snapshot(FIRST_INDEX, FIRST_TERM, 0.0, cluster, voter_set)
        await core.storage.save_snapshot(snapshot.to_text(), snapshot.header())
        await core.log.reset(FIRST_INDEX, FIRST_TERM)
        core.install_snapshot(snapshot)
        events.emit(BOOTSTRAPPED, cluster=cluster, voters=voters)

    async def _adopt_or_join(self, existing: list[Hello]) -> None:
        core = self._core
        clusters = {hello.cluster for hello in existing}
        if len(clusters) > 1:
            events.emit(BOOTSTRAP_CONFLICT, clusters=sorted(clusters))
            return
        founded = [h.voters for h in existing if core.identity in h.voters]
        if founded and VoterSet(founded[0]).cluster_id() in clusters:
            await self._write(founded[0])
            return
        await self._join()

    async def rejoin(self) -> None:
        """Ask to be a learner whenever no leader calls this replica.

        A voter that was replaced while it was away is told by nobody; for a
        voter that is still one, the question changes nothing.
        """
        core = self._core
        while True:
            await core.timer.sleep(REJOIN_S)
            silent_s = core.timer.now_s() - core.leader_contact_s
            if core.cluster and core.leadership is None and silent_s > REJOIN_S:
                await self._join()

    async def _join(self) -> None:
        """Ask until the leader takes this replica as a learner.

        The leader need not be one of the addresses; a replica that does not
        lead names it.
        """
        core = self._core
        message = {"identity": core.identity, "address": core.transport.address}
        addresses = [a for a in self._addresses if a != core.transport.address]
        asked: set[str] = set()
        while addresses:
            address = addresses.pop(0)
            asked.add(address)
            try:
                answer = await core.transport.call(
                    address, JOIN_PATH, message, CALL_TIMEOUT_S
                )
            except errors.PeerUnreachableError:
                continue
            if answer.get("joined"):
                events.emit(LEARNER_JOINED, **message)
                return
            leader = answer.get("leader")
            if leader and leader not in asked:
                addresses.insert(0, leader)
