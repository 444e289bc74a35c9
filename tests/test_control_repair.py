"""Tests of the automatic repair of the voter set."""

import itertools

import attrs

from endivesill import errors
from endivesill.control import ControlReplica, ControlSettings, MemoryDisk
from tests.control_cluster import SETTINGS, Cluster, ClusterTestCase

DESIRED_VOTERS = 5
# The platform treats a new or returned machine as lost for this time.
CATCH_UP_S = 4.0


class SelfRepairingCluster(Cluster):
    """Five control VMs that are configured with three of them as seeds."""

    def __init__(self, settings: ControlSettings = SETTINGS) -> None:
        super().__init__(5, settings)
        self.seeds = self.addresses[:3]
        self.is_first_start = True
        self._numbers = itertools.count(1)

    def new_replica(self, address: str, disk: MemoryDisk) -> ControlReplica:
        return ControlReplica(
            self.timer,
            self.network.transport(address),
            disk,
            self.seeds,
            self.settings,
            next(self._numbers),
            may_create_cluster=self.is_first_start,
            desired_voters=DESIRED_VOTERS,
        )

    async def grow(self) -> None:
        await self.start()
        self.is_first_start = False
        await self.wait_for_voters(self.addresses)

    async def wait_for_voters(self, addresses, timeout_s: float = 20.0) -> None:
        """Advance until exactly these replicas are voters and caught up."""
        expected = sorted(addresses)
        for _ in range(int(timeout_s / 0.1)):
            leader = await self.leader()
            status = leader._voter_manager.status()
            voters = sorted(r.address for r in status.replicas if r.voter)
            if voters == expected and all(r.ready for r in status.replicas if r.voter):
                return
            await self.timer.advance(0.1)
        raise AssertionError(f"voters are {voters}")

    def leader_address(self) -> str:
        return next(a for a, r in self.replicas.items() if r.is_leader)


class GrowthTest(ClusterTestCase):
    async def cluster(
        self, settings: ControlSettings = SETTINGS
    ) -> SelfRepairingCluster:
        cluster = SelfRepairingCluster(settings)
        self.addAsyncCleanup(cluster.close)
        await cluster.grow()
        return cluster

    async def test_three_seeds_grow_to_five_voters_automatically(self):
        cluster = await self.cluster()
        identities = {r.core.cluster for r in cluster.replicas.values()}
        self.assertEqual(1, len(identities))

    async def test_proposals_are_refused_below_the_minimum_number_of_voters(self):
        settings = attrs.evolve(SETTINGS, minimum_voters=4)
        cluster = SelfRepairingCluster(settings)
        self.addAsyncCleanup(cluster.close)
        for address in cluster.seeds:
            await cluster.boot(address, MemoryDisk())
        await cluster.leader()
        with self.assertRaises(errors.UnavailableError):
            await cluster.put(cluster.client(), "a", 1, timeout_s=3.0)
        for address in cluster.addresses[3:]:
            await cluster.boot(address, MemoryDisk())
        await cluster.wait_for_voters(cluster.addresses)
        await cluster.put(cluster.client(), "a", 1)


class UnresponsiveLeaderTest(ClusterTestCase):
    async def test_the_first_call_of_each_replica_goes_to_the_new_leader(self):
        """Guards against a first call to the previous leader, which times out.

        It came from a client that ignored the newer leader known to its replica.
        """
        cluster = await self.start()
        old = cluster.address_of(await cluster.leader())
        for replica in cluster.replicas.values():
            message = {"key": "a", "value": 1}
            await cluster.run(replica.propose("test.put", message, 0.85))
        cluster.network.isolate(old)
        others = [a for a in cluster.addresses if a != old]
        await cluster.leader(among=others)
        await cluster.timer.advance(1.0)
        for address in others:
            message = {"key": address, "value": 2}
            replica = cluster.replicas[address]
            await cluster.run(replica.propose("test.put", message, 0.85))

    async def test_a_call_to_an_unresponsive_leader_leaves_time_for_its_successor(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 1)
        cluster.network.isolate(cluster.address_of(await cluster.leader()))
        await cluster.timer.advance(10.0)
        await cluster.put(client, "b", 2, timeout_s=0.85)


class LostVoterTest(ClusterTestCase):
    async def cluster(self) -> SelfRepairingCluster:
        cluster = SelfRepairingCluster()
        self.addAsyncCleanup(cluster.close)
        await cluster.grow()
        await cluster.put(cluster.client(), "a", 1)
        return cluster

    async def make_leader(self, cluster: SelfRepairingCluster, address: str) -> None:
        """Transfer leadership to the replica at an address."""
        identity = cluster.replicas[address].identity
        leader = await cluster.leader()
        if leader.identity != identity:
            await cluster.run(leader.transfer_leadership(identity))
        await cluster.leader(among=[address])

    async def test_a_replica_with_a_lost_disk_votes_again_within_the_catch_up_time(
        self,
    ):
        """Guards against a replica that cannot rejoin because no seed leads.

        The empty replica asked only the seeds for admission.
        """
        cluster = await self.cluster()
        await self.make_leader(cluster, cluster.addresses[4])
        lost = cluster.seeds[0]
        await cluster.crash(lost)
        await cluster.boot(lost, MemoryDisk())
        await cluster.timer.advance(CATCH_UP_S)
        await cluster.wait_for_voters(cluster.addresses, timeout_s=0.1)

    async def test_a_learner_is_not_removed_before_its_first_response(self):
        """Guards against the removal of a learner before its first response.

        A leader that had led for a long time took the learner as silent since then.
        """
        cluster = await self.cluster()
        await cluster.timer.advance(30.0)
        # Delays the first response beyond the leader's next repair check.
        cluster.network.delay_s = 0.15
        lost = cluster.followers()[0]
        await cluster.crash(lost)
        await cluster.timer.advance(1.0)
        await cluster.boot(lost, MemoryDisk())
        await cluster.timer.advance(CATCH_UP_S)
        await cluster.wait_for_voters(cluster.addresses, timeout_s=0.1)

    async def test_a_leader_keeps_leading_while_it_replays_old_voter_sets(self):
        """Guards against a leader that steps down while it replays its log.

        An old voter set without the leader was taken for its removal.
        """
        cluster = await self.cluster()
        for address in cluster.addresses:
            await cluster.crash(address)
        late = cluster.addresses[3:]
        for address in late:
            await cluster.boot(address)
        # The third voter starts while these two campaign without a quorum.
        await cluster.timer.advance(3.0)
        await cluster.boot(cluster.seeds[0])
        leader = await cluster.leader(among=late)
        term = leader.core.term
        await cluster.timer.advance(5.0)
        self.assertTrue(leader.is_leader)
        self.assertEqual(term, leader.core.term)

    async def test_committed_state_survives_two_lost_disks_after_a_repair(self):
        cluster = await self.cluster()
        await self.make_leader(cluster, cluster.addresses[4])
        first = cluster.seeds[0]
        await cluster.crash(first)
        await cluster.boot(first, MemoryDisk())
        await cluster.timer.advance(CATCH_UP_S)
        await cluster.put(cluster.client(), "b", 2)
        for address in (cluster.addresses[4], cluster.seeds[2]):
            await cluster.crash(address)
            await cluster.boot(address, MemoryDisk())
        await cluster.wait_for_voters(cluster.addresses)
        self.assertEqual(2, await cluster.get(cluster.client(), "b"))

    async def test_a_vm_at_another_address_replaces_a_lost_one(self):
        cluster = await self.cluster()
        await self.make_leader(cluster, cluster.addresses[4])
        await cluster.crash(cluster.seeds[1])
        new = "10.0.0.9:7000"
        await cluster.boot(new, MemoryDisk())
        kept = [a for a in cluster.addresses if a != cluster.seeds[1]]
        await cluster.wait_for_voters([*kept, new])

    async def test_a_replaced_vm_that_returns_with_its_disk_rejoins_as_a_learner(self):
        cluster = await self.cluster()
        old = cluster.seeds[1]
        cluster.network.isolate(old)
        new = "10.0.0.9:7000"
        await cluster.boot(new, MemoryDisk())
        kept = [a for a in cluster.addresses if a != old]
        await cluster.wait_for_voters([*kept, new])
        cluster.network.heal()
        await cluster.put(cluster.client(), "c", 3)
        await cluster.timer.advance(10.0)
        section = cluster.replicas[old].state.section("test")
        self.assertEqual(3, section.get("c"))
