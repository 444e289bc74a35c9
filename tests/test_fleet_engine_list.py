"""Tests of the reader of the platform's engine list."""

import asyncio
import unittest

import attrs

from endivesill import errors
from endivesill.fleet.engine_list import (
    EngineListReader,
    EngineListSource,
    list_to_message,
)
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import engine


class FakeSource(EngineListSource):
    def __init__(self):
        self.engines = []
        self.fails = False

    async def read(self):
        if self.fails:
            raise errors.UnavailableError("set by the test")
        return self.engines


class EngineListReaderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.source = FakeSource()
        self.reader = EngineListReader(self.timer, self.source)

    async def test_the_number_increases_when_engines_change(self):
        self.source.engines = [engine("e1", cold_s=2.0)]
        self.assertTrue(await self.reader.read(3))
        self.assertEqual([3, 1], self.reader.current.stamp)
        self.source.engines = [engine("e1", cold_s=1.5)]
        self.assertFalse(await self.reader.read(3))
        self.source.engines = [engine("e1", cold_s=0.0)]
        self.assertTrue(await self.reader.read(3))
        self.assertEqual([3, 2], self.reader.current.stamp)

    async def test_the_list_of_a_new_term_is_newer(self):
        await self.reader.read(3)
        self.assertTrue(await self.reader.read(4))
        self.assertGreater([4, 1], [3, 9])
        self.assertEqual([4, 1], self.reader.current.stamp)

    async def test_the_last_list_is_kept_when_the_platform_fails(self):
        self.source.engines = [engine("e1")]
        await self.reader.read(1)
        self.source.fails = True
        self.assertFalse(await self.reader.read(1))
        self.assertEqual(["e1@1"], list(self.reader.current.engines))

    async def test_a_departure_counts_before_the_list_shows_it(self):
        self.reader.use_departure_sources(lambda: frozenset({"e1@1"}), frozenset)
        self.source.engines = [engine("e1"), engine("e2")]
        await self.reader.read(1)
        leaving = [
            e.identity for e in self.reader.current.engines.values() if e.is_draining
        ]
        self.assertEqual(["e1"], leaving)

    async def test_an_engine_that_is_not_verified_counts_as_draining(self):
        verified = {"e1"}
        self.reader.use_departure_sources(
            frozenset, frozenset, lambda engine: engine.identity in verified
        )
        self.source.engines = [engine("e1"), engine("e2")]
        await self.reader.read(1)
        self.assertTrue(self.reader.current.engines["e2@1"].is_draining)
        verified.add("e2")
        self.assertTrue(self.reader.apply_departures())
        self.assertFalse(self.reader.current.engines["e2@1"].is_draining)

    async def test_departures_are_merged_between_two_reads(self):
        leaving = set()
        with_notice = set()
        self.reader.use_departure_sources(
            lambda: frozenset(leaving), lambda: frozenset(with_notice)
        )
        self.assertFalse(self.reader.apply_departures())
        self.source.engines = [engine("e1"), engine("e2")]
        await self.reader.read(1)
        self.assertFalse(self.reader.apply_departures())
        leaving.add("e1@1")
        self.assertTrue(self.reader.apply_departures())
        self.assertEqual([1, 2], self.reader.current.stamp)
        self.assertTrue(self.reader.current.engines["e1@1"].is_draining)
        with_notice.add("e1@1")
        self.assertTrue(self.reader.apply_departures())
        self.assertTrue(self.reader.current.engines["e1@1"].has_notice)

    async def test_the_rate_limit_of_the_platform_is_kept(self):
        self.source.min_period_s = 3.0
        waiting = asyncio.ensure_future(self.reader.wait_until_due())
        await self.timer.advance(2.9)
        self.assertFalse(waiting.done())
        await self.timer.advance(0.2)
        self.assertTrue(waiting.done())

    async def test_remaining_cold_time_is_as_of_now(self):
        self.source.engines = [engine("e1", cold_s=2.0)]
        await self.reader.read(1)
        message = list_to_message(self.reader.current, self.timer.now_s() + 0.5)
        self.assertEqual(1.5, message["engines"][0]["cold_s"])
        # All fields but the version, which entries of earlier builds do not know.
        row = attrs.asdict(engine("e1", cold_s=1.5))
        self.assertEqual("", row.pop("version"))
        self.assertEqual(row, message["engines"][0])
