"""Tests of the pauses in streams by engine, and of the placement that follows."""

import random
import unittest

from endivesill.fleet.pauses import PauseCounts, PauseRates
from endivesill.forwarding.placement import choose_target
from endivesill.forwarding.targets import ResourceDemand
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import MODEL, engine, make_table

NAMES = [f"e{number}@1" for number in range(8)]
LONG = ResourceDemand(prompt_tokens=3_000, memory_tokens=3_372)
SHORT = ResourceDemand(prompt_tokens=2_550, memory_tokens=2_555)


class PauseCountsTest(unittest.TestCase):
    def test_a_report_that_did_not_arrive_is_sent_with_the_next(self):
        counts = PauseCounts()
        counts.note("e1@1", is_late=True)
        rows = counts.take()
        counts.note("e1@1", is_late=False)
        counts.restore(rows)
        self.assertEqual({"e1@1": [2, 1]}, counts.take())
        self.assertEqual({}, counts.take())


class PauseRatesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.rates = PauseRates(self.timer)

    def uneven(self):
        return self.rates.uneven_fractions(NAMES)

    def test_without_reports(self):
        self.assertEqual({}, self.uneven())

    def test_engines_that_are_alike(self):
        source = random.Random(1)
        for name in NAMES:
            late = sum(source.random() < 0.01 for _ in range(2_000))
            self.rates.add({name: [2_000, late]})
        self.assertEqual({}, self.uneven())

    def test_slow_engines(self):
        self.rates.add({name: [1_000, 1] for name in NAMES[2:]})
        self.rates.add({name: [1_000, 30] for name in NAMES[:2]})
        uneven = self.uneven()
        self.assertEqual(set(NAMES[:2]), set(uneven))
        self.assertAlmostEqual(0.026, uneven[NAMES[0]], delta=0.004)

    def test_an_engine_is_believed_slowly(self):
        self.rates.add({name: [1_000, 2] for name in NAMES[1:]})
        self.rates.add({NAMES[0]: [1, 0]})
        self.assertEqual({}, self.uneven())

    def test_a_burst_that_slows_all_engines_is_no_difference(self):
        self.rates.add({name: [500, 100] for name in NAMES})
        self.assertEqual({}, self.uneven())

    async def test_an_engine_that_is_avoided_is_tried_again(self):
        self.rates.add({name: [1_000, 1] for name in NAMES[1:]})
        self.rates.add({NAMES[0]: [300, 12]})
        self.assertEqual({NAMES[0]}, set(self.uneven()))
        await self.timer.advance(300.0)
        self.rates.add({name: [1_000, 1] for name in NAMES[1:]})
        self.assertEqual({}, self.uneven())

    def test_engines_that_are_gone_are_dropped(self):
        self.rates.add({name: [1_000, 1] for name in NAMES[1:]})
        self.rates.add({NAMES[0]: [1_000, 90]})
        self.rates.retain(NAMES[1:])
        self.assertEqual({}, self.uneven())


class UnevenPlacementTest(unittest.TestCase):
    """Replays a calm load on four engines, one of which is slow."""

    def setUp(self):
        engines = [engine(f"e{number}") for number in range(4)]
        self.table = make_table(ManualTimer(), *engines)
        self.targets = self.table.find_all(info.incarnation for info in engines)
        self.slow = self.targets[0]
        self.slow.late_pauses = 0.03

    def place(self, demand):
        target = choose_target(self.targets, MODEL, demand, "a", random.Random(1))
        if target is not None:
            target.reserve(demand)
            target.note_prefill_done(demand)
        return target

    def test_long_generations_go_elsewhere_while_there_is_room(self):
        placed = [self.place(LONG) for _ in range(12)]
        self.assertNotIn(self.slow, placed)

    def test_short_ones_use_the_slow_engine(self):
        for _ in range(20):
            self.place(LONG)
        self.assertIs(self.slow, self.place(SHORT))

    def test_a_slow_engine_is_better_than_none(self):
        placed = [self.place(LONG) for _ in range(40)]
        self.assertIn(self.slow, placed)
        self.assertIsNone(placed[-1])

    def test_engines_that_are_alike_get_alike(self):
        self.slow.late_pauses = 0.0
        placed = [self.place(LONG) for _ in range(12)]
        self.assertEqual({3}, {placed.count(target) for target in self.targets})
