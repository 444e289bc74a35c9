"""Tests of the placement of generations by the leader."""

import asyncio
import random
import unittest

from endivesill.fleet.load import FleetLoads
from endivesill.forwarding.placement_service import (
    LEADER_COLD_FRACTION,
    PlacementService,
)
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import MEMORY, MODEL, PLAIN, engine, make_table, set_engines
from tests.http1_fakes import settle

ENTRIES = tuple(f"entry-{number}" for number in range(7))


class PlacementServiceTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.table = make_table(self.timer, engine("e1"), engine("e2"))
        self.loads = FleetLoads()
        self.leads = True
        self.placement_service = PlacementService(
            self.timer,
            self.table,
            self.loads,
            {"llm": MODEL, "app": PLAIN}.get,
            (1.5, 5.0),
            lambda: self.leads,
            random.Random(1),
        )
        self.grants_seen = dict.fromkeys(ENTRIES, 0)

    def message(self, entry=ENTRIES[0], **changes):
        return {
            "entry": entry,
            "grants_seen": self.grants_seen[entry],
            "loads": {},
            "service": "llm",
            "priority": 1,
            "request_id": "a1",
            "organisation": "o1",
            "session": "s",
            "prompt_tokens": 3_000,
            "memory_tokens": 3_500,
            "patience_s": 1.0,
            "return_patience_s": 3.0,
            "excluded": [],
            "holder": "",
            **changes,
        }

    async def request_placement(self, **changes):
        return await self.placement_service.handle(self.message(**changes))

    async def fill_engines(self):
        """Request placements until none is granted; return how many were."""
        placed = 0
        while "target" in await self.request_placement(
            patience_s=0.0, session=f"f{placed}"
        ):
            placed += 1
        return placed


class PlaceTest(PlacementServiceTestCase):
    async def test_a_placement_has_a_target_and_a_backup(self):
        answer = await self.request_placement()
        names = {answer["target"]["identity"], answer["backup"]["identity"]}
        self.assertEqual({"e1", "e2"}, names)
        self.assertEqual(1, answer["number"])

    async def test_simultaneous_requests_do_not_overcommit_engines(self):
        """Guards against seven entries filling the same new engine at once."""
        answers = await asyncio.gather(
            *(self.request_placement(entry=entry, patience_s=0.0) for entry in ENTRIES)
        )
        placed = [a["target"]["identity"] for a in answers if "target" in a]
        for name in ("e1", "e2"):
            target = self.table.find_all([f"{name}@1"])[0]
            self.assertLessEqual(
                target.total_reserved_tokens, MEMORY.capacity_tokens, name
            )
            self.assertLessEqual(placed.count(name), 3)
        self.assertTrue(any("refused" in answer for answer in answers))

    async def test_a_grant_counts_until_it_expires(self):
        before = await self.fill_engines()
        self.assertGreater(before, 0)
        self.placement_service.update()
        self.assertIn(
            "refused", await self.request_placement(session="one", patience_s=0.0)
        )
        await self.timer.advance(1.1)
        self.placement_service.update()
        self.assertIn(
            "target", await self.request_placement(session="two", patience_s=0.0)
        )

    async def test_a_vm_that_does_not_lead_grants_nothing(self):
        self.leads = False
        self.assertEqual({"leader": None}, await self.request_placement())

    async def test_plain_services_are_not_placed_by_the_leader(self):
        self.assertEqual({"leader": None}, await self.request_placement(service="app"))

    async def test_a_copy_is_placed_at_another_engine(self):
        answer = await self.request_placement(holder="e1@1")
        self.assertEqual("e2", answer["target"]["identity"])
        set_engines(self.table, self.table._view, engine("e1"))
        self.assertIn("refused", await self.request_placement(holder="e1@1"))

    async def test_cold_engines_get_the_leaders_fraction_of_their_rate(self):
        places = 0
        for number in range(200):
            answer = await self.request_placement(
                session=f"c{number}",
                patience_s=0.0,
                prompt_tokens=1,
                memory_tokens=1,
            )
            places += "target" in answer
            self.loads.remove(ENTRIES[0])
        allowance = LEADER_COLD_FRACTION * (1.5 * MODEL.cold_requests_per_s + 5.0)
        self.assertLessEqual(places, 2 * allowance)
        self.assertGreaterEqual(places, allowance)


class RefusalTest(PlacementServiceTestCase):
    async def test_requests_with_too_long_an_expected_wait_are_refused_at_once(self):
        """Guards against long waits for a late refusal under sustained overload."""
        await self.fill_engines()
        full = {incarnation: [5, 33_000, 0] for incarnation in ("e1@1", "e2@1")}
        await self.timer.advance(4.1)
        tasks = [
            asyncio.ensure_future(
                self.request_placement(session=f"w{n}", patience_s=1.0, loads=full)
            )
            for n in range(10)
        ]
        await settle()
        refused = [task.result() for task in tasks if task.done()]
        self.assertGreaterEqual(len(refused), 8)
        for answer in refused:
            self.assertGreaterEqual(answer["retry_after_s"], 1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_less_urgent_requests_wait_for_what_the_others_leave(self):
        """Urgent requests get nearly all that becomes free."""
        rates = self.placement_service._placement_rates
        for number in range(40):
            rates["llm", 0].note(self.timer.now_s())
            if not number % 20:
                rates["llm", 1].note(self.timer.now_s())
            await self.timer.advance(0.11)
        rates["llm", 0].note(self.timer.now_s())
        full = {incarnation: [5, 33_000, 0] for incarnation in ("e1@1", "e2@1")}
        reply = await self.request_placement(patience_s=1.0, loads=full)
        self.assertEqual("would wait in vain", reply["refused"])
        task = asyncio.ensure_future(
            self.request_placement(priority=0, session="t", loads=full)
        )
        await settle()
        self.assertFalse(task.done())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_retries_after_a_refusal_are_served_first(self):
        await self.fill_engines()
        self.assertIn(
            "refused", await self.request_placement(session="back", patience_s=0.0)
        )
        order = []

        async def wait(session, patience_s):
            answer = await self.request_placement(
                session=session, patience_s=patience_s
            )
            order.append((session, "target" in answer))

        first_task = asyncio.ensure_future(wait("new", 1.5))
        await settle()
        retry_task = asyncio.ensure_future(wait("back", 1.5))
        await settle()
        await self.timer.advance(1.05)
        self.placement_service.update()
        await asyncio.gather(first_task, retry_task)
        self.assertEqual(("back", True), order[0])

    async def test_queued_requests_are_released_when_the_vm_no_longer_leads(self):
        """Another VM places requests now, and entries can do it themselves."""
        await self.fill_engines()
        request = asyncio.ensure_future(self.request_placement(patience_s=2.0))
        await settle()
        self.assertEqual(1, self.placement_service.queue_length())
        self.leads = False
        self.placement_service.update()
        await settle()
        self.assertTrue(request.done())
        self.assertEqual({"leader": None}, await request)
        self.assertEqual(0, self.placement_service.queue_length())

    async def test_a_vm_that_no_longer_leads_places_no_queued_request(self):
        await self.fill_engines()
        request = asyncio.ensure_future(self.request_placement(patience_s=2.0))
        await settle()
        self.leads = False
        await self.timer.advance(1.1)
        self.placement_service.update()
        await settle()
        await self.timer.advance(1.0)
        self.assertNotIn("target", await request)

    async def test_a_cancelled_request_leaves_the_queue(self):
        await self.fill_engines()
        task = asyncio.ensure_future(
            self.request_placement(session="w", patience_s=1.5)
        )
        await settle()
        task.cancel()
        await settle()
        self.assertEqual(0, self.placement_service._admission.queue_length())
        self.assertEqual({}, self.placement_service._requesting_entries)
