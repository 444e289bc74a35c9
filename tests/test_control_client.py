"""Tests of proposals, queries, client sessions and newest indexes."""

import asyncio

from endivesill import errors
from endivesill.control import NEWEST_PATH
from endivesill.control.entries import EntryKind, LogEntry, Proposal
from endivesill.control.machine import StateMachine
from endivesill.control.sessions import SESSION_LIFETIME_S, Sessions
from endivesill.control.snapshots import Snapshot
from endivesill.control.voter_set import VoterSet
from tests.control_cluster import ClusterTestCase


class ResendTest(ClusterTestCase):
    async def test_a_resend_after_a_lost_response_returns_the_first_result(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 0)
        leader = cluster.address_of(await cluster.leader())
        cluster.network.cut(leader, "10.0.1.1:7000", both=False)
        message = {"key": "a", "value": 1}
        task = asyncio.ensure_future(client.propose("test.put", message, 30.0))
        await cluster.timer.advance(0.1)
        self.assertEqual(2, cluster.replicas[leader].state.section("test")["runs"])
        first_index = cluster.replicas[leader].applied_index
        cluster.network.heal()
        answer = await cluster.run(task)
        self.assertEqual(first_index, answer["index"])
        self.assertEqual(2, cluster.replicas[leader].state.section("test")["runs"])

    async def test_a_resend_to_another_leader_returns_the_first_result(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 0)
        leader = cluster.address_of(await cluster.leader())
        cluster.network.cut(leader, "10.0.1.1:7000", both=False)
        message = {"key": "a", "value": 1}
        task = asyncio.ensure_future(client.propose("test.put", message, 30.0))
        await cluster.timer.advance(0.1)
        first_index = cluster.replicas[leader].applied_index
        await cluster.crash(leader)
        answer = await cluster.run(task)
        self.assertEqual(first_index, answer["index"])
        await cluster.timer.advance(1.0)
        for replica in cluster.replicas.values():
            self.assertEqual(2, replica.state.section("test")["runs"])

    async def test_resends_under_loss_run_each_proposal_once(self):
        cluster = await self.start()
        client = cluster.client()
        cluster.network.loss = 0.1
        for number in range(30):
            await cluster.put(client, "a", number, timeout_s=60.0)
        cluster.network.loss = 0.0
        await cluster.timer.advance(5.0)
        for replica in cluster.replicas.values():
            self.assertEqual(30, replica.state.section("test")["runs"])


class BatchTest(ClusterTestCase):
    async def test_proposals_that_arrive_together_share_calls(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 0)
        handlers = cluster.network.find(
            cluster.address_of(await cluster.leader())
        ).handlers
        propose, sizes = handlers["/control/propose"], []

        async def count_and_propose(message):
            sizes.append(len(message["proposals"]))
            return await propose(message)

        handlers["/control/propose"] = count_and_propose
        calls = [
            client.propose("test.put", {"key": f"k{n}", "value": n}, 5.0)
            for n in range(32)
        ]
        calls.append(client.propose("test.fail", {}, 5.0))
        outcomes = await cluster.run(asyncio.gather(*calls, return_exceptions=True))
        self.assertEqual(33, sum(sizes))
        self.assertLessEqual(len(sizes), 3)
        self.assertEqual(32, len({outcome["index"] for outcome in outcomes[:-1]}))
        self.assertIn("injected failure", str(outcomes[-1]))

    async def test_a_resent_batch_runs_each_proposal_once(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 0)
        leader = cluster.address_of(await cluster.leader())
        cluster.network.cut(leader, "10.0.1.1:7000", both=False)
        calls = [
            client.propose("test.put", {"key": f"k{n}", "value": n}, 30.0)
            for n in range(10)
        ]
        task = asyncio.gather(*calls)
        await cluster.timer.advance(0.1)
        await cluster.crash(leader)
        cluster.network.heal()
        await cluster.run(task)
        for replica in cluster.replicas.values():
            self.assertEqual(11, replica.state.section("test")["runs"])

    async def test_a_proposal_queued_behind_lost_calls_is_known_not_to_run(self):
        cluster = await self.start()
        client = cluster.client()
        await cluster.put(client, "a", 0)
        cluster.network.isolate("10.0.1.1:7000")
        message = {"key": "a", "value": 1}
        blocked = []
        for _ in range(2):
            call = client.propose("test.put", message, 30.0)
            blocked.append(asyncio.ensure_future(call))
            await cluster.timer.advance(0.1)
        with self.assertRaises(errors.UnavailableError):
            await cluster.run(client.propose("test.put", message, 1.0))
        cluster.network.heal()
        await cluster.run(asyncio.gather(*blocked))


class SessionsTest(ClusterTestCase):
    def record(self, sessions, client, sequence, answered=0, time_s=1.0):
        proposal = Proposal("test.put", {}, client, sequence, answered)
        sessions.record(proposal, {"result": sequence}, time_s)

    def test_results_are_kept_until_the_client_acknowledges_them(self):
        sessions = Sessions()
        for sequence in (1, 2, 3):
            self.record(sessions, "c", sequence)
        self.assertEqual({"result": 1}, sessions.result("c", 1))
        self.record(sessions, "c", 4, answered=3)
        self.assertIsNone(sessions.result("c", 2))
        self.assertTrue(sessions.is_stale("c", 2))
        self.assertEqual({"result": 3}, sessions.result("c", 3))

    def test_unused_sessions_expire_and_others_survive_a_snapshot(self):
        sessions = Sessions()
        self.record(sessions, "old", 1, time_s=1.0)
        self.record(sessions, "new", 1, time_s=SESSION_LIFETIME_S)
        decoded = Sessions.from_document(sessions.to_document())
        self.assertEqual({"result": 1}, decoded.result("old", 1))
        self.record(decoded, "new", 2, time_s=SESSION_LIFETIME_S + 2.0)
        self.assertIsNone(decoded.result("old", 1))
        self.assertEqual({"result": 1}, decoded.result("new", 1))


class CommandTest(ClusterTestCase):
    async def test_later_commands_run_after_one_raises(self):
        cluster = await self.start()
        client = cluster.client()
        with self.assertRaisesRegex(errors.EndivesillError, "injected failure"):
            await cluster.run(client.propose("test.fail", {}, 5.0))
        await cluster.put(client, "a", 1)

    async def test_an_unknown_command_is_not_appended(self):
        cluster = await self.start()
        leader = await cluster.leader()
        last_index = leader.core.log.last_index
        with self.assertRaisesRegex(errors.EndivesillError, "no command"):
            await cluster.run(cluster.client().propose("test.none", {}, 5.0))
        self.assertEqual(last_index, leader.core.log.last_index)

    async def test_a_command_that_modifies_its_argument_does_not_modify_the_log(self):
        machine = StateMachine()
        value = {"inner": [1]}
        proposal = Proposal("test.put", {"key": "a", "value": value}, "c", 1)
        entry = LogEntry(1, 1, 1.0, EntryKind.COMMAND, proposal.to_text())
        machine.apply(entry)
        machine.state.section("test")["a"]["inner"].append(2)
        self.assertEqual([1], entry.proposal().message["value"]["inner"])

    async def test_a_reader_cannot_change_the_state(self):
        cluster = await self.start()
        leader = await cluster.leader()
        await cluster.put(leader, "a", {"inner": [1]})
        answer = await cluster.run(leader.query("test.get", {"key": "a"}, 5.0))
        answer["value"]["inner"].append(2)
        self.assertEqual({"inner": [1]}, await cluster.get(leader, "a"))


class NewestTest(ClusterTestCase):
    async def ask(self, cluster, address):
        transport = cluster.network.transport("10.0.2.1:7000")
        return await cluster.run(transport.call(address, NEWEST_PATH, {}, 1.0))

    async def test_each_replica_reports_its_own_indexes(self):
        cluster = await self.start()
        client = cluster.client()
        committed = await cluster.put(client, "a", 1)
        await cluster.timer.advance(1.0)
        for address, replica in cluster.replicas.items():
            replica.add_newest_field(
                "newest", lambda r=replica: r.newest_index_of("test.put")
            )
            answer = await self.ask(cluster, address)
            self.assertEqual(replica.identity, answer["identity"])
            self.assertEqual(committed["index"], answer["newest"])
            self.assertEqual(committed["index"], answer["last_index"])
            self.assertEqual(committed["index"], answer["commit_index"])
            self.assertEqual(set(cluster.addresses), set(answer["voters"].values()))

    async def test_an_uncommitted_entry_counts_as_newest(self):
        cluster = await self.start()
        leader = await cluster.leader()
        self.assertEqual(0, leader.newest_index_of("test.put"))
        cluster.network.isolate(cluster.address_of(leader))
        proposal = Proposal("test.put", {"key": "a", "value": 1}, "c", 1)
        leadership = leader.core.leadership
        task = asyncio.ensure_future(leadership.propose(proposal, 0.3))
        await cluster.timer.advance(0.2)
        index = leader.core.log.last_index
        self.assertGreater(index, leader.core.commit_index)
        self.assertEqual(index, leader.newest_index_of("test.put"))
        task.cancel()

    def test_the_newest_index_is_kept_in_snapshots(self):
        machine = StateMachine()
        proposal = Proposal("test.put", {"key": "a", "value": 1}, "c", 1)
        machine.apply(LogEntry(1, 1, 1.0, EntryKind.COMMAND, proposal.to_text()))
        text = machine.to_snapshot("c", VoterSet()).to_text()
        restored = StateMachine()
        restored.load(Snapshot.from_text(text))
        self.assertEqual({"test.put": 1}, restored.newest_index_by_command)
