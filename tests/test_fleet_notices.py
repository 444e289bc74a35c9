"""Tests of what engines announce about further requests."""

import math
import unittest

from endivesill.fleet.notices import (
    DEFAULT_PAUSE_S,
    MAX_PAUSE_S,
    UNLISTED_TTL_S,
    EngineNotices,
)
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import engine

ENGINE = engine("e1")


class PauseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.notices = EngineNotices(self.timer)

    async def test_a_pause_lasts_as_long_as_the_engine_asks(self):
        self.notices.note_pause(ENGINE, 1.25)
        await self.timer.advance(1.24)
        self.assertTrue(self.notices.is_paused(ENGINE))
        await self.timer.advance(0.02)
        self.assertFalse(self.notices.is_paused(ENGINE))

    async def test_a_shorter_pause_does_not_end_a_longer_one(self):
        self.notices.note_pause(ENGINE, 5.0)
        self.notices.note_pause(ENGINE, 0.1)
        await self.timer.advance(4.9)
        self.assertTrue(self.notices.is_paused(ENGINE))

    def test_odd_pauses_are_bounded(self):
        for asked_s, expected_s in (
            (1e18, MAX_PAUSE_S),
            (-3.0, 0.0),
            (math.nan, DEFAULT_PAUSE_S),
        ):
            notices = EngineNotices(self.timer)
            notices.note_pause(ENGINE, asked_s)
            pause_s = notices.pause_end_s(ENGINE) - self.timer.now_s()
            self.assertAlmostEqual(expected_s, pause_s)

    def test_a_pause_binds_one_incarnation(self):
        self.notices.note_pause(ENGINE, 5.0)
        restarted = engine("e1", incarnation="e1@2")
        self.assertFalse(self.notices.is_paused(restarted))


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.notices = EngineNotices(self.timer)

    async def test_a_departure_outlives_reads_of_the_list_without_the_engine(self):
        self.assertTrue(self.notices.note_leaving(ENGINE, "response"))
        self.assertFalse(self.notices.note_leaving(ENGINE, "response"))
        self.notices.retain([])
        await self.timer.advance(UNLISTED_TTL_S - 1)
        self.notices.retain([ENGINE.incarnation])
        await self.timer.advance(UNLISTED_TTL_S - 1)
        self.notices.retain([])
        self.assertTrue(self.notices.is_leaving(ENGINE.incarnation))

    async def test_notices_of_engines_that_are_gone_are_dropped(self):
        self.notices.note_leaving(ENGINE, "response")
        self.notices.note_pause(ENGINE, 1.0)
        self.notices.retain([])
        await self.timer.advance(UNLISTED_TTL_S + 1)
        self.notices.retain([])
        self.assertEqual(frozenset(), self.notices.leaving())
        self.assertEqual(float("-inf"), self.notices.pause_end_s(ENGINE))
