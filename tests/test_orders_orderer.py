"""Tests of issuing orders: each id runs at most once, none with a stale token."""

import asyncio
import unittest

from bench.order_engines import OrderEngines, orders_configuration
from endivesill import errors
from endivesill.control import LocalControl
from endivesill.orders import (
    Orderer,
    OrdererLease,
    OrderKind,
    OrderRequest,
    OrderSettings,
    OrderState,
)
from endivesill.timer import ManualTimer

LEASE_S = 10.0


def load_model(order_id, target, name="m1", version=""):
    return OrderRequest(order_id, target, OrderKind.LOAD_MODEL, name, version)


def change_role(order_id, target, name="prefill"):
    return OrderRequest(order_id, target, OrderKind.CHANGE_ROLE, name)


class OrdererTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.control = LocalControl(self.timer)
        self.configuration = orders_configuration()
        self.engines = OrderEngines(self.timer, self.configuration)
        self.one = await self.orderer("one")

    async def asyncTearDown(self):
        self.assertEqual(0, self.engines.duplicate_runs())
        self.assertEqual(0, self.engines.stale_token_runs())

    async def orderer(self, holder):
        timer = self.timer
        settings = OrderSettings(lease_s=LEASE_S, read_back_s=20.0)
        lease = OrdererLease(timer, self.control, "a", holder, LEASE_S)
        orderer = Orderer(
            timer,
            self.control,
            lease,
            lambda: self.configuration,
            self.engines,
            settings,
        )
        orderer.lease = lease
        task = asyncio.ensure_future(lease.acquire())
        while not task.done():
            await self.timer.advance(0.5)
        self.assertTrue(task.result())
        return orderer

    def start(self, orderer, request):
        return asyncio.ensure_future(orderer.issue(request))

    async def finish(self, orderer, request, duration_s=60.0):
        task = self.start(orderer, request)
        renewal = asyncio.ensure_future(orderer.lease.renew_until_lost())
        await self.timer.advance(duration_s)
        renewal.cancel()
        return task.result()

    def record(self, order_id):
        return self.control.state.section("orders")[order_id]["state"]


class IssueTest(OrdererTestCase):
    async def test_nothing_is_kept_of_the_engines_of_finished_orders(self):
        for number, target in enumerate(self.configuration.targets):
            await self.finish(self.one, change_role(f"o-{number}", target))
        self.assertEqual(0, len(self.one._locks))

    async def test_order_runs_and_is_recorded(self):
        for target in ("fencing-0", "plain-0"):
            record = await self.finish(self.one, change_role(f"o-{target}", target))
            self.assertIs(OrderState.DONE, record.state)
            self.assertEqual("prefill", self.engines.engines[target].report.role)

    async def test_repeated_order_returns_the_first_record(self):
        request = load_model("o1", "plain-0")
        first = await self.finish(self.one, request)
        self.assertEqual(first, await self.finish(self.one, request))
        self.assertEqual(1, len(self.engines.runs()))

    async def test_concurrent_orders_with_one_id_run_once(self):
        self.engines.delay_s = 0.5
        tasks = [self.start(self.one, load_model("o1", "plain-0")) for _ in range(5)]
        await self.timer.advance(8.0)
        self.assertEqual(1, len({task.result() for task in tasks}))
        self.assertEqual(1, len(self.engines.runs()))

    async def test_one_id_for_two_orders_is_an_error(self):
        await self.finish(self.one, load_model("o1", "plain-0"))
        with self.assertRaises(errors.OrderError):
            await self.finish(self.one, load_model("o1", "plain-1"))

    async def test_outcome_after_a_lost_response_is_read_from_reports(self):
        self.engines.lose_responses = True
        self.engines.engines["plain-0"].apply_delay_s = 5.0
        record = await self.finish(self.one, load_model("o1", "plain-0"))
        self.assertIs(OrderState.DONE, record.state)

    async def test_lost_order_is_not_sent_again(self):
        self.engines.lose_orders = True
        record = await self.finish(self.one, load_model("o1", "plain-0"))
        self.assertIs(OrderState.UNSEEN, record.state)
        self.engines.lose_orders = False
        await self.finish(self.one, load_model("o1", "plain-0"))
        self.assertEqual([], self.engines.runs())

    async def test_order_is_not_done_unless_the_engine_reports_its_version(self):
        self.engines.lose_orders = True
        record = await self.finish(self.one, load_model("o1", "plain-0", "m0", "v2"))
        self.assertIs(OrderState.UNSEEN, record.state)

    async def test_loads_respect_the_weight_store_rate_across_orderers(self):
        tasks = [
            self.start(self.one, load_model(f"o{number}", "plain-0", f"m{number + 1}"))
            for number in range(2)
        ]
        await self.timer.advance(3.0)
        self.assertEqual(1, len(self.engines.runs()))
        await self.one.lease.release()
        two = await self.orderer("two")
        task = self.start(two, load_model("o9", "plain-1"))
        await self.timer.advance(1.0)
        self.assertFalse(task.done())
        await self.timer.advance(7.0)
        self.assertEqual(2, len(self.engines.runs()))
        self.assertIsInstance(tasks[1].exception(), errors.UnavailableError)


class TakeoverTest(OrdererTestCase):
    async def test_orderer_fails_between_sending_and_recording_the_outcome(self):
        for target in ("fencing-0", "plain-0"):
            self.engines.engines[target].apply_delay_s = 1.5
            task = self.start(self.one, change_role(f"o-{target}", target))
            await self.timer.advance(0.1)
            task.cancel()
            await self.one.close()
        two = await self.orderer("two")
        resolving = asyncio.ensure_future(two.resolve_pending())
        await self.timer.advance(5.0)
        self.assertTrue(resolving.done())
        for target in ("fencing-0", "plain-0"):
            self.assertEqual("done", self.record(f"o-{target}"))
            record = await self.finish(two, change_role(f"o-{target}", target), 5.0)
            self.assertIs(OrderState.DONE, record.state)
        self.assertEqual(2, len(self.engines.runs()))

    async def test_orderer_fails_between_recording_and_sending(self):
        self.engines.lose_orders = True
        task = self.start(self.one, change_role("o1", "plain-0"))
        await self.timer.advance(0.1)
        task.cancel()
        await self.one.close()
        two = await self.orderer("two")
        resolving = asyncio.ensure_future(two.resolve_pending())
        renewal = asyncio.ensure_future(two.lease.renew_until_lost())
        await self.timer.advance(25.0)
        self.assertTrue(resolving.done())
        renewal.cancel()
        self.assertEqual("unseen", self.record("o1"))

    async def test_process_paused_beyond_its_lease_may_not_issue_orders(self):
        self.timer.jump(LEASE_S + 1)
        two = await self.orderer("two")
        for target in ("fencing-0", "plain-0"):
            with self.assertRaises(errors.UnavailableError):
                await self.finish(self.one, change_role(f"o-{target}", target), 1.0)
        self.assertEqual([], self.engines.runs())
        await self.finish(two, change_role("o9", "plain-0"))

    async def test_process_paused_between_record_and_send_sends_nothing(self):
        propose = self.control.propose

        async def propose_and_pause(name, *arguments):
            response = await propose(name, *arguments)
            if name == "orders.put":
                self.timer.jump(LEASE_S)
            return response

        self.control.propose = propose_and_pause
        task = self.start(self.one, change_role("o1", "plain-0"))
        await self.timer.advance(0.1)
        self.assertEqual([], self.engines.runs())
        self.assertIs(OrderState.NOT_SENT, task.result().state)

    async def check_two_valid_leases(self, target):
        """Issue orders from two orderers that both believe they hold the lease.

        The clock of the first one has stopped, so its lease does not expire.
        """
        stopped_timer = ManualTimer()
        await self.one.lease.release()
        lease = OrdererLease(stopped_timer, self.control, "a", "old", LEASE_S)
        self.assertTrue(await lease.acquire())
        settings = OrderSettings(lease_s=LEASE_S, read_back_s=20.0)
        first = Orderer(
            stopped_timer,
            self.control,
            lease,
            lambda: self.configuration,
            self.engines,
            settings,
        )
        two = await self.orderer("two")
        self.assertTrue(lease.remaining_s())
        self.assertTrue(two.lease.remaining_s())
        await self.finish(two, change_role("o-new", target))
        with self.assertRaises(errors.UnavailableError):
            await first.issue(change_role("o-old", target, "decode"))
        self.assertEqual([("o-new", two.lease.token)], self.engines.runs())

    async def test_two_orderers_with_valid_leases_at_an_engine_with_fencing(self):
        await self.check_two_valid_leases("fencing-0")

    async def test_two_orderers_with_valid_leases_at_an_engine_without_fencing(self):
        await self.check_two_valid_leases("plain-0")

    async def test_order_delayed_past_a_takeover_is_refused_by_fencing(self):
        order = change_role("late", "fencing-0", "decode").to_order(
            self.one.lease.token
        )
        target = self.configuration.targets["fencing-0"]
        two = await self.orderer("two")
        await self.finish(two, change_role("o-new", "fencing-0"))
        late = asyncio.ensure_future(self.engines.order(target, order))
        await self.timer.advance(0.1)
        with self.assertRaises(errors.TargetRefusedError):
            late.result()

    async def test_order_issued_by_both_orderers_runs_once(self):
        self.engines.delay_s = 0.5
        first = self.start(self.one, change_role("o1", "plain-0"))
        await self.timer.advance(0.1)
        two = await self.orderer("two")
        second = self.start(two, change_role("o1", "plain-0"))
        await self.timer.advance(5.0)
        self.assertIs(OrderState.DONE, second.result().state)
        self.assertTrue(first.done())
        self.assertEqual(1, len(self.engines.runs()))
