"""Tests of placement by an entry, with and without a leader."""

import asyncio
import random
import unittest

import attrs

from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.forwarding.call import Call
from endivesill.forwarding.placement_service import PLACE_PATH
from endivesill.forwarding.placer import Placer, compute_wait_until_s
from endivesill.forwarding.protocol import RequestInfo
from endivesill.forwarding.targets import ResourceDemand
from endivesill.forwarding.waiting import AdmissionQueue, NoRoomError
from endivesill.peers import MemoryNetwork
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import MODEL, PLAIN, engine, make_table, route

LEADER = "10.0.0.1:7000"


class PlacerTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.network = MemoryNetwork(self.timer)
        self.table = make_table(self.timer, engine("e1"), engine("p1", "app"))
        transport = self.network.transport("10.0.2.1:7000")
        self.sync_client = FleetSyncClient(
            self.timer, transport, (LEADER,), self.table.own_loads, lambda updates: None
        )
        self.sync_client.leader = LEADER
        admission = AdmissionQueue(
            self.timer,
            self.table,
            lambda service: 100.0,
            lambda request, target: target.reserve(request.demand),
            random.Random(1),
        )
        self.placer = Placer(
            self.timer, self.table, admission, self.sync_client, transport
        )
        self.received = []
        self.reply = {}
        self.network.transport(LEADER).handle(PLACE_PATH, self.place)

    async def place(self, message):
        self.received.append(message)
        if self.reply is None:
            await asyncio.get_running_loop().create_future()
        return self.reply

    def call(self, service=MODEL) -> Call:
        now_s = self.timer.now_s()
        info = RequestInfo("a1", 5.0, None, 1_000, 80, 0, (("5c", 1_000),))
        return Call(
            exchange=None,
            info=info,
            route=route(),
            service=service,
            organisation=None,
            priority=1,
            demand=ResourceDemand(1_000, 1_040)
            if service is MODEL
            else ResourceDemand(),
            received_s=now_s,
            deadline_s=now_s + 5.0,
            caller_deadline_s=now_s + 5.0,
        )

    async def run_placed(self, call):
        task = asyncio.ensure_future(self.placer.place(call))
        for _ in range(300):
            if task.done():
                break
            await self.timer.advance(0.01)
        return task


class LeaderTest(PlacerTestCase):
    async def test_a_generation_is_placed_by_the_leader(self):
        info = attrs.asdict(engine("e9"))
        self.reply = {"number": 4, "target": info, "backup": None}
        place = (await self.run_placed(self.call())).result()
        self.assertEqual("e9", place.target.info.identity)
        self.assertTrue(place.by_leader)
        self.assertEqual(1, place.target.requests)
        self.assertEqual(4, self.sync_client.load_report()["grants_seen"])
        self.assertIn("e9@1", self.sync_client.load_report()["loads"])

    async def test_a_refusal_by_the_leader_is_final(self):
        self.reply = {"refused": "would wait in vain", "retry_after_s": 2.5}
        task = await self.run_placed(self.call())
        self.assertIsInstance(task.exception(), NoRoomError)
        self.assertEqual(2.5, task.exception().retry_after_s)

    async def test_a_plain_request_is_placed_locally(self):
        place = (await self.run_placed(self.call(PLAIN))).result()
        self.assertEqual("p1", place.target.info.identity)
        self.assertEqual([], self.received)


class NoLeaderTest(PlacerTestCase):
    async def test_generations_are_placed_locally_without_a_leader(self):
        self.sync_client.leader = None
        place = (await self.run_placed(self.call())).result()
        self.assertEqual("e1", place.target.info.identity)
        self.assertFalse(place.by_leader)

    async def test_generations_are_placed_locally_if_the_vm_does_not_lead(self):
        self.reply = {"leader": None}
        place = (await self.run_placed(self.call())).result()
        self.assertFalse(place.by_leader)

    async def test_losing_the_leader_ends_the_wait_for_its_reply(self):
        """Guards against requests that wait for a leader that has lost power."""
        self.reply = None
        started_s = self.timer.now_s()
        task = asyncio.ensure_future(self.placer.place(self.call()))
        await self.timer.advance(0.3)
        self.assertFalse(task.done())
        self.sync_client.leader_lost.notify()
        await self.timer.advance(0.01)
        self.assertFalse(task.result().by_leader)
        self.assertLess(self.timer.now_s() - started_s, 0.5)


class WaitUntilTest(PlacerTestCase):
    async def test_the_wait_ends_before_the_latency_deadline(self):
        call = self.call()
        self.assertLess(compute_wait_until_s(call), call.latency_deadline_s)
        self.assertGreater(compute_wait_until_s(call), call.received_s)

    async def test_the_wait_ends_by_the_request_deadline(self):
        call = attrs.evolve(self.call(), deadline_s=self.timer.now_s() + 0.1)
        self.assertLessEqual(compute_wait_until_s(call), call.deadline_s)
