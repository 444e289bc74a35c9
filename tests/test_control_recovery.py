"""Tests of catch-up, snapshots, crashes, full disks and leadership transfer."""

import asyncio

import attrs

from endivesill import errors
from endivesill.control import EntryKind
from endivesill.control.entries import Proposal
from endivesill.control.snapshots import Snapshot
from endivesill.control.voter_set import VoterSet
from tests.control_cluster import SETTINGS, ClusterTestCase
from tests.http1_fakes import settle


class CatchUpTest(ClusterTestCase):
    async def fill(self, cluster, count):
        client = cluster.client()

        async def fill():
            for number in range(count):
                message = {"key": f"k{number % 50}", "value": number}
                await client.propose("test.put", message, 10.0)

        await cluster.run(fill(), 100.0)

    async def test_a_replica_hundreds_of_changes_behind_gets_a_snapshot(self):
        settings = attrs.evolve(
            SETTINGS, snapshot_entries=50, trailing_entries=10, chunk_bytes=200
        )
        cluster = await self.start(settings=settings)
        lost = cluster.followers()[0]
        await cluster.crash(lost)
        await self.fill(cluster, 400)
        replica = await cluster.boot(lost)
        applied = []
        replica.subscribe_applied(applied.append)
        await cluster.timer.advance(5.0)
        self.assert_equal_states(cluster)
        self.assertIs(EntryKind.SNAPSHOT, applied[0].kind)
        self.assertLess(len(applied), 100)
        await cluster.restart(lost)
        await cluster.timer.advance(5.0)
        self.assert_equal_states(cluster)

    async def test_a_restart_recovers_a_thousand_changes(self):
        settings = attrs.evolve(
            SETTINGS, snapshot_entries=300, trailing_entries=50, segment_bytes=8_192
        )
        cluster = await self.start(settings=settings)
        await self.fill(cluster, 1_000)
        state = (await cluster.leader()).state.sections
        for address in cluster.addresses:
            await cluster.crash(address)
        for address in cluster.addresses:
            await cluster.boot(address)
        await cluster.leader()
        await cluster.timer.advance(3.0)
        self.assert_equal_states(cluster)
        self.assertEqual(state, (await cluster.leader()).state.sections)
        self.assertEqual(1_000, state["test"]["runs"])

    async def test_a_replica_far_behind_catches_up_in_batches(self):
        cluster = await self.start()
        lost = cluster.followers()[0]
        await cluster.crash(lost)
        await self.fill(cluster, 300)
        await cluster.boot(lost)
        await cluster.timer.advance(2.0)
        self.assert_equal_states(cluster)

    async def test_a_proposal_whose_entry_was_replaced_is_known_not_to_run(
        self,
    ):
        cluster = await self.start()
        old = await cluster.leader()
        address = cluster.address_of(old)
        cluster.network.isolate(address)
        proposal = Proposal("test.put", {"key": "x", "value": 1}, "c", 1)
        task = asyncio.ensure_future(old.core.leadership.propose(proposal, 60.0))
        await cluster.timer.advance(5.0)
        self.assertFalse(task.done())
        cluster.network.heal()
        await cluster.timer.advance(5.0)
        with self.assertRaises(errors.NotLeaderError):
            await task

    async def test_uncommitted_entries_of_an_old_leader_are_replaced(self):
        cluster = await self.start()
        old = await cluster.leader()
        address = cluster.address_of(old)
        cluster.network.isolate(address)
        proposals = [
            old.propose("test.put", {"key": "x", "value": number}, 0.5)
            for number in range(5)
        ]
        tasks = asyncio.gather(*proposals, return_exceptions=True)
        await cluster.timer.advance(0.2)
        self.assertGreater(old.core.log.last_index, old.core.commit_index)
        others = [a for a in cluster.addresses if a != address]
        await cluster.leader(among=others)
        await cluster.timer.advance(5.0)
        cluster.network.heal()
        await cluster.timer.advance(5.0)
        self.assert_equal_states(cluster)
        self.assertNotIn("x", old.state.section("test"))
        for outcome in await tasks:
            self.assertIsInstance(outcome, errors.OutcomeUnknownError)


class SnapshotTest(ClusterTestCase):
    def test_a_snapshot_encoded_in_parts_is_decoded_unchanged(self):
        for size in (0, 1, 256, 257, 1_000):
            section = {f"k{n}": {"value": [n, "\u00e6"]} for n in range(size)}
            sections = {"test": section, "empty": {}, "other": {"a": 1}}
            sessions = {f"c{n}": [1.0, 0, [[1, "{}"]]] for n in range(size)}
            snapshot = Snapshot(
                5, 2, 1.5, "c", VoterSet({"a": "b"}), sections, sessions, {"x": 3}
            )
            self.assertEqual(snapshot, Snapshot.from_text(snapshot.to_text()))

    async def test_commands_are_not_applied_while_a_snapshot_is_encoded(self):
        settings = attrs.evolve(SETTINGS, snapshot_entries=10, trailing_entries=0)
        cluster = await self.start(settings=settings)
        leader = await cluster.leader()
        client = cluster.client()
        for number in range(5):
            await cluster.put(client, f"k{number}", number)
        core = leader.core
        core.pause_applying()
        put = client.propose("test.put", {"key": "late", "value": 1}, 5.0)
        task = asyncio.ensure_future(put)
        await cluster.timer.advance(0.1)
        self.assertGreater(core.commit_index, core.machine.applied_index)
        self.assertNotIn("late", leader.state.section("test"))
        core.resume_applying()
        await cluster.run(task)
        for number in range(20):
            await cluster.put(client, f"k{number}", number)
        address = cluster.address_of(leader)
        await cluster.restart(address)
        await cluster.timer.advance(5.0)
        self.assert_equal_states(cluster)
        self.assertGreater(
            cluster.replicas[address].core.storage.snapshot_header.index, 10
        )


class CrashTest(ClusterTestCase):
    async def test_no_commit_is_lost_when_the_leader_stops_at_any_write(self):
        for boundary in range(1, 13):
            for seed in (None, boundary):
                with self.subTest(boundary=boundary, seed=seed):
                    await self.check_stop(boundary, seed)

    async def check_stop(self, boundary, seed):
        settings = attrs.evolve(SETTINGS, snapshot_entries=3, trailing_entries=1)
        cluster = await self.start(settings=settings)
        client = cluster.client()
        leader = await cluster.leader()
        address = cluster.address_of(leader)
        disk = cluster.disks[address]
        disk.stop_at_boundary = disk.boundaries + boundary
        for number in range(4):
            await cluster.put(client, f"k{number}", number)
        await cluster.crash(address, seed)
        await cluster.boot(address)
        await cluster.put(client, "k4", 4)
        await cluster.timer.advance(5.0)
        self.assert_equal_states(cluster)
        section = cluster.replicas[address].state.section("test")
        self.assertEqual(5, section["runs"])

    async def test_all_replicas_can_lose_power_at_once(self):
        cluster = await self.start()
        client = cluster.client()
        for round_number in range(5):
            await cluster.put(client, "a", round_number)
            for address in cluster.addresses:
                await cluster.crash(address, round_number)
            for address in cluster.addresses:
                await cluster.boot(address)
            self.assertEqual(round_number, await cluster.get(client, "a"))

    async def test_a_leader_with_a_full_disk_gives_up_leadership(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 1)
        leader = await cluster.leader()
        address = cluster.address_of(leader)
        cluster.disks[address].full = True
        await cluster.put(client, "a", 2)
        await cluster.timer.advance(3.0)
        self.assertFalse(leader.is_leader)
        await cluster.put(client, "a", 3)
        cluster.disks[address].full = False
        await cluster.put(client, "a", 4)
        await cluster.timer.advance(3.0)
        self.assert_equal_states(cluster)

    async def test_disks_that_are_full_one_after_another(self):
        """Space is missing at a write or at a sync, never on two disks at once."""
        for attribute in ("full", "full_at_sync"):
            cluster = await self.start()
            client = cluster.client()
            await cluster.put(client, "a", 0)
            for number, disk in enumerate(cluster.disks.values(), 1):
                setattr(disk, attribute, True)
                await cluster.put(client, "a", number)
                await cluster.timer.advance(3.0)
                setattr(disk, attribute, False)
                await cluster.timer.advance(3.0)
            await cluster.put(client, "last", attribute)
            await cluster.timer.advance(3.0)
            self.assert_equal_states(cluster)

    async def test_a_leader_with_an_unreadable_snapshot_gives_up_leadership(self):
        settings = attrs.evolve(SETTINGS, snapshot_entries=10, trailing_entries=0)
        cluster = await self.start(settings=settings)
        client = cluster.client()
        leader = await cluster.leader()
        lost = cluster.followers()[0]
        await cluster.crash(lost)
        for number in range(40):
            await cluster.put(client, f"k{number}", number)
        await cluster.timer.advance(1.0)
        cluster.disks[cluster.address_of(leader)].corrupt("snapshot", 30)
        await cluster.boot(lost)
        await cluster.timer.advance(20.0)
        self.assertFalse(leader.is_leader)
        await cluster.put(client, "last", 1)
        await cluster.timer.advance(2.0)
        self.assert_equal_states(cluster)

    async def test_proposals_fail_while_all_disks_are_full(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 1)
        for disk in cluster.disks.values():
            disk.full = True
        with self.assertRaises((errors.OutcomeUnknownError, errors.UnavailableError)):
            await cluster.put(client, "a", 2, timeout_s=5.0)
        await cluster.timer.advance(10.0)
        for disk in cluster.disks.values():
            disk.full = False
        await cluster.timer.advance(5.0)
        await cluster.put(client, "a", 3)
        self.assertEqual(3, await cluster.get(client, "a"))
        await cluster.timer.advance(5.0)
        self.assert_equal_states(cluster)


class TransferTest(ClusterTestCase):
    async def test_a_leadership_transfer_takes_effect_at_once(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 1)
        leader = await cluster.leader()
        started_s = cluster.timer.now_s()
        await cluster.run(leader.transfer_leadership())
        await cluster.put(client, "a", 2)
        self.assertLess(cluster.timer.now_s() - started_s, 0.5)
        self.assertFalse(leader.is_leader)

    async def test_a_leader_accepts_changes_after_a_cancelled_transfer(self):
        cluster = await self.start()
        leader = await cluster.leader()
        for address in cluster.addresses:
            if address != cluster.address_of(leader):
                cluster.network.cut(cluster.address_of(leader), address)
        transfer = asyncio.ensure_future(leader.transfer_leadership())
        await settle()
        self.assertTrue(leader.core.leadership.transferring)
        transfer.cancel()
        await asyncio.gather(transfer, return_exceptions=True)
        self.assertFalse(leader.core.leadership.transferring)

    async def test_a_leader_holds_no_lease_after_starting_a_transfer(self):
        cluster = await self.start()
        leader = await cluster.leader()
        leadership = leader.core.leadership
        transferee = cluster.replicas[cluster.followers()[0]]
        original = cluster.network.find(cluster.address_of(transferee)).handlers
        original.pop("/control/lead")
        moved = await cluster.run(leader.transfer_leadership(transferee.identity))
        self.assertFalse(moved)
        self.assertFalse(leadership.holds_lease())
        await cluster.put(cluster.client(), "a", 1)
        self.assertEqual(1, await cluster.get(cluster.client(), "a"))
