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

    async def test_next_orderer_waits_for_the_full_lease(self):
        task = asyncio.ensure_future(self.two.acquire())
        while not task.done():
            await self.timer.advance(0.1)
            held = [lease for lease in (self.one, self.two) if lease.remaining_s()]
            self.assertLessEqual(len(held), 1)
        self.assertTrue(task.result())
        self.assertGreater(self.two.token, self.one.token)

    async def test_lease_that_was_renewed_meanwhile_is_not_taken_over(self):
        task = asyncio.ensure_future(self.two.acquire())
        await self.timer.advance(LEASE_S - 1)
        self.assertTrue(await self.one.renew())
        await self.timer.advance(3.0)
        self.assertFalse(task.result())
        self.assertGreater(self.one.remaining_s(), 0)

    async def test_only_one_of_two_waiting_vms_is_granted_the_lease(self):
        three = self.lease("three")
        tasks = [asyncio.ensure_future(x.acquire()) for x in (self.two, three)]
        await self.timer.advance(2 * LEASE_S)
        self.assertEqual([False, True], sorted(task.result() for task in tasks))

    async def test_released_lease_can_be_acquired_immediately(self):
        await self.one.release()
        self.assertTrue(await self.finish(self.two.acquire(), 0.1))
        self.assertEqual(0.0, self.one.remaining_s())

    async def test_holder_measures_its_lease_from_before_the_proposal(self):
        await self.one.release()
        slow = self.lease("slow")
        propose = self.control.propose

        async def delayed(*arguments):
            response = await propose(*arguments)
            await self.timer.sleep(4.0)
            return response

        self.control.propose = delayed
        self.assertTrue(await self.finish(slow.acquire(), 4.0))
        self.assertAlmostEqual(LEASE_S - 4.0, slow.remaining_s())

    async def test_process_paused_beyond_its_lease_no_longer_holds_it(self):
        self.timer.jump(LEASE_S + 0.1)
        self.assertEqual(0.0, self.one.remaining_s())

    async def test_renewal_after_a_takeover_does_not_revive_the_lease(self):
        await self.finish(self.two.acquire(), 2 * LEASE_S)
        self.assertFalse(await self.one.renew())
        self.assertEqual(0.0, self.one.remaining_s())

    async def test_lease_expires_without_a_quorum(self):
        task = asyncio.ensure_future(self.one.renew_until_lost())
        self.control.failure = errors.UnavailableError("no quorum")
        await self.timer.advance(LEASE_S + 0.1)
        self.assertEqual(0.0, self.one.remaining_s())
        await self.timer.advance(LEASE_S)
        self.assertTrue(task.done())

    async def test_renewed_lease_stays_held(self):
        task = asyncio.ensure_future(self.one.renew_until_lost())
        await self.timer.advance(20 * LEASE_S)
        self.assertGreater(self.one.remaining_s(), LEASE_S / 2)
        task.cancel()
