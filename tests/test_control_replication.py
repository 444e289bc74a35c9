"""Tests of elections, commits and reads under faults."""

import asyncio

import attrs

from endivesill import errors
from endivesill.control import ControlReplica, EntryKind
from endivesill.control.core import Role
from tests.control_cluster import SETTINGS, ClusterTestCase

LEASE_S = SETTINGS.election_timeout_s


class ElectionTest(ClusterTestCase):
    async def test_one_leader_is_elected_and_all_replicas_follow_it(self):
        cluster = await self.start()
        await cluster.timer.advance(5.0)
        terms = {replica.core.term for replica in cluster.replicas.values()}
        leaders = [r for r in cluster.replicas.values() if r.is_leader]
        self.assertEqual((1, 1), (len(terms), len(leaders)))
        for replica in cluster.replicas.values():
            self.assertEqual(leaders[0].identity, replica.core.leader)

    async def test_a_single_replica_leads_itself(self):
        cluster = await self.start(1)
        client = cluster.client()
        await cluster.put(client, "a", 1)
        self.assertEqual(1, await cluster.get(client, "a"))

    async def test_another_leader_commits_within_three_seconds_of_a_crash(self):
        for seed in range(1, 11):
            cluster = await self.start(seed=seed)
            client = cluster.client()
            await cluster.put(client, "a", 1)
            await cluster.timer.advance(seed / 10)
            began_s = cluster.timer.now_s()
            leader = await cluster.leader()
            await cluster.crash(cluster.address_of(leader))
            await cluster.put(client, "a", 2)
            self.assertLess(cluster.timer.now_s() - began_s, 3.0)

    async def test_a_returning_replica_does_not_disturb_the_leader(self):
        cluster = await self.start()
        leader = await cluster.leader()
        lost = cluster.followers()[0]
        cluster.network.isolate(lost)
        await cluster.timer.advance(60.0)
        cluster.network.heal()
        await cluster.timer.advance(5.0)
        self.assertTrue(leader.is_leader)
        self.assertEqual(leader.core.term, cluster.replicas[lost].core.term)

    async def test_a_restarted_replica_votes_for_nobody_while_a_lease_may_run(self):
        cluster = await self.start()
        leader = await cluster.leader()
        first, second = cluster.followers()
        cluster.network.isolate(cluster.address_of(leader))
        await cluster.timer.advance(LEASE_S / 4)
        await cluster.restart(first)
        asked = cluster.replicas[second].core
        asked.leader_contact_s = 0.0
        asked.election_reset_s = 0.0
        await cluster.timer.advance(LEASE_S / 2)
        leaders = [r for r in cluster.replicas.values() if r.is_leader]
        self.assertEqual([leader], leaders)

    async def test_a_vote_is_not_given_twice_in_a_term_over_a_restart(self):
        cluster = await self.start()
        voter = cluster.replicas[cluster.followers()[0]]
        address = cluster.address_of(voter)
        core = voter.core
        request = {
            "cluster": core.cluster,
            "to": core.identity,
            "candidate": "x",
            "term": 50,
            "last_index": 1_000,
            "last_term": 50,
            "pre": False,
            "transfer": True,
        }
        handlers = cluster.network.find(address).handlers
        answer = await handlers["/control/vote"](request)
        self.assertEqual({"term": 50, "granted": True}, answer)
        await cluster.restart(address)
        handlers = cluster.network.find(address).handlers
        answer = await handlers["/control/vote"]({**request, "candidate": "y"})
        self.assertFalse(answer["granted"])
        answer = await handlers["/control/vote"](request)
        self.assertTrue(answer["granted"])


class PartitionTest(ClusterTestCase):
    async def test_a_cut_off_leader_steps_down_and_accepts_nothing(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 1)
        old = await cluster.leader()
        address = cluster.address_of(old)
        cluster.network.isolate(address)
        proposal = asyncio.ensure_future(
            old.propose("test.put", {"key": "a", "value": "lost"}, 60.0)
        )
        await cluster.timer.advance(2 * LEASE_S)
        self.assertFalse(old.is_leader)
        with self.assertRaises(errors.UnavailableError):
            await cluster.run(old.query("test.get", {"key": "a"}, 2.0))
        others = [a for a in cluster.addresses if a != address]
        await cluster.leader(among=others)
        await cluster.run(
            cluster.replicas[others[0]].propose(
                "test.put", {"key": "a", "value": 2}, 10.0
            )
        )
        await cluster.timer.advance(30.0)
        cluster.network.heal()
        await cluster.run(proposal)
        await cluster.timer.advance(3.0)
        self.assert_equal_states(cluster)
        self.assertEqual(3, old.state.section("test")["runs"])

    async def test_no_two_replicas_hold_a_lease_at_any_time(self):
        for seed in range(1, 6):
            cluster = await self.start(seed=seed)
            old = await cluster.leader()
            cluster.network.isolate(cluster.address_of(old))
            for _ in range(int(4 * LEASE_S / 0.01)):
                await cluster.timer.advance(0.01)
                leaderships = [r.core.leadership for r in cluster.replicas.values()]
                holders = [x for x in leaderships if x and x.holds_lease()]
                self.assertLessEqual(len(holders), 1)

    async def test_a_leader_that_only_sends_steps_down(self):
        cluster = await self.start()
        old = await cluster.leader()
        address = cluster.address_of(old)
        for other in cluster.followers():
            cluster.network.cut(other, address, both=False)
        await cluster.timer.advance(2 * LEASE_S)
        self.assertFalse(old.is_leader)
        others = [a for a in cluster.addresses if a != address]
        await cluster.leader(among=others)

    async def test_a_leader_that_only_receives_is_replaced(self):
        cluster = await self.start()
        old = await cluster.leader()
        address = cluster.address_of(old)
        for other in cluster.followers():
            cluster.network.cut(address, other, both=False)
        others = [a for a in cluster.addresses if a != address]
        await cluster.leader(among=others)
        await cluster.timer.advance(3 * LEASE_S)
        self.assertFalse(old.is_leader)

    async def test_a_cut_between_two_followers_changes_nothing(self):
        cluster = await self.start()
        leader = await cluster.leader()
        term = leader.core.term
        cluster.network.cut(*cluster.followers())
        await cluster.put(cluster.client(), "a", 1)
        await cluster.timer.advance(30.0)
        self.assertEqual(term, leader.core.term)
        self.assertTrue(leader.is_leader)

    async def test_without_a_quorum_a_proposal_is_refused_or_unknown(self):
        cluster = await self.start()
        leader = await cluster.leader()
        for address in cluster.followers():
            await cluster.crash(address)
        message = {"key": "a", "value": 1}
        with self.assertRaises(errors.OutcomeUnknownError):
            await cluster.run(leader.propose("test.put", message, 5.0))
        self.assertIs(Role.FOLLOWER, leader.core.role)
        transport = cluster.network.transport("10.0.9.9:7000")
        alone = ControlReplica(
            cluster.timer, transport, cluster.disks[address], ("10.0.9.9:7000",)
        )
        await alone.start()
        with self.assertRaises(errors.UnavailableError):
            await cluster.run(alone.propose("test.put", message, 5.0))
        await alone.halt()


class ClockTest(ClusterTestCase):
    async def test_a_leader_that_was_suspended_serves_no_read_from_before(self):
        cluster = await self.start()
        leader = await cluster.leader()
        self.assertTrue(leader.core.leadership.holds_lease())
        cluster.timer.jump(LEASE_S)
        self.assertFalse(leader.core.leadership.holds_lease())

    async def test_the_time_of_entries_ignores_jumps_of_the_wall_clock(self):
        cluster = await self.start()
        client = cluster.client()
        before = await cluster.put(client, "a", 1)
        for jump_s in (86_400.0, -86_400.0 * 365):
            cluster.timer.wall_offset_s += jump_s
            began_s = cluster.timer.now_s()
            after = await cluster.put(client, "a", 2)
            passed_s = after["time_s"] - before["time_s"]
            self.assertGreaterEqual(passed_s, 0.0)
            self.assertLess(passed_s, 1.0 + cluster.timer.now_s() - began_s)
            before = after

    async def test_the_time_of_entries_goes_on_over_leaders(self):
        cluster = await self.start()
        client = cluster.client()
        times = []
        for _ in range(4):
            times.append((await cluster.put(client, "a", 1))["time_s"])
            cluster.timer.wall_offset_s -= 1_000.0
            leader = await cluster.leader()
            await cluster.restart(cluster.address_of(leader))
            await cluster.timer.advance(10.0)
        self.assertEqual(sorted(times), times)
        self.assertGreater(times[-1] - times[0], 30.0)

    async def test_reads_and_writes_go_on_after_every_clock_has_jumped(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 1)
        cluster.timer.jump(3_600.0)
        cluster.timer.wall_offset_s -= 7_200.0
        await cluster.put(client, "a", 2)
        self.assertEqual(2, await cluster.get(client, "a"))


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

    async def test_a_restart_after_a_thousand_changes_finds_them_all(self):
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

    async def test_a_replica_far_behind_is_sent_batches(self):
        cluster = await self.start()
        lost = cluster.followers()[0]
        await cluster.crash(lost)
        await self.fill(cluster, 300)
        await cluster.boot(lost)
        await cluster.timer.advance(2.0)
        self.assert_equal_states(cluster)

    async def test_a_minority_entry_of_an_old_leader_is_replaced(self):
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


class CrashTest(ClusterTestCase):
    async def test_no_commit_is_lost_when_the_leader_stops_at_any_write(self):
        for boundary in range(1, 13):
            for seed in (None, boundary):
                with self.subTest(boundary=boundary, seed=seed):
                    await self.stop_at(boundary, seed)

    async def stop_at(self, boundary, seed):
        settings = attrs.evolve(SETTINGS, snapshot_entries=3, trailing_entries=1)
        cluster = await self.start(settings=settings)
        client = cluster.client()
        leader = await cluster.leader()
        address = cluster.address_of(leader)
        disk = cluster.disks[address]
        disk.stop_at = disk.boundaries + boundary
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

    async def test_a_leader_with_a_full_disk_hands_over(self):
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

    async def test_full_disks_refuse_until_there_is_space_again(self):
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
    async def test_a_planned_stop_hands_leadership_over_at_once(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 1)
        leader = await cluster.leader()
        began_s = cluster.timer.now_s()
        await cluster.run(leader.transfer_leadership())
        await cluster.put(client, "a", 2)
        self.assertLess(cluster.timer.now_s() - began_s, 0.5)
        self.assertFalse(leader.is_leader)

    async def test_a_leader_that_has_offered_its_place_rests_on_no_lease(self):
        cluster = await self.start()
        leader = await cluster.leader()
        leadership = leader.core.leadership
        heir = cluster.replicas[cluster.followers()[0]]
        original = cluster.network.find(cluster.address_of(heir)).handlers
        original.pop("/control/lead")
        moved = await cluster.run(leader.transfer_leadership(heir.identity))
        self.assertFalse(moved)
        self.assertFalse(leadership.holds_lease())
        await cluster.put(cluster.client(), "a", 1)
        self.assertEqual(1, await cluster.get(cluster.client(), "a"))
