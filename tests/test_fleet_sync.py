"""Tests of the fleet synchronisation between entries and the leader."""

from endivesill.fleet.load import EngineLoad
from endivesill.fleet.shares import LEASE_DURATION_S
from endivesill.fleet.state import (
    REPLACE,
    SET_EVACUATION,
    document_digest,
)
from tests.control_cluster import ClusterTestCase
from tests.fleet_cluster import FleetCluster
from tests.forwarding_fakes import engine

# Longest time that the platform allows until a change is in force.
APPLY_BOUND_S = 2.0


class SyncTestCase(ClusterTestCase):
    async def cluster(self, entries=1):
        cluster = FleetCluster()
        self.addAsyncCleanup(cluster.close)
        cluster.list.engines = [engine("e1")]
        await cluster.start()
        for _ in range(entries):
            cluster.add_entry()
        await cluster.timer.advance(3.0)
        return cluster

    async def replace(self, cluster, version, **content):
        document = {"version": version, **content}
        message = {
            "version": version,
            "digest": document_digest(document),
            "document": document,
        }
        return await cluster.run(cluster.client().propose(REPLACE, message, 10.0))


class UpdatesTest(SyncTestCase):
    async def test_a_new_configuration_reaches_the_entries_in_time(self):
        cluster = await self.cluster()
        entry = cluster.entries[0]
        self.assertEqual(["e1@1"], list(entry.view.engines))
        await self.replace(cluster, 7, a=1)
        await cluster.timer.advance(0.1)
        self.assertEqual(7, entry.view.version)
        self.assertEqual({"version": 7, "a": 1}, entry.view.document)
        self.assertIn("state", set().union(*entry.updates))

    async def test_an_older_version_is_not_applied(self):
        cluster = await self.cluster()
        entry = cluster.entries[0]
        await self.replace(cluster, 9)
        await cluster.timer.advance(0.5)
        entry.view.version = 12
        await cluster.timer.advance(2.0)
        self.assertEqual(12, entry.view.version)

    async def test_evacuations_reach_the_entries(self):
        cluster = await self.cluster()
        message = {"data_centre": "b", "evacuated": True}
        await cluster.run(cluster.client().propose(SET_EVACUATION, message, 10.0))
        await cluster.timer.advance(0.1)
        self.assertEqual(frozenset({"b"}), cluster.entries[0].view.evacuated)

    async def test_only_the_leader_reads_the_platforms_list(self):
        cluster = await self.cluster()
        before = cluster.list.reads
        await cluster.timer.advance(5.0)
        self.assertLessEqual(cluster.list.reads - before, 5.0 / 0.25 + 1)

    async def test_entries_receive_the_load_of_other_entries(self):
        cluster = await self.cluster(entries=2)
        one, two = cluster.entries
        one.loads = {"e1@1": EngineLoad(2, 100, 50)}
        await cluster.timer.advance(1.0)
        self.assertEqual(EngineLoad(2, 100, 50), two.view.remote_loads["e1@1"])
        self.assertNotIn("e1@1", one.view.remote_loads)


class LeaderLossTest(SyncTestCase):
    async def test_entries_follow_a_new_leader_in_time(self):
        cluster = await self.cluster(entries=3)
        leader = cluster.address_of(await cluster.leader())
        await cluster.crash(leader)
        await cluster.leader()
        await self.replace(cluster, 7)
        await cluster.timer.advance(APPLY_BOUND_S)
        self.assertEqual([7, 7, 7], [e.view.version for e in cluster.entries])

    async def test_a_partitioned_leader_does_not_serve_stale_state(self):
        cluster = await self.cluster()
        entry = cluster.entries[0]
        await self.replace(cluster, 7)
        await cluster.timer.advance(0.5)
        old = cluster.address_of(await cluster.leader())
        for address in cluster.addresses:
            if address != old:
                cluster.network.cut(old, address)
        await cluster.timer.advance(5.0)
        await cluster.leader(among=[a for a in cluster.addresses if a != old])
        await self.replace(cluster, 8)
        await cluster.timer.advance(APPLY_BOUND_S)
        self.assertEqual(8, entry.view.version)

    async def test_the_last_state_is_kept_without_a_leader(self):
        cluster = await self.cluster()
        entry = cluster.entries[0]
        await self.replace(cluster, 7)
        await cluster.timer.advance(0.5)
        for address in list(cluster.replicas):
            await cluster.crash(address)
        confirmed_at_s = entry.view.confirmed_at_s
        await cluster.timer.advance(10.0)
        self.assertEqual(7, entry.view.version)
        self.assertEqual(["e1@1"], list(entry.view.engines))
        self.assertEqual(confirmed_at_s, entry.view.confirmed_at_s)
        self.assertEqual(0.0, entry.view.lease.share_at(cluster.timer.now_s()))


class ShareTest(SyncTestCase):
    async def test_shares_sum_to_at_most_one_across_leader_changes(self):
        cluster = await self.cluster(entries=4)
        for round_number in range(3):
            for _ in range(60):
                await cluster.timer.advance(0.2)
                now_s = cluster.timer.now_s()
                total = sum(e.view.lease.share_at(now_s) for e in cluster.entries)
                self.assertLessEqual(total, 1.0 + 1e-9)
            if round_number < 2:
                leader = cluster.address_of(await cluster.leader())
                await cluster.restart(leader)
        self.assertAlmostEqual(1.0, total)

    async def test_an_entry_that_stops_releases_its_share(self):
        cluster = await self.cluster(entries=2)
        await cluster.timer.advance(3 * LEASE_DURATION_S)
        one, two = cluster.entries
        self.assertAlmostEqual(0.5, two.view.lease.share)
        one.task.cancel()
        await cluster.run(one.sync_client.deregister())
        await cluster.timer.advance(0.5)
        self.assertAlmostEqual(1.0, two.view.lease.share)
