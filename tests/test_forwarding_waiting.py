"""Tests of admission, refusals and the retry budget."""

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
from endivesill.forwarding.waiting import (
    NO_TARGET_WAIT_S,
    AdmissionQueue,
    NoRoomError,
    PlacementRequest,
)
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import MODEL, engine, make_table, set_engines
from tests.http1_fakes import settle

FULL = {"e1@1": EngineLoad(5, 33_000, 0)}
FREE: dict[str, EngineLoad] = {}


class AdmissionQueueTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.table = make_table(self.timer, engine("e1"))
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

    def start_placing(self, **changes):
        return asyncio.ensure_future(self.admission.place(self.request(**changes)))

    async def test_a_request_is_placed_at_once_if_there_is_capacity(self):
        target = await self.admission.place(self.request())
        self.assertEqual(1, target.requests)

    async def test_a_request_cancelled_while_it_is_admitted_holds_nothing(self):
        """Its place was granted, and its task has not run since."""
        self.admission = AdmissionQueue(
            self.timer,
            self.table,
            lambda service: 100.0,
            lambda request, target: target.reserve(request.demand),
            random.Random(1),
            on_abandoned=lambda request, target: target.release(request.demand),
        )
        self.table.update_loads(FULL)
        task = self.start_placing()
        await settle()
        self.table.update_loads(FREE)
        self.admission.admit_waiting()
        (target,) = self.table.find_all(["e1@1"])
        self.assertEqual(1, target.requests)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual((0, 0), (target.requests, target.reserved_tokens))

    async def test_requests_are_refused_at_once_while_a_service_has_no_target(self):
        """All targets left or are evacuated; waiting would not help the callers."""
        set_engines(self.table, self.table._view, engine("e1", is_draining=True))
        first = self.start_placing()
        await settle()
        self.assertFalse(first.done())
        await self.timer.advance(NO_TARGET_WAIT_S + 0.01)
        with self.assertRaises(NoRoomError):
            await first
        second = self.start_placing()
        await settle()
        self.assertTrue(second.done())
        self.assertIsInstance(second.exception(), NoRoomError)
        set_engines(self.table, self.table._view, engine("e1"))
        target = await self.admission.place(self.request())
        self.assertEqual("e1", target.info.identity)

    async def test_requests_are_refused_at_once_while_all_targets_are_paused(self):
        (target,) = self.table.find_all(["e1@1"])
        self.table.note_announcements(target, is_leaving=False, pause_s=3.0)
        with self.assertRaises(NoRoomError) as caught:
            await self.admission.place(self.request(wait_s=1.0))
        self.assertAlmostEqual(3.0, caught.exception.retry_after_s)

    async def test_a_request_waits_for_the_end_of_a_short_pause(self):
        (target,) = self.table.find_all(["e1@1"])
        self.table.note_announcements(target, is_leaving=False, pause_s=0.5)
        task = self.start_placing()
        await self.timer.advance(0.4)
        self.admission.admit_waiting()
        self.assertFalse(task.done())
        await self.timer.advance(0.2)
        self.admission.admit_waiting()
        self.assertIs(target, await task)

    async def test_a_queued_request_is_placed_when_capacity_is_released(self):
        self.table.update_loads(FULL)
        task = self.start_placing()
        await settle()
        self.assertEqual(1, self.admission.queue_length())
        self.table.update_loads(FREE)
        self.admission.admit_waiting()
        self.assertEqual("e1", (await task).info.identity)
        self.assertEqual(0, self.admission.queue_length())

    async def test_queue_order_is_priority_then_retries_after_a_refusal(self):
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

    async def test_a_request_whose_turn_comes_too_late_by_now_is_refused(self):
        """Engines were taken away after the requests had been queued."""
        self.table.update_loads(FULL)
        tasks = [self.start_placing(wait_s=1.0) for _ in range(4)]
        await settle()
        self.admission.expected_wait_s = lambda request, ahead: 0.4 * (ahead + 1)
        await self.timer.advance(0.1)
        self.admission.admit_waiting()
        await settle()
        self.assertEqual(
            [False, False, True, True], [t.done() for t in tasks], "0.9 s are left"
        )
        self.assertIn("in vain", str(tasks[3].exception()))
        self.table.update_loads(FREE)
        self.admission.admit_waiting()
        self.assertEqual("e1", (await tasks[0]).info.identity)
        self.assertEqual("e1", (await tasks[1]).info.identity)

    async def test_the_first_of_each_priority_keeps_its_place(self):
        self.table.update_loads(FULL)
        tasks = [
            self.start_placing(wait_s=1.0, priority=priority)
            for priority in (0, 0, 1, 1)
        ]
        await settle()
        self.admission.expected_wait_s = lambda request, ahead: 2.0
        self.admission.admit_waiting()
        await settle()
        self.assertEqual([False, True, False, True], [t.done() for t in tasks])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_a_queued_request_times_out(self):
        self.table.update_loads(FULL)
        task = self.start_placing(wait_s=0.5)
        await self.timer.advance(0.6)
        with self.assertRaises(NoRoomError):
            await task
        self.assertEqual(0, self.admission.queue_length())
        self.assertTrue(self.admission.is_congested("llm"))

    async def test_a_cancelled_request_is_not_placed(self):
        self.table.update_loads(FULL)
        task = self.start_placing()
        await settle()
        task.cancel()
        await settle()
        self.table.update_loads(FREE)
        self.admission.admit_waiting()
        self.assertEqual(0, self.table.find_all(["e1@1"])[0].requests)

    async def test_a_full_queue_refuses_requests(self):
        self.table.update_loads(FULL)
        tasks = [self.start_placing() for _ in range(20)]
        await settle()
        refused = [t for t in tasks if t.done() and t.exception() is not None]
        self.assertEqual(4, len(refused))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class RefusalTest(unittest.TestCase):
    def test_the_expected_wait_follows_from_the_placement_rate(self):
        rate = PlacementRate()
        for number in range(9):
            rate.note(number / 2)
        self.assertEqual(2.25, rate.per_s(4.0))
        self.assertEqual(2.0, rate.per_s(4.25))
        self.assertEqual(2.0, expected_wait_s(3, 2.0))

    def test_a_new_leader_without_a_rate_expects_no_wait(self):
        rate = PlacementRate()
        self.assertEqual(0.0, expected_wait_s(3, rate.per_s(0.0)))
        rate.note(0.0)
        self.assertEqual(0.0, expected_wait_s(3, rate.per_s(1.0)))

    def test_retry_after_has_jitter_and_an_upper_bound(self):
        times = {retry_after_s(2.0, spread / 10) for spread in range(10)}
        self.assertEqual(10, len(times))
        self.assertLessEqual(retry_after_s(60.0, 1.0), 1.5 * MAX_RETRY_AFTER_S)

    def test_retry_after_has_a_lower_bound(self):
        self.assertGreaterEqual(retry_after_s(0.1, 0.0), MIN_RETRY_AFTER_S)

    def test_retry_after_leaves_time_for_the_retry(self):
        self.assertEqual(2.0, cap_retry_after_s(8.0, 6.0))
        self.assertEqual(8.0, cap_retry_after_s(8.0, 39.0))
        self.assertEqual(0.0, cap_retry_after_s(8.0, -1.0))

    def test_a_refused_session_is_consumed_once(self):
        sessions = RefusedSessions()
        sessions.add("s", 0.0)
        self.assertTrue(sessions.consume("s", 2.0))
        self.assertFalse(sessions.consume("s", 2.0))

    def test_refused_sessions_expire(self):
        sessions = RefusedSessions()
        sessions.add("s", 0.0)
        self.assertFalse(sessions.consume("s", 60.0))
        sessions.add("t", 60.0)
        self.assertEqual(1, len(sessions._refused_s))


class RetryBudgetTest(unittest.IsolatedAsyncioTestCase):
    def budget(self, timer, share):
        return RetryBudget(timer, 0.2, 54, 10.0, lambda: share)

    async def test_the_fleet_wide_bound_holds_in_any_window(self):
        """Guards against retry storms in an outage, where all requests are retried."""
        timer = ManualTimer()
        entries = [self.budget(timer, 1 / 7) for _ in range(7)]
        requests, retries = [], []
        for step in range(600):
            budget = entries[step % 7]
            budget.note_request("s")
            requests.append(timer.now_s())
            if budget.try_acquire("s"):
                retries.append(timer.now_s())
            await timer.advance(0.05)
        for start_s in requests[::20]:
            retries_inside = [t for t in retries if start_s <= t < start_s + 10]
            requests_inside = [t for t in requests if start_s <= t < start_s + 10]
            self.assertLessEqual(len(retries_inside), 0.2 * len(requests_inside) + 54)
        self.assertGreater(len(retries), 30)

    async def test_an_entry_without_a_share_has_no_slack(self):
        timer = ManualTimer()
        budget = self.budget(timer, 0.0)
        self.assertFalse(budget.try_acquire("s"))
        for _ in range(10):
            budget.note_request("s")
        self.assertTrue(budget.try_acquire("s"))
        self.assertFalse(budget.try_acquire("s"))
