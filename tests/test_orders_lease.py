"""Tests of the orderer's lease."""

import asyncio
import unittest

from endivesill import errors
from endivesill.control import LocalControl
from endivesill.orders import OrdererLease
from endivesill.timer import ManualTimer

LEASE_S = 10.0


class OrdererLeaseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.control = LocalControl(self.timer)
        self.one = self.lease("one")
        self.two = self.lease("two")
        self.assertTrue(await self.one.acquire())

    def lease(self, holder):
        return OrdererLease(self.timer, self.control, "a", holder, LEASE_S)

    async def finish(self, coroutine, duration_s):
        task = asyncio.ensure_future(coroutine)
        await self.timer.advance(duration_s)
        return task.result()

    async def test_next_one_waits_out_the_whole_lease(self):
        task = asyncio.ensure_future(self.two.acquire())
        while not task.done():
            await self.timer.advance(0.1)
            held = [lease for lease in (self.one, self.two) if lease.remaining_s()]
            self.assertLessEqual(len(held), 1)
        self.assertTrue(task.result())
        self.assertGreater(self.two.token, self.one.token)

    async def test_lease_that_was_renewed_meanwhile_is_not_taken(self):
        task = asyncio.ensure_future(self.two.acquire())
        await self.timer.advance(LEASE_S - 1)
        self.assertTrue(await self.one.renew())
        await self.timer.advance(3.0)
        self.assertFalse(task.result())
        self.assertGreater(self.one.remaining_s(), 0)

    async def test_two_that_wait_for_it_do_not_both_get_it(self):
        three = self.lease("three")
        tasks = [asyncio.ensure_future(x.acquire()) for x in (self.two, three)]
        await self.timer.advance(2 * LEASE_S)
        self.assertEqual([False, True], sorted(task.result() for task in tasks))

    async def test_released_lease_is_free_at_once(self):
        await self.one.release()
        self.assertTrue(await self.finish(self.two.acquire(), 0.1))
        self.assertEqual(0.0, self.one.remaining_s())

    async def test_holder_counts_from_before_it_asked(self):
        await self.one.release()
        slow = self.lease("slow")
        propose = self.control.propose

        async def late(*arguments):
            answer = await propose(*arguments)
            await self.timer.sleep(4.0)
            return answer

        self.control.propose = late
        self.assertTrue(await self.finish(slow.acquire(), 4.0))
        self.assertAlmostEqual(LEASE_S - 4.0, slow.remaining_s())

    async def test_paused_process_wakes_without_its_lease(self):
        self.timer.jump(LEASE_S + 0.1)
        self.assertEqual(0.0, self.one.remaining_s())

    async def test_renewal_answered_after_the_take_over_does_not_revive_it(self):
        await self.finish(self.two.acquire(), 2 * LEASE_S)
        self.assertFalse(await self.one.renew())
        self.assertEqual(0.0, self.one.remaining_s())

    async def test_lease_ends_when_there_is_no_quorum(self):
        task = asyncio.ensure_future(self.one.renew_until_lost())
        self.control.failure = errors.UnavailableError("no quorum")
        await self.timer.advance(LEASE_S + 0.1)
        self.assertEqual(0.0, self.one.remaining_s())
        await self.timer.advance(LEASE_S)
        self.assertTrue(task.done())

    async def test_kept_lease_lasts(self):
        task = asyncio.ensure_future(self.one.renew_until_lost())
        await self.timer.advance(20 * LEASE_S)
        self.assertGreater(self.one.remaining_s(), LEASE_S / 2)
        task.cancel()
