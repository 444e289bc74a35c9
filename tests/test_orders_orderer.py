"""Tests of giving orders: each id runs once, none with an old token."""

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


def model(order_id, target, name="m1", version=""):
    return OrderRequest(order_id, target, OrderKind.LOAD_MODEL, name, version)


def role(order_id, target, name="prefill"):
    return OrderRequest(order_id, target, OrderKind.CHANGE_ROLE, name)


class OrdererTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.control = LocalControl(self.timer)
        self.configuration = orders_configuration()
        self.engines = OrderEngines(self.timer, self.configuration)
        self.one = await self.orderer("one")

    async def asyncTearDown(self):
        self.assertEqual(0, self.engines.run_twice())
        self.assertEqual(0, self.engines.old_token_runs())

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
        keeping = asyncio.ensure_future(orderer.lease.renew_until_lost())
        await self.timer.advance(duration_s)
        keeping.cancel()
        return task.result()

    def record(self, order_id):
        return self.control.state.section("orders")[order_id]["state"]


class GiveTest(OrdererTestCase):
    async def test_order_runs_and_is_recorded(self):
        for target in ("fencing-0", "plain-0"):
            record = await self.finish(self.one, role(f"o-{target}", target))
            self.assertIs(OrderState.DONE, record.state)
            self.assertEqual("prefill", self.engines.engines[target].report.role)

    async def test_resent_order_gets_the_first_answer(self):
        request = model("o1", "plain-0")
        first = await self.finish(self.one, request)
        self.assertEqual(first, await self.finish(self.one, request))
        self.assertEqual(1, len(self.engines.runs()))

    async def test_raced_orders_with_one_id_run_once(self):
        self.engines.delay_s = 0.5
        tasks = [self.start(self.one, model("o1", "plain-0")) for _ in range(5)]
        await self.timer.advance(8.0)
        self.assertEqual(1, len({task.result() for task in tasks}))
        self.assertEqual(1, len(self.engines.runs()))

    async def test_one_id_for_two_orders_is_an_error(self):
        await self.finish(self.one, model("o1", "plain-0"))
        with self.assertRaises(errors.OrderError):
            await self.finish(self.one, model("o1", "plain-1"))

    async def test_lost_answer_is_read_back(self):
        self.engines.lose_answers = True
        self.engines.engines["plain-0"].work_s = 5.0
        record = await self.finish(self.one, model("o1", "plain-0"))
        self.assertIs(OrderState.DONE, record.state)

    async def test_lost_order_is_not_sent_again(self):
        self.engines.lose_orders = True
        record = await self.finish(self.one, model("o1", "plain-0"))
        self.assertIs(OrderState.UNSEEN, record.state)
        self.engines.lose_orders = False
        await self.finish(self.one, model("o1", "plain-0"))
        self.assertEqual([], self.engines.runs())

    async def test_version_that_an_engine_does_not_show_is_not_called_done(self):
        self.engines.lose_orders = True
        record = await self.finish(self.one, model("o1", "plain-0", "m0", "v2"))
        self.assertIs(OrderState.UNSEEN, record.state)

    async def test_loads_keep_to_the_weight_store_s_rate_across_orderers(self):
        tasks = [
            self.start(self.one, model(f"o{number}", "plain-0", f"m{number + 1}"))
            for number in range(2)
        ]
        await self.timer.advance(3.0)
        self.assertEqual(1, len(self.engines.runs()))
        await self.one.lease.release()
        two = await self.orderer("two")
        task = self.start(two, model("o9", "plain-1"))
        await self.timer.advance(1.0)
        self.assertFalse(task.done())
        await self.timer.advance(7.0)
        self.assertEqual(2, len(self.engines.runs()))
        self.assertIsInstance(tasks[1].exception(), errors.UnavailableError)


class TakeOverTest(OrdererTestCase):
    async def test_orderer_that_dies_between_order_and_record(self):
        for target in ("fencing-0", "plain-0"):
            self.engines.engines[target].work_s = 1.5
            task = self.start(self.one, role(f"o-{target}", target))
            await self.timer.advance(0.1)
            task.cancel()
            await self.one.close()
        two = await self.orderer("two")
        settling = asyncio.ensure_future(two.resolve_pending())
        await self.timer.advance(5.0)
        self.assertTrue(settling.done())
        for target in ("fencing-0", "plain-0"):
            self.assertEqual("done", self.record(f"o-{target}"))
            record = await self.finish(two, role(f"o-{target}", target), 5.0)
            self.assertIs(OrderState.DONE, record.state)
        self.assertEqual(2, len(self.engines.runs()))

    async def test_orderer_that_dies_between_record_and_order(self):
        self.engines.lose_orders = True
        task = self.start(self.one, role("o1", "plain-0"))
        await self.timer.advance(0.1)
        task.cancel()
        await self.one.close()
        two = await self.orderer("two")
        settling = asyncio.ensure_future(two.resolve_pending())
        keeping = asyncio.ensure_future(two.lease.renew_until_lost())
        await self.timer.advance(25.0)
        self.assertTrue(settling.done())
        keeping.cancel()
        self.assertEqual("unseen", self.record("o1"))

    async def test_paused_process_that_wakes_without_its_lease_may_not_order(self):
        self.timer.jump(LEASE_S + 1)
        two = await self.orderer("two")
        for target in ("fencing-0", "plain-0"):
            with self.assertRaises(errors.UnavailableError):
                await self.finish(self.one, role(f"o-{target}", target), 1.0)
        self.assertEqual([], self.engines.runs())
        await self.finish(two, role("o9", "plain-0"))

    async def test_process_paused_between_record_and_send_sends_nothing(self):
        propose = self.control.propose

        async def pausing(name, *arguments):
            answer = await propose(name, *arguments)
            if name == "orders.put":
                self.timer.jump(LEASE_S)
            return answer

        self.control.propose = pausing
        task = self.start(self.one, role("o1", "plain-0"))
        await self.timer.advance(0.1)
        self.assertEqual([], self.engines.runs())
        self.assertIs(OrderState.NOT_SENT, task.result().state)

    async def believing_at_once(self, target):
        """Give orders by two orderers, the first of which has a stopped clock."""
        stopped = ManualTimer()
        await self.one.lease.release()
        lease = OrdererLease(stopped, self.control, "a", "old", LEASE_S)
        self.assertTrue(await lease.acquire())
        settings = OrderSettings(lease_s=LEASE_S, read_back_s=20.0)
        first = Orderer(
            stopped,
            self.control,
            lease,
            lambda: self.configuration,
            self.engines,
            settings,
        )
        two = await self.orderer("two")
        self.assertTrue(lease.remaining_s())
        self.assertTrue(two.lease.remaining_s())
        await self.finish(two, role("o-new", target))
        with self.assertRaises(errors.UnavailableError):
            await first.issue(role("o-old", target, "decode"))
        self.assertEqual([("o-new", two.lease.token)], self.engines.runs())

    async def test_two_orderers_believing_at_once_at_an_engine_with_fencing(self):
        await self.believing_at_once("fencing-0")

    async def test_two_orderers_believing_at_once_at_an_engine_without_fencing(self):
        await self.believing_at_once("plain-0")

    async def test_order_delayed_past_the_take_over_is_refused_by_fencing(self):
        order = role("late", "fencing-0", "decode").to_order(self.one.lease.token)
        target = self.configuration.targets["fencing-0"]
        two = await self.orderer("two")
        await self.finish(two, role("o-new", "fencing-0"))
        late = asyncio.ensure_future(self.engines.order(target, order))
        await self.timer.advance(0.1)
        with self.assertRaises(errors.TargetRefusedError):
            late.result()

    async def test_same_order_given_to_both_orderers_runs_once(self):
        self.engines.delay_s = 0.5
        first = self.start(self.one, role("o1", "plain-0"))
        await self.timer.advance(0.1)
        two = await self.orderer("two")
        second = self.start(two, role("o1", "plain-0"))
        await self.timer.advance(5.0)
        self.assertIs(OrderState.DONE, second.result().state)
        self.assertTrue(first.done())
        self.assertEqual(1, len(self.engines.runs()))
