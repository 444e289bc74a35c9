"""Tests of voters that are made and replaced without an operator."""

import itertools

import attrs

from endivesill import errors
from endivesill.control import ControlReplica, ControlSettings, MemoryDisk
from tests.control_cluster import SETTINGS, Cluster, ClusterTestCase

WANTED_VOTERS = 5
# The platform counts a new or returned machine as lost for this long.
CATCH_UP_S = 4.0


class RepairedCluster(Cluster):
    """Five control VMs that were told three seeds."""

    def __init__(self, settings: ControlSettings = SETTINGS) -> None:
        super().__init__(5, settings)
        self.seeds = self.addresses[:3]
        self.first_start = True
        self._numbers = itertools.count(1)

    def new_replica(self, address: str, disk: MemoryDisk) -> ControlReplica:
        return ControlReplica(
            self.timer,
            self.network.transport(address),
            disk,
            self.seeds,
            self.settings,
            next(self._numbers),
            may_create_cluster=self.first_start,
            desired_voters=WANTED_VOTERS,
        )

    async def grow(self) -> None:
        await self.start()
        self.first_start = False
        await self.wait_for_voters(self.addresses)

    async def wait_for_voters(self, addresses, timeout_s: float = 20.0) -> None:
        """Advance until exactly these vote and are caught up."""
        wanted = sorted(addresses)
        for _ in range(int(timeout_s / 0.1)):
            leader = await self.leader()
            status = leader._voter_manager.status()
            voters = sorted(r.address for r in status.replicas if r.voter)
            if voters == wanted and all(r.ready for r in status.replicas if r.voter):
                return
            await self.timer.advance(0.1)
        raise AssertionError(f"voters are {voters}")

    def address_that_leads(self) -> str:
        return next(a for a, r in self.replicas.items() if r.is_leader)


class GrowthTest(ClusterTestCase):
    async def cluster(self, settings: ControlSettings = SETTINGS) -> RepairedCluster:
        cluster = RepairedCluster(settings)
        self.addAsyncCleanup(cluster.close)
        await cluster.grow()
        return cluster

    async def test_three_seeds_become_five_voters_by_themselves(self):
        cluster = await self.cluster()
        identities = {r.core.cluster for r in cluster.replicas.values()}
        self.assertEqual(1, len(identities))

    async def test_nothing_is_accepted_by_fewer_voters_than_are_wanted(self):
        settings = attrs.evolve(SETTINGS, minimum_voters=4)
        cluster = RepairedCluster(settings)
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


class FrozenLeaderTest(ClusterTestCase):
    async def test_each_replica_goes_to_the_new_leader_at_its_first_call(self):
        """Seen in a score: each wasted its first call on the leader it had used."""
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

    async def test_a_call_to_a_leader_that_falls_silent_leaves_time_for_another(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 1)
        cluster.network.isolate(cluster.address_of(await cluster.leader()))
        await cluster.timer.advance(10.0)
        await cluster.put(client, "b", 2, timeout_s=0.85)


class LostVoterTest(ClusterTestCase):
    async def cluster(self) -> RepairedCluster:
        cluster = RepairedCluster()
        self.addAsyncCleanup(cluster.close)
        await cluster.grow()
        await cluster.put(cluster.client(), "a", 1)
        return cluster

    async def lead_with(self, cluster: RepairedCluster, address: str) -> None:
        """Make the replica at an address lead."""
        identity = cluster.replicas[address].identity
        leader = await cluster.leader()
        if leader.identity != identity:
            await cluster.run(leader.transfer_leadership(identity))
        await cluster.leader(among=[address])

    async def test_a_lost_disk_votes_again_within_the_catch_up_time(self):
        """Seen in a hunt: no seed led, and the empty replica asked only seeds."""
        cluster = await self.cluster()
        await self.lead_with(cluster, cluster.addresses[4])
        lost = cluster.seeds[0]
        await cluster.crash(lost)
        await cluster.boot(lost, MemoryDisk())
        await cluster.timer.advance(CATCH_UP_S)
        await cluster.wait_for_voters(cluster.addresses, timeout_s=0.1)

    async def test_a_new_learner_is_not_taken_for_a_silent_one(self):
        """Seen in a score: it was dropped at once by a leader of long standing."""
        cluster = await self.cluster()
        await cluster.timer.advance(30.0)
        # The first answer comes after the leader has looked for what to repair.
        cluster.network.delay_s = 0.15
        lost = cluster.followers()[0]
        await cluster.crash(lost)
        await cluster.timer.advance(1.0)
        await cluster.boot(lost, MemoryDisk())
        await cluster.timer.advance(CATCH_UP_S)
        await cluster.wait_for_voters(cluster.addresses, timeout_s=0.1)

    async def test_a_late_voter_leads_on_while_it_applies_the_log_again(self):
        """Seen in a score: it took an old set of voters for its own removal."""
        cluster = await self.cluster()
        for address in cluster.addresses:
            await cluster.crash(address)
        late = cluster.addresses[3:]
        for address in late:
            await cluster.boot(address)
        # The third one comes while these stand for election already.
        await cluster.timer.advance(3.0)
        await cluster.boot(cluster.seeds[0])
        leader = await cluster.leader(among=late)
        term = leader.core.term
        await cluster.timer.advance(5.0)
        self.assertTrue(leader.is_leader)
        self.assertEqual(term, leader.core.term)

    async def test_two_lost_disks_after_a_repair_leave_what_was_committed(self):
        cluster = await self.cluster()
        await self.lead_with(cluster, cluster.addresses[4])
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

    async def test_a_vm_at_another_address_takes_the_place_of_a_lost_one(self):
        cluster = await self.cluster()
        await self.lead_with(cluster, cluster.addresses[4])
        await cluster.crash(cluster.seeds[1])
        new = "10.0.0.9:7000"
        await cluster.boot(new, MemoryDisk())
        kept = [a for a in cluster.addresses if a != cluster.seeds[1]]
        await cluster.wait_for_voters([*kept, new])

    async def test_a_replaced_vm_that_returns_with_its_disk_learns_again(self):
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
