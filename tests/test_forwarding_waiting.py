"""Tests of waiting for a place, refusing and coming back."""

import asyncio
import random
import unittest

from endivesill.fleet.load import EngineLoad
from endivesill.forwarding.refusals import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    PlacementRate,
    RefusedSessions,
    cap_retry_after_s,
    expected_wait_s,
    retry_after_s,
)
from endivesill.forwarding.retry_budget import RetryBudget
from endivesill.forwarding.targets import ResourceDemand
from endivesill.forwarding.waiting import AdmissionQueue, NoRoomError, PlacementRequest
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import MODEL, engine, table_of
from tests.http1_fakes import settle

FULL = {"e1@1": EngineLoad(5, 33_000, 0)}
FREE: dict[str, EngineLoad] = {}


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.table = table_of(self.timer, engine("e1"))
        self.admission = AdmissionQueue(
            self.timer,
            self.table,
            lambda service: 100.0,
            lambda request, target: target.reserve(request.demand),
            random.Random(1),
        )

    def request(self, *, priority=1, wait_s=1.0, **changes):
        wait_until_s = self.timer.now_s() + wait_s
        return PlacementRequest(
            MODEL, ResourceDemand(300, 3_000), priority, wait_until_s, **changes
        )

    def ask(self, **changes):
        return asyncio.ensure_future(self.admission.place(self.request(**changes)))

    async def test_a_free_place_is_given_at_once(self):
        target = await self.admission.place(self.request())
        self.assertEqual(1, target.requests)

    async def test_a_request_waits_for_room_and_gets_it(self):
        self.table.update_loads(FULL)
        task = self.ask()
        await settle()
        self.assertEqual(1, self.admission.queue_length())
        self.table.update_loads(FREE)
        self.admission.admit_waiting()
        self.assertEqual("e1", (await task).info.identity)
        self.assertEqual(0, self.admission.queue_length())

    async def test_the_more_urgent_goes_first_then_who_comes_back(self):
        self.table.update_loads(FULL)
        order = []

        async def wait(name, **changes):
            await self.admission.place(self.request(**changes))
            order.append(name)

        tasks = [
            asyncio.ensure_future(wait("plan", priority=1)),
            asyncio.ensure_future(wait("returned", priority=1, was_refused=True)),
            asyncio.ensure_future(wait("check", priority=0)),
        ]
        await settle()
        self.table.update_loads(FREE)
        self.admission.admit_waiting()
        await asyncio.gather(*tasks)
        self.assertEqual(["check", "returned", "plan"], order)

    async def test_a_wait_in_vain_ends_when_it_is_over(self):
        self.table.update_loads(FULL)
        task = self.ask(wait_s=0.5)
        await self.timer.advance(0.6)
        with self.assertRaises(NoRoomError):
            await task
        self.assertEqual(0, self.admission.queue_length())
        self.assertTrue(self.admission.is_congested("llm"))

    async def test_a_caller_who_leaves_takes_no_place(self):
        self.table.update_loads(FULL)
        task = self.ask()
        await settle()
        task.cancel()
        await settle()
        self.table.update_loads(FREE)
        self.admission.admit_waiting()
        self.assertEqual(0, self.table.find_all(["e1@1"])[0].requests)

    async def test_a_full_queue_refuses_at_once(self):
        self.table.update_loads(FULL)
        tasks = [self.ask() for _ in range(20)]
        await settle()
        refused = [t for t in tasks if t.done() and t.exception() is not None]
        self.assertEqual(4, len(refused))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class RefusalTest(unittest.TestCase):
    def test_the_wait_is_told_from_the_places_given_lately(self):
        rate = PlacementRate()
        for number in range(9):
            rate.note(number / 2)
        self.assertEqual(2.25, rate.per_s(4.0))
        self.assertEqual(2.0, rate.per_s(4.25))
        self.assertEqual(2.0, expected_wait_s(3, 2.0))

    def test_a_new_leader_refuses_nobody_for_want_of_a_rate(self):
        rate = PlacementRate()
        self.assertEqual(0.0, expected_wait_s(3, rate.per_s(0.0)))
        rate.note(0.0)
        self.assertEqual(0.0, expected_wait_s(3, rate.per_s(1.0)))

    def test_callers_do_not_return_together_nor_after_very_long(self):
        times = {retry_after_s(2.0, spread / 10) for spread in range(10)}
        self.assertEqual(10, len(times))
        self.assertLessEqual(retry_after_s(60.0, 1.0), 1.5 * MAX_RETRY_AFTER_S)

    def test_callers_come_back_when_places_are_given_anew(self):
        self.assertGreaterEqual(retry_after_s(0.1, 0.0), MIN_RETRY_AFTER_S)

    def test_a_caller_with_little_time_comes_back_in_time(self):
        self.assertEqual(2.0, cap_retry_after_s(8.0, 6.0))
        self.assertEqual(8.0, cap_retry_after_s(8.0, 39.0))
        self.assertEqual(0.0, cap_retry_after_s(8.0, -1.0))

    def test_a_session_comes_back_once(self):
        returns = RefusedSessions()
        returns.add("s", 0.0)
        self.assertTrue(returns.consume("s", 2.0))
        self.assertFalse(returns.consume("s", 2.0))

    def test_an_old_refusal_is_forgotten(self):
        returns = RefusedSessions()
        returns.add("s", 0.0)
        self.assertFalse(returns.consume("s", 60.0))
        returns.add("t", 60.0)
        self.assertEqual(1, len(returns._refused_s))


class RetryBudgetTest(unittest.IsolatedAsyncioTestCase):
    def budget(self, timer, share):
        return RetryBudget(timer, 0.2, 54, 10.0, lambda: share)

    async def test_all_entries_together_keep_the_bound_in_any_window(self):
        """Replays an outage in which each request is repeated if it may be."""
        timer = ManualTimer()
        entries = [self.budget(timer, 1 / 7) for _ in range(7)]
        requests, repeats = [], []
        for step in range(600):
            budget = entries[step % 7]
            budget.note_request("s")
            requests.append(timer.now_s())
            if budget.try_acquire("s"):
                repeats.append(timer.now_s())
            await timer.advance(0.05)
        for start_s in requests[::20]:
            inside = [t for t in repeats if start_s <= t < start_s + 10]
            asked = [t for t in requests if start_s <= t < start_s + 10]
            self.assertLessEqual(len(inside), 0.2 * len(asked) + 54)
        self.assertGreater(len(repeats), 30)

    async def test_an_entry_without_a_share_has_its_own_ratio_only(self):
        timer = ManualTimer()
        budget = self.budget(timer, 0.0)
        self.assertFalse(budget.try_acquire("s"))
        for _ in range(10):
            budget.note_request("s")
        self.assertTrue(budget.try_acquire("s"))
        self.assertFalse(budget.try_acquire("s"))
