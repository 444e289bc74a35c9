"""Base class of the tests that run a fleet on the manual timer."""

import asyncio
import unittest

from bench.memory_fleet import MemoryFleet


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a fleet on a simulated network for each test.

    Attributes:
      sizes: the number of VMs by data centre.
      seed: the seed of the fleet's random choices.
      started: whether all VMs are started before the test.
    """

    sizes = {"a": 3, "b": 2, "c": 2}
    seed = 7
    started = True

    async def asyncSetUp(self):
        # Debug mode of the event loop slows a fleet down about ten times.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = MemoryFleet(self.sizes, seed=self.seed)
        self.timer = self.fleet.timer
        if self.started:
            await self.fleet.start_all()
            self.assertTrue(self.fleet.is_converged())

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def advance_watching(self, duration_s, names):
        """Advance in steps of 50 ms; return all states that other VMs saw."""
        seen = set()
        for _ in range(round(duration_s / 0.05)):
            await self.timer.advance(0.05)
            for name in names:
                seen |= self.fleet.states(name)
        return seen
