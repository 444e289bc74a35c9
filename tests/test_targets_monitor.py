"""Tests of the target monitor."""

import unittest

from endivesill import errors
from endivesill.routing import PrefixIndex
from endivesill.targets import CacheEvent, CacheEvents, LoadReport
from endivesill.targets.monitor import TargetMonitor
from endivesill.timer import ManualTimer
from tests.routing_fakes import make_source, make_target


class FakeAdapter:
    """An engine adapter whose answers the test sets."""

    def __init__(self):
        self.alive = True
        self.running = 1
        self.events = []
        self.polls = []

    async def load(self, target):
        self.polls.append(("load", target.name))
        if not self.alive:
            raise errors.TargetError("no answer")
        return LoadReport("boot", self.running, 0, 60_000)

    async def cache_events(self, target, after):
        self.polls.append(("cache", after))
        found = tuple(event for event in self.events if event.sequence > after)
        return CacheEvents("boot", 1, found)


class FakeSink:
    """Records the calls of the monitor."""

    def __init__(self):
        self.calls = []

    def observe_load(self, target, report):
        self.calls.append("load")

    def observe_silence(self, target):
        self.calls.append("silence")

    def observe_cache_cleared(self, target):
        self.calls.append("cleared")


class TargetMonitorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.adapter = FakeAdapter()
        self.sink = FakeSink()
        self.index = PrefixIndex()
        self.owned = {"e0"}
        source = make_source([make_target("e0"), make_target("e1")])
        self.monitor = TargetMonitor(
            self.timer,
            source.current,
            self.adapter,
            lambda target: target.name in self.owned,
            self.sink,
            self.index,
        )
        await self.monitor.start()
        self.addAsyncCleanup(self.monitor.stop)

    async def test_only_owned_targets_are_polled(self):
        await self.timer.advance(10.0)
        names = {name for kind, name in self.adapter.polls if kind == "load"}
        self.assertEqual({"e0"}, names)

    async def test_silence_is_reported_once_and_recovery_is_noticed(self):
        self.adapter.alive = False
        await self.timer.advance(20.0)
        self.assertEqual(["silence"], self.sink.calls)
        self.adapter.alive = True
        await self.timer.advance(5.0)
        self.assertIn("load", self.sink.calls)

    async def test_idle_target_is_polled_so_that_a_notice_is_seen_within_two_seconds(
        self,
    ):
        self.adapter.running = 0
        await self.timer.advance(10.0)
        for _ in range(20):
            seen = self.sink.calls.count("load")
            await self.timer.advance(1.5)
            self.assertGreater(self.sink.calls.count("load"), seen)

    async def test_gap_in_cache_events_leads_to_a_resync(self):
        self.adapter.events = [CacheEvent(1, "stored", "a", 128)]
        await self.timer.advance(6.0)
        self.adapter.events.append(CacheEvent(3, "stored", "c", 128))
        await self.timer.advance(6.0)
        self.assertTrue(self.index.needs_resync("e0"))
        self.adapter.events.insert(1, CacheEvent(2, "evicted", "a", 128))
        await self.timer.advance(30.0)
        self.assertFalse(self.index.needs_resync("e0"))
        self.assertEqual(frozenset(), self.index.holders(("a",)))

    async def test_cleared_cache_is_reported(self):
        self.adapter.events = [CacheEvent(1, "cleared", "", 0)]
        await self.timer.advance(6.0)
        self.assertIn("cleared", self.sink.calls)
