"""Tests of the handling of signals."""

import asyncio
import signal
import unittest

from endivesill.stop_signal import StopSignal
from endivesill.timer import ManualTimer


class StopSignalTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_grace_period_starts_with_the_first_signal(self):
        """Signals may come before the process waits for them."""
        timer = ManualTimer()
        stop = StopSignal(timer)
        await timer.advance(1.0)
        first_s = timer.now_s()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.raise_signal(number)
            await asyncio.sleep(0.05)
            await timer.advance(1.0)
        await asyncio.wait_for(stop.wait(), 1)
        self.assertEqual(first_s, stop.received_s)
