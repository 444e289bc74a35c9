"""Tests of elections, replication, leases and clocks under faults."""

import asyncio

import attrs

from endivesill import errors
from endivesill.control import ControlReplica, ControlSettings, MemoryDisk
from endivesill.control.core import Role
from endivesill.control.entries import LogEntry, Proposal
from endivesill.control.messages import (
    AppendRequest,
    AppendResponse,
    VoteRequest,
    VoteResponse,
    from_message,
    to_message,
)
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
            started_s = cluster.timer.now_s()
            leader = await cluster.leader()
            await cluster.crash(cluster.address_of(leader))
            await cluster.put(client, "a", 2)
            self.assertLess(cluster.timer.now_s() - started_s, 3.0)

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

    async def ask_vote(self, cluster, address, **changes):
        core = cluster.replicas[address].core
        request = VoteRequest(
            cluster=core.cluster,
            to=core.identity,
            candidate="x",
            term=50,
            last_index=1_000,
            last_term=50,
            pre_vote=False,
            transfer=False,
        )
        request = attrs.evolve(request, **changes)
        handler = cluster.network.find(address).handlers["/control/vote"]
        return from_message(VoteResponse, await handler(to_message(request)))

    async def test_no_vote_is_granted_while_a_lease_may_be_valid(self):
        cluster = await self.start()
        address = cluster.followers()[0]
        core = cluster.replicas[address].core
        for pre_vote in (True, False):
            answer = await self.ask_vote(cluster, address, pre_vote=pre_vote)
            self.assertEqual(VoteResponse(core.term, False), answer)
        cluster.network.isolate(address)
        await cluster.timer.advance(LEASE_S)
        answer = await self.ask_vote(cluster, address)
        self.assertTrue(answer.granted)

    async def test_a_restarted_replica_grants_no_vote_while_a_lease_may_be_valid(self):
        cluster = await self.start()
        address = cluster.followers()[0]
        cluster.network.isolate(address)
        await cluster.timer.advance(LEASE_S / 4)
        await cluster.restart(address)
        await cluster.timer.advance(LEASE_S / 2)
        answer = await self.ask_vote(cluster, address)
        self.assertFalse(answer.granted)

    async def test_a_replica_votes_once_per_term_across_a_restart(self):
        cluster = await self.start()
        address = cluster.followers()[0]
        answer = await self.ask_vote(cluster, address, transfer=True)
        self.assertEqual(VoteResponse(50, True), answer)
        await cluster.restart(address)
        for candidate in ("y", "x"):
            answer = await self.ask_vote(
                cluster, address, transfer=True, candidate=candidate
            )
            self.assertEqual(candidate == "x", answer.granted)

    async def test_an_entry_synced_after_a_vote_in_a_newer_term_is_not_acknowledged(
        self,
    ):
        cluster = await self.start()
        address = cluster.followers()[0]
        await cluster.crash(address)
        disk = BlockingDisk(cluster.disks[address])
        core = (await cluster.boot(address, disk)).core
        await cluster.timer.advance(1.0)
        cluster.network.isolate(address)
        log = core.log
        entry = LogEntry(log.last_index + 1, core.term, 1.0)
        request = AppendRequest(
            cluster=core.cluster,
            to=core.identity,
            leader=core.leader,
            address=core.leader_address,
            term=core.term,
            previous_index=log.last_index,
            previous_term=log.last_term,
            commit_index=0,
            rows=[entry.to_row()],
        )
        disk.sync_released = asyncio.Event()
        append = cluster.network.find(address).handlers["/control/append"]
        task = asyncio.ensure_future(append(to_message(request)))
        await cluster.timer.advance(0.1)
        self.assertTrue((await self.ask_vote(cluster, address, transfer=True)).granted)
        self.assertFalse(task.done())
        disk.sync_released.set()
        await cluster.timer.advance(0.1)
        self.assertFalse(from_message(AppendResponse, await task).success)

    async def test_entries_of_earlier_terms_are_not_committed_by_counting_replicas(
        self,
    ):
        cluster = await self.start()
        leader = await cluster.leader()
        cluster.network.isolate(cluster.address_of(leader))
        core, leadership = leader.core, leader.core.leadership
        proposal = Proposal("test.put", {"key": "a", "value": 1}, "c", 1)
        task = asyncio.ensure_future(leadership.propose(proposal, 0.2))
        await cluster.timer.advance(0.1)
        before = core.commit_index
        for progress in leadership.progress.values():
            progress.match_index = core.log.last_index
        leadership.term += 1
        leadership.handle_response()
        self.assertEqual(before, core.commit_index)
        leadership.term -= 1
        leadership.handle_response()
        self.assertEqual(core.log.last_index, core.commit_index)
        await task


class BlockingDisk(MemoryDisk):
    """A memory disk whose log syncs wait for an event."""

    def __init__(self, disk):
        super().__init__({name: disk.read(name) for name in disk.names()})
        self.sync_released = None

    async def sync(self, name):
        if self.sync_released is not None and name.startswith("log-"):
            await self.sync_released.wait()
        await super().sync(name)


class PartitionTest(ClusterTestCase):
    async def test_an_isolated_leader_steps_down_and_commits_nothing(self):
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

    async def test_a_proposal_after_the_end_of_the_leadership_is_not_appended(self):
        cluster = await self.start()
        leader = await cluster.leader()
        leadership, log = leader.core.leadership, leader.core.log
        last_index = log.last_index
        leader.core.step_down("injected failure")
        proposal = Proposal("test.put", {"key": "a", "value": 1}, "c", 1)
        with self.assertRaises(errors.NotLeaderError):
            await leadership.propose(proposal, 1.0)
        self.assertEqual(last_index, log.last_index)

    async def test_a_leader_that_cannot_receive_steps_down(self):
        cluster = await self.start()
        old = await cluster.leader()
        address = cluster.address_of(old)
        for other in cluster.followers():
            cluster.network.cut(other, address, both=False)
        await cluster.timer.advance(2 * LEASE_S)
        self.assertFalse(old.is_leader)
        others = [a for a in cluster.addresses if a != address]
        await cluster.leader(among=others)

    async def test_a_leader_that_cannot_send_is_replaced(self):
        cluster = await self.start()
        old = await cluster.leader()
        address = cluster.address_of(old)
        for other in cluster.followers():
            cluster.network.cut(address, other, both=False)
        others = [a for a in cluster.addresses if a != address]
        await cluster.leader(among=others)
        await cluster.timer.advance(3 * LEASE_S)
        self.assertFalse(old.is_leader)

    async def test_a_partition_between_two_followers_has_no_effect(self):
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


class CatchUpTest(ClusterTestCase):
    """Guards against a follower whose missing entries are sent in one message."""

    ENTRY_BYTES = 3_000
    ENTRIES = 60
    LIMIT_BYTES = 16_000

    async def start_limited(self):
        """Start a cluster whose members reject messages over a limit."""
        settings = ControlSettings(snapshot_entries=1_000_000, batch_bytes=10_000)
        cluster = await self.start(3, settings)
        self.largest_bytes = 0
        deliver = cluster.network.deliver

        async def deliver_within_limit(source, destination, size):
            self.largest_bytes = max(self.largest_bytes, size)
            return await deliver(source, destination, size) and size < self.LIMIT_BYTES

        cluster.network.deliver = deliver_within_limit
        return cluster

    async def check(self, cluster, address):
        leader = await cluster.leader()
        await cluster.timer.advance(5.0)
        self.assertEqual(leader.applied_index, cluster.replicas[address].applied_index)
        self.assert_equal_states(cluster)
        self.assertLess(self.largest_bytes, self.LIMIT_BYTES)

    async def write(self, cluster):
        client = cluster.client()
        for number in range(self.ENTRIES):
            await cluster.put(client, f"key-{number}", "x" * self.ENTRY_BYTES)

    async def test_a_follower_that_was_down(self):
        cluster = await self.start_limited()
        address = cluster.followers()[0]
        await cluster.crash(address)
        await self.write(cluster)
        await cluster.boot(address)
        await self.check(cluster, address)

    async def test_a_follower_that_was_cut_off(self):
        cluster = await self.start_limited()
        address = cluster.followers()[0]
        cluster.network.isolate(address)
        await self.write(cluster)
        cluster.network.heal()
        await self.check(cluster, address)

    async def test_an_entry_over_the_bound_is_sent_alone(self):
        cluster = await self.start_limited()
        address = cluster.followers()[0]
        await cluster.crash(address)
        client = cluster.client()
        for number in range(5):
            await cluster.put(client, f"key-{number}", "x" * 12_000)
        await cluster.boot(address)
        await self.check(cluster, address)


class ClockTest(ClusterTestCase):
    async def test_a_leader_holds_no_lease_after_a_suspension(self):
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
            started_s = cluster.timer.now_s()
            after = await cluster.put(client, "a", 2)
            passed_s = after["time_s"] - before["time_s"]
            self.assertGreaterEqual(passed_s, 0.0)
            self.assertLess(passed_s, 1.0 + cluster.timer.now_s() - started_s)
            before = after

    async def test_the_time_of_entries_continues_across_leaders(self):
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

    async def test_reads_and_writes_continue_after_all_clocks_jumped(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 1)
        cluster.timer.jump(3_600.0)
        cluster.timer.wall_offset_s -= 7_200.0
        await cluster.put(client, "a", 2)
        self.assertEqual(2, await cluster.get(client, "a"))
