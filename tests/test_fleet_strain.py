"""Tests of engines that are strained for a moment."""

import random
import unittest

from endivesill import errors, events
from endivesill.fleet.strain import (
    MIN_PAUSES,
    NOTICE_PERIOD_S,
    STRAIN_S,
    PauseWatch,
    StrainedEngines,
    StrainNotices,
)
from endivesill.forwarding.placement import choose_target
from endivesill.forwarding.targets import ResourceDemand
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import MODEL, engine, make_table

LIMIT_S = 0.18
USUAL_S = 0.035
PROMPT_S = 0.074
SPELL_S = 0.088


class PauseWatchTest(unittest.TestCase):
    """Pauses as at the slower engines of a calm day with uneven engines."""

    def watch(self, *pauses_s, limit_s=LIMIT_S):
        watch = PauseWatch(limit_s)
        return [watch.note(pause_s) for pause_s in pauses_s]

    def test_a_spell_and_a_prompt_are_strain(self):
        usual = [USUAL_S] * MIN_PAUSES
        for pause_s in (PROMPT_S, SPELL_S):
            self.assertEqual([False] * MIN_PAUSES + [True], self.watch(*usual, pause_s))

    def test_a_faster_engine_bears_both(self):
        self.assertFalse(any(self.watch(*[0.016] * MIN_PAUSES, 0.034, 0.04)))

    def test_a_slow_engine_is_not_always_strained(self):
        self.assertFalse(any(self.watch(*[SPELL_S] * 30)))

    def test_a_spell_is_seen_to_its_end(self):
        seen = self.watch(*[USUAL_S] * 16, *[SPELL_S] * 7, USUAL_S)
        self.assertEqual([True] * 7 + [False], seen[16:])

    def test_a_stream_that_has_just_begun_knows_no_usual_pause(self):
        self.assertFalse(any(self.watch(USUAL_S, SPELL_S, SPELL_S)))

    def test_routes_that_allow_any_pause(self):
        self.assertFalse(any(self.watch(*[USUAL_S] * 9, 1.0, limit_s=0.0)))


class Transport:
    """Records the notices; fails while `is_down`."""

    def __init__(self):
        self.sent = []
        self.is_down = False

    async def call(self, address, path, message, timeout_s):
        if self.is_down:
            raise errors.PeerUnreachableError("down")
        self.sent.append(message["engines"])
        return {}


class NoticeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.transport = Transport()
        self.leader = "leader"
        self.notices = StrainNotices(self.timer, self.transport, lambda: self.leader)

    async def test_a_strained_engine_is_told_once_in_a_period(self):
        for _ in range(10):
            self.notices.note("e1@1")
            await self.timer.advance(NOTICE_PERIOD_S / 10)
        await self.timer.advance(0.001)
        self.notices.note("e1@1")
        await self.timer.advance(0.01)
        self.assertEqual([["e1@1"], ["e1@1"]], self.transport.sent)

    async def test_engines_that_are_strained_together_share_a_notice(self):
        self.notices.note("e2@1")
        self.notices.note("e1@1")
        await self.timer.advance(0.01)
        self.assertEqual([["e1@1", "e2@1"]], self.transport.sent)

    async def test_nobody_is_told_without_a_leader(self):
        self.leader = None
        self.notices.note("e1@1")
        await self.timer.advance(0.01)
        self.assertEqual([], self.transport.sent)

    async def test_a_notice_that_is_lost_is_followed_by_another(self):
        self.transport.is_down = True
        self.notices.note("e1@1")
        await self.timer.advance(NOTICE_PERIOD_S)
        self.transport.is_down = False
        self.notices.note("e1@1")
        await self.timer.advance(0.01)
        self.assertEqual([["e1@1"]], self.transport.sent)

    async def test_a_leader_that_knows_no_notices_gives_few_log_lines(self):
        self.transport.is_down = True
        lines = []
        self.addCleanup(events.listen(lambda kind, fields: lines.append(kind.name)))
        for _ in range(30):
            self.notices.note("e1@1")
            await self.timer.advance(NOTICE_PERIOD_S)
        self.assertLessEqual(lines.count("strain-unreported"), 3)

    async def test_unlisted_engines_are_forgotten(self):
        self.notices.note("e1@1")
        self.notices.retain([])
        self.assertEqual({}, self.notices._next_s)


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    """A prompt comes while some engines are strained."""

    def setUp(self):
        self.timer = ManualTimer()
        self.table = make_table(self.timer, engine("e1"), engine("e22"))
        self.strained = StrainedEngines(self.timer)
        self.demand = ResourceDemand(3_000, 3_400, LIMIT_S)

    def choose(self):
        targets = self.table.candidates("llm", ())
        current = self.strained.current()
        for target in targets:
            target.is_strained = target.info.incarnation in current
        chosen = choose_target(targets, MODEL, self.demand, "", random.Random(1))
        return chosen.info.identity

    async def test_it_goes_to_another_engine_although_that_has_more_to_do(self):
        self.table.find_all(["e22@1"])[0].reserve(self.demand)
        self.assertEqual("e1", self.choose())
        await self.strained.handle({"engines": ["e1@1"]})
        self.assertEqual("e22", self.choose())
        await self.timer.advance(STRAIN_S)
        self.assertEqual("e1", self.choose())

    async def test_it_goes_there_where_no_other_has_room(self):
        for _ in range(2):
            self.table.find_all(["e22@1"])[0].reserve(self.demand)
        await self.strained.handle({"engines": ["e1@1"]})
        self.assertEqual("e22", self.choose())
        self.table.find_all(["e22@1"])[0].reserve(self.demand)
        self.assertEqual("e1", self.choose())
