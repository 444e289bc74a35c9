"""Tests of the automatic repair of the voter set."""

import asyncio
import itertools

import attrs

from endivesill import errors
from endivesill.control import (
    ControlReplica,
    ControlSettings,
    MemoryDisk,
    RemoteControlClient,
)
from endivesill.control.repair import LEAVE_PATH
from tests.control_cluster import SETTINGS, Cluster, ClusterTestCase

DESIRED_VOTERS = 5
# The platform treats a new or returned machine as lost for this time.
CATCH_UP_S = 4.0
# Time that a process takes at most to leave.
LEAVE_TIMEOUT_S = 2.0


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

    async def replace(self, old: str, new: str) -> None:
        """Start an empty replica and stop another one for good, as planned."""
        voters = (await self.leader()).core.voter_set.voters.values()
        await self.boot(new, MemoryDisk())
        await self.timer.advance(2.0)
        await self.run(self.replicas[old].stop())
        self.network.remove(old)
        del self.replicas[old]
        await self.wait_for_voters([new, *(a for a in voters if a != old)])

    async def leave(self, address: str) -> bool:
        """Stop a replica as its process does on SIGTERM; return whether it has left."""
        replica = self.replicas[address]
        await self.run(replica.transfer_leadership())
        has_left = await self.run(replica.leave(LEAVE_TIMEOUT_S))
        await self.crash(address)
        return has_left

    def voters(self) -> list[str]:
        """Return the addresses of the voters, as the leader has them."""
        core = next(r.core for r in self.replicas.values() if r.is_leader)
        return sorted(core.voter_set.voters.values())

    async def freeze(self, address: str) -> None:
        """Isolate a replica that does not lead until it has lost its seat."""
        if self.leader_address() == address:
            await self.run(self.replicas[address].transfer_leadership())
        self.network.isolate(address)
        await self.timer.advance(5.5)

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


class SearchTest(ClusterTestCase):
    """A replica that is out finds its cluster though the VMs were exchanged.

    Guards against a replica that was dropped while it stood still and never rejoined:
    it asked only the seeds of its start, which had been replaced.
    """

    new_addresses = ("10.0.0.6:7000", "10.0.0.7:7000", "10.0.0.8:7000")

    async def cluster(self) -> SelfRepairingCluster:
        """Return a cluster whose first seeds have all been replaced."""
        cluster = SelfRepairingCluster()
        self.addAsyncCleanup(cluster.close)
        await cluster.grow()
        for old, new in zip(cluster.seeds, self.new_addresses, strict=True):
            await cluster.replace(old, new)
        return cluster

    async def drop(self, cluster: SelfRepairingCluster, address: str) -> None:
        """Drop a replica from the voters while it does not answer."""
        cluster.seeds = tuple(a for a in cluster.replicas if a != address)[:3]
        await cluster.boot("10.0.0.9:7000", MemoryDisk())
        await cluster.timer.advance(1.0)
        await cluster.freeze(address)
        await cluster.leader(among=[a for a in cluster.replicas if a != address])
        self.assertNotIn(address, self.member_addresses(cluster))

    def member_addresses(self, cluster: SelfRepairingCluster) -> list[str]:
        core = next(r.core for r in cluster.replicas.values() if r.is_leader)
        return list(core.voter_set.members.values())

    async def wait_until_member(self, cluster, address: str) -> None:
        await cluster.timer.advance(CATCH_UP_S)
        self.assertIn(address, self.member_addresses(cluster))
        self.assertEqual(
            (await cluster.leader()).core.commit_index,
            cluster.replicas[address].core.commit_index,
        )

    async def test_by_the_members_that_its_log_names(self):
        cluster = await self.cluster()
        dropped = cluster.addresses[3]
        await self.drop(cluster, dropped)
        cluster.network.heal()
        await self.wait_until_member(cluster, dropped)

    async def test_by_the_seeds_of_its_new_settings(self):
        """All members that its log names have been replaced as well."""
        cluster = SelfRepairingCluster()
        self.addAsyncCleanup(cluster.close)
        await cluster.grow()
        dropped = cluster.addresses[3]
        await self.drop(cluster, dropped)
        numbers = itertools.count(11)
        for old in [a for a in cluster.replicas if a != dropped]:
            new = f"10.0.0.{next(numbers)}:7000"
            cluster.seeds = tuple(self.member_addresses(cluster))
            await cluster.replace(old, new)
        cluster.network.heal()
        seeds = tuple(a for a in cluster.replicas if a != dropped)[:3]
        cluster.replicas[dropped].use_seeds(seeds)
        await self.wait_until_member(cluster, dropped)

    async def test_an_empty_replica_by_a_leader_that_writes_to_its_address(self):
        cluster = await self.cluster()
        lost = cluster.addresses[4]
        await cluster.crash(lost)
        # The seeds of its settings are those of the first start.
        await cluster.boot(lost, MemoryDisk())
        await self.wait_until_member(cluster, lost)

    async def test_by_a_replica_that_knows_no_leader_but_other_members(self):
        cluster = await self.cluster()
        dropped = cluster.addresses[3]
        await self.drop(cluster, dropped)
        # One address, of a follower that has not heard from the leader yet.
        replica = cluster.replicas[dropped]
        replica.core._voter_sets[:] = [(0, type(replica.core.voter_set)())]
        leader = cluster.leader_address()
        known = next(a for a in cluster.replicas if a not in (dropped, leader))
        cluster.network.heal()
        cluster.network.cut(leader, known)
        replica.use_seeds((known,))
        await cluster.timer.advance(CATCH_UP_S)
        self.assertIn(dropped, self.member_addresses(cluster))

    async def test_it_stays_out_of_another_cluster(self):
        cluster = await self.cluster()
        leader = await cluster.leader()
        message = {"identity": "x", "address": "10.0.0.20:7000", "cluster": "other"}
        with self.assertRaises(errors.UnsafeChangeError):
            await leader._voter_manager.handle_join(message)


class LeavingTest(ClusterTestCase):
    """VMs are replaced as planned: the new one first, then the old one stops.

    Guards against a majority that counts VMs which are gone for good: a voter that
    stopped kept its seat for 3 s, beside learners that had the whole log.
    """

    new_addresses = ("10.0.0.6:7000", "10.0.0.7:7000", "10.0.0.8:7000")

    async def cluster(self, learners: int) -> SelfRepairingCluster:
        """Return a cluster with learners that have caught up."""
        cluster = SelfRepairingCluster()
        self.addAsyncCleanup(cluster.close)
        await cluster.grow()
        await cluster.put(cluster.client(), "a", 1)
        for address in self.new_addresses[:learners]:
            await cluster.boot(address, MemoryDisk())
            await cluster.timer.advance(2.0)
        return cluster

    async def assert_readable(self, cluster: SelfRepairingCluster) -> None:
        client = RemoteControlClient(
            cluster.timer,
            cluster.network.transport("10.0.1.99:7000"),
            tuple(cluster.replicas),
        )
        self.assertEqual(1, await cluster.get(client, "a"))

    def followers(self, cluster: SelfRepairingCluster) -> list[str]:
        return [a for a in cluster.voters() if a != cluster.leader_address()]

    async def test_two_disks_are_lost_right_after_a_planned_removal(self):
        cluster = await self.cluster(learners=1)
        old, *others = self.followers(cluster)
        self.assertTrue(await cluster.leave(old))
        self.assertIn(self.new_addresses[0], cluster.voters())
        self.assertEqual(DESIRED_VOTERS, len(cluster.voters()))
        for address in others[:2]:
            await cluster.crash(address)
            await cluster.boot(address, MemoryDisk())
        await self.assert_readable(cluster)

    async def test_three_planned_removals_in_series(self):
        cluster = await self.cluster(learners=3)
        for old in self.followers(cluster)[:3]:
            self.assertTrue(await cluster.leave(old))
        for address in self.new_addresses:
            self.assertIn(address, cluster.voters())
        await self.assert_readable(cluster)

    async def test_three_planned_removals_of_the_leader_in_series(self):
        cluster = await self.cluster(learners=3)
        for _ in range(3):
            leader = cluster.address_of(await cluster.leader())
            self.assertTrue(await cluster.leave(leader))
        await cluster.leader()
        self.assertEqual(DESIRED_VOTERS, len(cluster.voters()))
        await self.assert_readable(cluster)

    async def test_three_voters_that_stop_at_the_same_time(self):
        """Guards against one successor for several voters."""
        cluster = await self.cluster(learners=1)
        stopping = self.followers(cluster)[:3]
        has_left = await cluster.run(
            asyncio.gather(
                *(cluster.replicas[a].leave(LEAVE_TIMEOUT_S) for a in stopping)
            )
        )
        self.assertEqual([False, False, True], sorted(has_left))
        self.assertEqual(DESIRED_VOTERS, len(cluster.voters()))

    async def test_a_voter_keeps_its_seat_where_there_is_no_learner(self):
        """All VMs are restarted, one after the other."""
        cluster = await self.cluster(learners=0)
        for address in cluster.addresses:
            self.assertFalse(await cluster.leave(address))
            await cluster.boot(address)
            await cluster.wait_for_voters(cluster.addresses)
        await self.assert_readable(cluster)

    async def test_restarted_voters_return_as_learners_beside_a_new_vm(self):
        cluster = await self.cluster(learners=1)
        for address in cluster.addresses:
            await cluster.leave(address)
            await cluster.boot(address)
            await cluster.timer.advance(CATCH_UP_S)
            self.assertEqual(DESIRED_VOTERS, len(cluster.voters()))
        await self.assert_readable(cluster)

    async def test_a_learner_that_lags_gets_no_seat(self):
        cluster = await self.cluster(learners=1)
        learner = self.new_addresses[0]
        # Answers, but has not got what was committed since.
        cluster.replicas[learner]._core.log.wait_synced = asyncio.Event().wait
        await cluster.put(cluster.client(), "a", 1)
        old = self.followers(cluster)[0]
        self.assertFalse(await cluster.leave(old))
        self.assertNotIn(learner, cluster.voters())

    async def test_a_learner_that_stops_gets_no_seat(self):
        cluster = await self.cluster(learners=1)
        learner = cluster.replicas[self.new_addresses[0]]
        self.assertTrue(await cluster.run(learner.leave(LEAVE_TIMEOUT_S)))
        await cluster.timer.advance(1.5)
        old = self.followers(cluster)[0]
        self.assertFalse(await cluster.leave(old))

    async def test_a_leader_of_an_earlier_version_does_not_know_the_call(self):
        cluster = await self.cluster(learners=1)
        leader = cluster.leader_address()
        del cluster.replicas[leader].core.transport.handlers[LEAVE_PATH]
        self.assertFalse(await cluster.leave(self.followers(cluster)[0]))

    async def test_a_voter_that_is_killed_is_replaced_before_its_successor_counts(
        self,
    ):
        """The successor started 2 s before, as the users' planned work has it."""
        cluster = await self.cluster(learners=1)
        old = self.followers(cluster)[0]
        await cluster.crash(old)
        await cluster.timer.advance(CATCH_UP_S - 2.0)
        self.assertNotIn(old, cluster.voters())
        self.assertIn(self.new_addresses[0], cluster.voters())

    async def test_a_voter_too_many_is_dropped_without_a_learner(self):
        """A leader may end between the two steps of a replacement."""
        cluster = await self.cluster(learners=1)
        leader = await cluster.leader()
        learner = cluster.replicas[self.new_addresses[0]].identity
        await cluster.run(leader._voter_manager.promote(learner))
        self.assertEqual(DESIRED_VOTERS + 1, len(cluster.voters()))
        await cluster.crash(self.followers(cluster)[0])
        await cluster.timer.advance(2.0)
        self.assertEqual(DESIRED_VOTERS, len(cluster.voters()))
