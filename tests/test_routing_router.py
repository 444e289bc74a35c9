"""Tests of the router: queuing, refusals and the validity of grants."""

import asyncio
import unittest

from endivesill import errors
from endivesill.metrics import Metrics
from endivesill.routing import CreditClient, CreditServer, Outcome, Router
from endivesill.timer import ManualTimer
from tests.routing_fakes import (
    make_configuration,
    make_request,
    make_service,
    make_source,
    make_target,
)

ONE_SLOT = {"cold_slots": 1, "maximum_slots": 2}


class RouterCase(unittest.IsolatedAsyncioTestCase):
    """A router whose VM owns all targets."""

    def build(self, targets, *, warm=True, service=None):
        self.timer = ManualTimer()
        self.service = service or make_service()
        self.source = make_source(targets, self.service)
        self.metrics = Metrics()
        self.leaving = set()
        current = self.source.current
        self.credit_server = CreditServer(self.timer, current, "a-1")
        self.credit_client = CreditClient(
            self.timer, current, "a-1", self.credit_server
        )
        self.router = Router(
            self.timer,
            current,
            source=self.source,
            credit_client=self.credit_client,
            is_leaving=self.leaving.__contains__,
            metrics=self.metrics,
        )
        if warm:
            for target in targets:
                self.credit_server.allocator(target).assume_warm()

    async def asyncTearDown(self):
        await self.credit_client.stop()

    def start_request(self, number=0, **values):
        request = make_request(number, self.service, **values)
        return asyncio.ensure_future(self.router.acquire(request))

    async def grant(self, number=0, **values):
        task = self.start_request(number, **values)
        await self.timer.advance(0.05)
        return task.result()

    async def fill(self, count):
        grants = []
        for number in range(count):
            grants.append(await self.grant(number))
            grants[-1].tokens(1)
        return grants


class GrantTest(RouterCase):
    async def test_work_spreads_over_the_targets(self):
        self.build([make_target(f"e{n}") for n in range(3)])
        grants = await self.fill(6)
        self.assertEqual(3, len({grant.target.name for grant in grants}))

    async def test_cold_target_gets_only_the_cold_allowance(self):
        self.build([make_target()], warm=False)
        await self.fill(2)
        third = self.start_request()
        await self.timer.advance(5.0)
        self.assertFalse(third.done())
        third.cancel()

    async def test_memory_is_reserved_for_expected_output(self):
        self.build([make_target(memory_tokens=1000)])
        await self.fill(2)
        third = self.start_request()
        await self.timer.advance(0.1)
        self.assertFalse(third.done())
        third.cancel()

    async def test_grant_is_invalid_without_the_lease(self):
        self.build([make_target()])
        grant = await self.grant()
        self.source.lease = False
        self.assertFalse(grant.may_start())

    async def test_grant_is_invalid_once_its_data_centre_is_taken_out(self):
        self.build([make_target()])
        grant = await self.grant()
        self.assertTrue(grant.may_start())
        taken_out = make_configuration(
            [make_target()], self.service, taken_out=("dk-west-a",)
        )
        self.source.replace(taken_out)
        self.assertFalse(grant.may_start())

    async def test_missing_credits_are_requested_although_another_target_has_capacity(
        self,
    ):
        self.build([make_target("e0"), make_target("e1")])
        await self.credit_client.start()
        first = await self.grant(0)
        (other,) = {"e0", "e1"} - {first.target.name}
        first.finished(Outcome.DONE)
        for number in range(1, 11):
            self.credit_client.drop(self.source.current().targets[other])
            grant = await self.grant(number)
            self.assertEqual(first.target, grant.target)
            grant.finished(Outcome.DONE)
            await self.timer.advance(1.95)
        self.assertIsNotNone(self.credit_client.allocation(other))

    async def test_leaving_target_gets_no_new_work(self):
        self.build([make_target("e0"), make_target("e1")])
        grant = await self.grant()
        self.leaving.add(grant.target.name)
        self.assertFalse(grant.may_start())
        await self.timer.advance(1.1)
        names = {g.target.name for g in await self.fill(4)}
        self.assertNotIn(grant.target.name, names)

    async def test_grant_is_invalid_after_its_allocation_has_expired(self):
        self.build([make_target()])
        grant = await self.grant()
        await self.timer.advance(60.0)
        self.assertFalse(grant.may_start())

    async def test_slowdown_revokes_the_credits_before_any_load_report(self):
        self.build([make_target()])
        await self.credit_client.start()
        grants = await self.fill(4)
        for grant in grants:
            for _ in range(40):
                grant.tokens(1)
        for _ in range(400):
            await self.timer.advance(0.02)
            for grant in grants:
                grant.tokens(1)
        self.assertEqual(
            14, self.credit_server.allocator(make_target()).allowance_slots()
        )
        for _ in range(8):
            await self.timer.advance(2.0)
            for grant in grants:
                grant.tokens(1)
        self.assertEqual(
            2, self.credit_server.allocator(make_target()).allowance_slots()
        )

    async def test_consecutive_failures_reset_slow_start(self):
        self.build([make_target()])
        for number in range(3):
            (await self.grant(number)).finished(Outcome.NOT_RUN)
        self.assertEqual(
            2, self.credit_server.allocator(make_target()).allowance_slots()
        )

    async def test_finished_twice_counts_once(self):
        self.build([make_target()])
        grant = await self.grant()
        grant.finished(Outcome.DONE)
        grant.finished(Outcome.DONE)
        candidate = self.router.directory.candidate(make_target())
        self.assertEqual(0, candidate.outstanding)
        self.assertEqual(0, candidate.reserved_tokens)
        self.assertEqual(0, candidate.prefill_tokens)

    async def test_tokens_in_prefill_are_bounded(self):
        self.build([make_target()])
        first = await self.grant(prompt_tokens=2000)
        second = self.start_request(prompt_tokens=2000)
        await self.timer.advance(0.1)
        self.assertFalse(second.done())
        first.tokens(1)
        await self.timer.advance(0)
        self.assertTrue(second.done())


class WaitingTest(RouterCase):
    async def test_cancelled_waiter_releases_its_grant(self):
        self.build([make_target(**ONE_SLOT)])
        running = await self.fill(1)
        waiters = [self.start_request(number) for number in range(3)]
        await self.timer.advance(0)
        waiters[0].cancel()
        running[0].finished(Outcome.DONE)
        # The waiter is granted and cancelled in the same iteration of the loop.
        waiters[1].cancel()
        await self.timer.advance(0)
        self.assertTrue(waiters[2].done())
        self.assertEqual("e0", waiters[2].result().target.name)

    async def test_refusal_is_answered_at_once(self):
        self.build([make_target(**ONE_SLOT)])
        await self.fill(1)
        task = self.start_request(deadline_s=self.timer.now_s() + 3.0)
        await self.timer.advance(3.3)
        with self.assertRaises(errors.RefusedError) as caught:
            task.result()
        self.assertEqual("deadline", caught.exception.reason)
        self.assertIs(errors.RunState.NOT_RUN, caught.exception.run)
        recorder = self.metrics.recorder("refusal_answer")
        self.assertEqual(1, recorder.count)
        self.assertLess(recorder.quantile_s(1.0), 0.005)

    async def test_requests_to_cold_targets_queue_and_are_refused_as_not_run(self):
        self.build([make_target("e0"), make_target("e1")], warm=False)
        running = await self.fill(4)
        deadline_s = self.timer.now_s() + 10.0
        waiting = [self.start_request(n, deadline_s=deadline_s) for n in range(20)]
        await self.timer.advance(1.0)
        for grant in running:
            self.assertLessEqual(grant.candidate.outstanding, 2)
        await self.timer.advance(10.0)
        for task in waiting:
            with self.assertRaises(errors.RefusedError) as caught:
                task.result()
            self.assertIs(errors.RunState.NOT_RUN, caught.exception.run)
            self.assertGreaterEqual(caught.exception.retry_after_s, 1.0)

    async def test_request_that_would_miss_its_deadline_is_refused_on_arrival(self):
        self.build([make_target(**ONE_SLOT)])
        (grant,) = await self.fill(1)
        waiting = [self.start_request(n) for n in range(30)]
        for task in waiting[:8]:
            await self.timer.advance(0.5)
            grant.finished(Outcome.DONE)
            await self.timer.advance(0)
            grant = task.result()
        late = self.start_request(deadline_s=self.timer.now_s() + 2.0)
        await self.timer.advance(0)
        with self.assertRaises(errors.RefusedError) as caught:
            late.result()
        self.assertEqual("no-time", caught.exception.reason)
        self.assertGreater(caught.exception.retry_after_s, 5.0)
        for task in waiting[8:]:
            task.cancel()

    async def test_queue_is_bounded(self):
        self.build([make_target(**ONE_SLOT)], service=make_service(queue_limit=2))
        await self.fill(1)
        tasks = [self.start_request(number) for number in range(3)]
        await self.timer.advance(0)
        refused = [task for task in tasks if task.done()]
        self.assertEqual(1, len(refused))
        self.assertEqual("queue-full", refused[0].exception().reason)
        for task in tasks:
            task.cancel()

    async def test_losing_the_lease_refuses_new_and_waiting_requests(self):
        self.build([make_target(**ONE_SLOT)])
        await self.fill(1)
        waiting = self.start_request()
        await self.timer.advance(0)
        self.source.lease = False
        late = self.start_request()
        await self.timer.advance(0.3)
        self.assertEqual("no-lease", late.exception().reason)
        self.assertEqual("no-lease", waiting.exception().reason)

    async def test_high_priority_passes_low_priority_without_starving_it(self):
        self.build([make_target(**ONE_SLOT)])
        (grant,) = await self.fill(1)
        plans = [self.start_request(n, priority=1) for n in range(3)]
        order = []
        for task in plans:
            task.add_done_callback(lambda task: order.append("plan"))
        for number in range(40):
            check = self.start_request(100 + number, priority=0)
            check.add_done_callback(lambda task: order.append("check"))
            await self.timer.advance(0.5)
            grant.finished(Outcome.DONE)
            await self.timer.advance(0)
            grant = next(
                task.result()
                for task in [*plans, check]
                if task.done() and not task.result()._finished
            )
            if all(task.done() for task in plans):
                break
        self.assertEqual("check", order[0])
        self.assertEqual(3, order.count("plan"))

    async def test_the_prefixes_of_a_removed_target_are_dropped(self):
        self.build([make_target("e0"), make_target("e1")])
        for name in ("e0", "e1"):
            self.router.prefixes.record_placement(name, ("p",))
        await self.fill(1)
        self.assertEqual({"e0", "e1"}, self.router.prefixes.holders(("p",)))
        self.source.replace(make_configuration([make_target("e1")], self.service))
        await self.fill(1)
        self.assertEqual({"e1"}, self.router.prefixes.holders(("p",)))
        self.assertEqual({"e1"}, self.router.prefixes.target_names())
