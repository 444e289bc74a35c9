"""Base of the tests that run a fleet on the manual timer."""

import asyncio
import unittest

from bench.memory_fleet import MemoryFleet


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """A fleet that is stopped after the test.

    Attributes:
      sizes: number of VMs in each data centre.
      seed: seed of the fleet.
      started: whether all VMs run before the test starts.
    """

    sizes = {"a": 3, "b": 2, "c": 2}
    seed = 7
    started = True

    async def asyncSetUp(self):
        # Debug mode slows a fleet down by a factor of about ten.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = MemoryFleet(self.sizes, seed=self.seed)
        self.timer = self.fleet.timer
        if self.started:
            await self.fleet.start_all()
            self.assertTrue(self.fleet.is_converged())

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def advance_watching(self, duration_s, names):
        """Advance in steps; return all states in which other VMs saw the names."""
        seen = set()
        for _ in range(round(duration_s / 0.05)):
            await self.timer.advance(0.05)
            for name in names:
                seen |= self.fleet.states(name)
        return seen
