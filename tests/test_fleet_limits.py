"""Tests of engines that limit the rate of requests from all entries together."""

import asyncio
import unittest

from tests.limited_fleet import FACTOR, SLACK, WINDOW_S, LimitedFleet


class LimitedFleetTestCase(unittest.IsolatedAsyncioTestCase):
    async def fleet(self, entries, *names):
        # Debug mode slows a fleet down about ten times.
        asyncio.get_running_loop().set_debug(False)
        fleet = LimitedFleet(*names)
        self.addAsyncCleanup(fleet.close)
        await fleet.start()
        for _ in range(entries):
            fleet.add_entry()
        # The leases of an earlier leader may be in force for 4 s.
        await fleet.timer.advance(6.0)
        return fleet

    def assert_limit_kept(self, engine, limit_per_s, since_s=0.0):
        allowed = FACTOR * limit_per_s * WINDOW_S + SLACK
        self.assertLessEqual(engine.most_in_window(since_s), allowed)


class SumOverEntriesTest(LimitedFleetTestCase):
    async def test_seven_entries_keep_to_the_limit_together(self):
        fleet = await self.fleet(7, "s1", "s2", "s3")
        limited = fleet.engines["s1@1"]
        limited.limit_per_s = 2.4
        await fleet.drive(12.0, per_s=40.0)
        self.assert_limit_kept(limited, 2.4)

    async def test_one_request_at_each_of_a_thousand_entries(self):
        """All entries know of the limit, and have sent nothing for long."""
        fleet = await self.fleet(1_000, "s1")
        limited = fleet.engines["s1@1"]
        limited.limit_per_s = 2.4
        await fleet.drive(2.0, per_s=5.0)
        for entry in fleet.entries:
            limited.told_s.setdefault(entry.address, fleet.timer.now_s())
        await fleet.timer.advance(3.0)
        for entry in fleet.entries:
            fleet.start_send(entry)
        await fleet.drive(1.0, per_s=1.0)
        self.assert_limit_kept(limited, 2.4)
