"""The base of the tests that run a fleet on the manual timer."""

import asyncio
import unittest

from bench.memory_fleet import MemoryFleet


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """A fleet that ends with the test.

    Attributes:
      sizes: how many VMs each data centre has.
      seed: the seed of the fleet.
      started: whether all VMs run when the test begins.
    """

    sizes = {"a": 3, "b": 2, "c": 2}
    seed = 7
    started = True

    async def asyncSetUp(self):
        # The loop's debug mode makes a fleet about ten times slower.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = MemoryFleet(self.sizes, seed=self.seed)
        self.timer = self.fleet.timer
        if self.started:
            await self.fleet.start_all()
            self.assertTrue(self.fleet.is_converged())

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def advance_watching(self, duration_s, names):
        """Advance in steps; return all states that others saw of the names."""
        seen = set()
        for _ in range(round(duration_s / 0.05)):
            await self.timer.advance(0.05)
            for name in names:
                seen |= self.fleet.states(name)
        return seen
