"""Tests of the timer service."""

import asyncio
import unittest

from endivesill import errors
from endivesill.timer import ManualTimer


class ManualTimerTest(unittest.IsolatedAsyncioTestCase):
    async def test_sleep_ends_after_its_delay(self):
        timer = ManualTimer()
        task = asyncio.ensure_future(timer.sleep(2.0))
        await timer.advance(1.9)
        self.assertFalse(task.done())
        await timer.advance(0.2)
        self.assertTrue(task.done())

    async def test_wait_for_raises_at_the_time_limit(self):
        timer = ManualTimer()
        future = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(timer.wait_for(future, 1.0))
        await timer.advance(1.1)
        with self.assertRaises(errors.DeadlineExceededError):
            task.result()

    async def test_a_result_whose_caller_is_cancelled_is_not_lost(self):
        """Guards against connections that nobody closes."""
        timer = ManualTimer()
        lost = []
        for is_cancelled, has_result in ((True, True), (False, True), (True, False)):
            future = asyncio.get_running_loop().create_future()
            task = asyncio.ensure_future(timer.wait_for(future, 1.0, lost.append))
            await asyncio.sleep(0)
            if has_result:
                future.set_result(7)
            if is_cancelled:
                task.cancel()
            await asyncio.wait({task})
            self.assertEqual(is_cancelled, task.cancelled())
        self.assertEqual([7], lost)

    async def test_periodic_calls_repeat_until_cancelled(self):
        timer = ManualTimer()
        calls = []
        handle = timer.call_every(1.0, lambda: calls.append(timer.now_s()))
        await timer.advance(3.5)
        handle.cancel()
        await timer.advance(3.0)
        self.assertEqual([1001.0, 1002.0, 1003.0], calls)
