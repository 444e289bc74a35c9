"""Tests of the fleet synchronisation between entries and the leader."""

from endivesill import events
from endivesill.fleet.load import EngineLoad
from endivesill.fleet.shares import LEASE_DURATION_S
from endivesill.fleet.state import (
    REPLACE,
    SET_EVACUATION,
    document_digest,
)
from endivesill.fleet.sync_client import SYNC_PATH
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


class SeedsTest(SyncTestCase):
    async def test_an_entry_without_seeds_waits_for_them(self):
        """Guards against an entry whose synchronisation ends with an error."""
        cluster = await self.cluster(entries=0)
        seeds = cluster.addresses[:1]
        cluster.addresses, addresses = [], cluster.addresses
        failed = []
        self.addCleanup(
            events.listen(
                lambda kind, fields: (
                    failed.append(fields) if kind is events.TASK_FAILED else None
                )
            )
        )
        entry = cluster.add_entry()
        cluster.addresses = addresses
        await cluster.timer.advance(3.0)
        self.assertEqual([], failed)
        entry.sync_client.use_seeds(tuple(seeds))
        await cluster.timer.advance(1.0)
        self.assertEqual(["e1@1"], list(entry.view.engines))


class DepartureTest(SyncTestCase):
    async def announce(self, cluster, entry):
        entry.departures = ["e1@1"]
        await cluster.run(entry.sync_client.report_engines())
        await cluster.timer.advance(0.05)

    async def test_a_departure_that_one_entry_saw_reaches_the_others_at_once(self):
        cluster = await self.cluster(entries=3)
        await self.announce(cluster, cluster.entries[0])
        for entry in cluster.entries:
            self.assertTrue(entry.view.engines["e1@1"].is_draining)

    async def test_a_departure_holds_while_the_list_says_ready(self):
        cluster = await self.cluster(entries=2)
        await self.announce(cluster, cluster.entries[0])
        cluster.list.engines = [engine("e1"), engine("e2")]
        await cluster.timer.advance(3.0)
        engines = cluster.entries[1].view.engines
        self.assertTrue(engines["e1@1"].is_draining)
        self.assertFalse(engines["e2@1"].is_draining)

    async def test_a_new_leader_learns_of_departures_from_the_entries(self):
        cluster = await self.cluster(entries=2)
        await self.announce(cluster, cluster.entries[0])
        await cluster.crash(cluster.address_of(await cluster.leader()))
        await cluster.leader()
        await cluster.timer.advance(APPLY_BOUND_S)
        self.assertTrue(cluster.entries[1].view.engines["e1@1"].is_draining)


class OutcomeTest(SyncTestCase):
    async def test_an_ejection_by_the_leader_reaches_all_entries_at_once(self):
        cluster = await self.cluster(entries=3)
        service = cluster.sync_services[cluster.address_of(await cluster.leader())]
        reported = []

        def eject(rows):
            reported.append(rows)
            service.publish_ejection("e1@1", 2.0)

        service.on_outcomes(eject)
        entry = cluster.entries[0]
        entry.sync_client.outcomes.note_broken("e1@1")
        await cluster.run(entry.sync_client.report_engines())
        await cluster.timer.advance(0.05)
        self.assertEqual([{"e1@1": [0, 0, 1]}], reported)
        for entry in cluster.entries:
            self.assertAlmostEqual(2.0, entry.view.ejections["e1@1"], delta=0.1)

    async def test_outcomes_that_did_not_arrive_are_reported_again(self):
        cluster = await self.cluster()
        leader = cluster.address_of(await cluster.leader())
        entry = cluster.entries[0]
        entry.sync_client.outcomes.note_failed("e1@1")
        cluster.network.cut(entry.address, leader)
        await cluster.timer.advance(1.0)
        reported = []
        cluster.sync_services[leader].on_outcomes(reported.append)
        cluster.network.heal()
        await cluster.timer.advance(2.0)
        self.assertEqual([{"e1@1": [0, 1, 0]}], reported)


class FleetSizeTest(SyncTestCase):
    """Hundreds of entries at one leader."""

    async def test_polls_and_bytes_of_entries_at_rest_are_bounded(self):
        cluster = await self.cluster(entries=200)
        await cluster.timer.advance(4.0)
        messages, size_bytes = cluster.network.messages, cluster.network.bytes
        await cluster.timer.advance(5.0)
        exchanges_per_s = (cluster.network.messages - messages) / 2 / 5.0
        self.assertLess(exchanges_per_s, 300)
        self.assertLess((cluster.network.bytes - size_bytes) / 5.0, 100_000)

    async def test_a_change_reaches_all_entries_at_once(self):
        cluster = await self.cluster(entries=200)
        await cluster.timer.advance(4.0)
        await self.replace(cluster, 7)
        cluster.list.engines = [engine("e1"), engine("e2")]
        await cluster.timer.advance(0.5)
        self.assertEqual({7}, {entry.view.version for entry in cluster.entries})
        self.assertEqual({2}, {len(entry.view.engines) for entry in cluster.entries})

    async def test_entries_of_an_earlier_version_get_the_load_of_the_others(self):
        cluster = await self.cluster(entries=2)
        cluster.entries[0].loads = {"e1@1": EngineLoad(2, 100, 50)}
        await cluster.timer.advance(1.0)
        leader = cluster.address_of(await cluster.leader())
        message = cluster.entries[1].sync_client._sync_request()
        for name in ("loads_stamp", "controls", "wait_s", "departures"):
            del message[name]
        transport = cluster.network.transport("old")
        reply = await cluster.run(transport.call(leader, SYNC_PATH, message, 1.0))
        self.assertEqual({"e1@1": [2, 100, 50]}, reply["loads"])
        self.assertIn("controls", reply)


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
