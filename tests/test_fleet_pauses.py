"""Tests of the pauses in streams by engine, and of the placement that follows."""

import random
import unittest

from endivesill.duration_buckets import bucket_of
from endivesill.fleet.pauses import PauseCounts, PauseRates
from endivesill.forwarding.placement import (
    choose_backup,
    choose_destination,
    choose_target,
)
from endivesill.forwarding.targets import ResourceDemand
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import MODEL, engine, make_table

NAMES = [f"e{number}@1" for number in range(8)]
LIMIT_S = 0.18
LONG = ResourceDemand(3_000, 3_372, LIMIT_S)
SHORT = ResourceDemand(2_550, 2_552, LIMIT_S)


def pauses(usual_s, count, spells=0.15, slowness=2.5):
    """Return the row of an engine that is slow for a part of the time."""
    slow = round(spells * count)
    row = {str(bucket_of(usual_s)): count - slow}
    if slow:
        bucket = str(bucket_of(slowness * usual_s))
        row[bucket] = row.get(bucket, 0) + slow
    return row


def names(targets):
    return [target.info.identity for target in targets if target is not None]


class PauseCountsTest(unittest.TestCase):
    def test_a_report_that_did_not_arrive_is_sent_with_the_next(self):
        counts = PauseCounts()
        counts.note("e1@1", 0.03)
        rows = counts.take()
        counts.note("e1@1", 0.03)
        counts.restore(rows)
        self.assertEqual({"e1@1": {str(bucket_of(0.03)): 2}}, counts.take())
        self.assertEqual({}, counts.take())


class PauseRatesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.rates = PauseRates(self.timer)

    def late(self, limit_s=LIMIT_S):
        expected = self.rates.expect(NAMES)
        return {name: e.late_fraction(limit_s) for name, e in expected.items()}

    def test_without_reports(self):
        self.assertEqual({}, self.late())

    def test_engines_that_are_alike(self):
        self.rates.add({name: pauses(0.074, 500) for name in NAMES})
        self.assertEqual(1, len(set(self.late().values())))

    def test_most_engines_are_slow(self):
        self.rates.add({name: pauses(0.08, 500) for name in NAMES[2:]})
        self.rates.add({name: pauses(0.034, 500) for name in NAMES[:2]})
        late = self.late()
        self.assertEqual([0.0, 0.0], [late[name] for name in NAMES[:2]])
        self.assertGreater(late[NAMES[2]], 0.1)

    def test_a_slow_engine_bears_its_load_or_a_spell(self):
        self.rates.add({name: pauses(0.034, 500) for name in NAMES[1:]})
        self.rates.add({NAMES[0]: pauses(0.08, 100)})
        late = self.late()
        self.assertAlmostEqual(0.15, late.pop(NAMES[0]), delta=0.02)
        self.assertEqual({0.0}, set(late.values()))

    def test_one_is_known_from_a_few_events_without_any_spell(self):
        self.rates.add({name: pauses(0.034, 500) for name in NAMES[1:]})
        self.rates.add({NAMES[0]: pauses(0.08, 20, spells=0.0)})
        self.assertEqual(0.0, self.late()[NAMES[0]])
        self.rates.add({NAMES[0]: pauses(0.08, 10, spells=0.0)})
        self.assertGreater(self.late()[NAMES[0]], 0.1)

    def test_a_limit_that_a_slow_engine_keeps_in_a_spell(self):
        self.rates.add({name: pauses(0.034, 500) for name in NAMES[1:]})
        self.rates.add({NAMES[0]: pauses(0.08, 100)})
        self.assertEqual({0.0}, set(self.late(limit_s=0.4).values()))

    async def test_an_engine_that_is_avoided_is_tried_again(self):
        self.rates.add({name: pauses(0.034, 500) for name in NAMES[1:]})
        self.rates.add({NAMES[0]: pauses(0.08, 100)})
        await self.timer.advance(200.0)
        self.rates.add({name: pauses(0.034, 500) for name in NAMES[1:]})
        self.assertEqual(0.0, self.late()[NAMES[0]])

    def test_a_new_engine_is_taken_for_the_median_one(self):
        self.rates.add({name: pauses(0.08, 500) for name in NAMES[1:]})
        late = self.late()
        self.assertEqual(late[NAMES[1]], late[NAMES[0]])

    def test_engines_that_are_gone_are_dropped(self):
        self.rates.add({name: pauses(0.034, 500) for name in NAMES[1:]})
        self.rates.add({NAMES[0]: pauses(0.08, 500)})
        self.assertGreater(self.late()[NAMES[0]], 0.1)
        self.rates.retain(NAMES[1:])
        self.assertEqual(0.0, self.late()[NAMES[0]])


class UnevenPlacementTest(unittest.TestCase):
    """Replays a calm load on four engines, one of which is slow."""

    def setUp(self):
        engines = [engine(f"e{number}") for number in range(4)]
        self.table = make_table(ManualTimer(), *engines)
        self.targets = self.table.find_all(info.incarnation for info in engines)
        rates = PauseRates(self.table._timer)
        rates.add({info.incarnation: pauses(0.034, 500) for info in engines[1:]})
        rates.add({engines[0].incarnation: pauses(0.08, 100)})
        expected = rates.expect(info.incarnation for info in engines)
        for target in self.targets:
            target.pauses = expected[target.info.incarnation]
        self.slow = self.targets[0]

    def place(self, demand):
        target = choose_target(self.targets, MODEL, demand, "a", random.Random(1))
        if target is not None:
            target.reserve(demand)
            target.note_prefill_done(demand)
        return target

    def test_long_generations_go_elsewhere_while_there_is_room(self):
        placed = [self.place(LONG) for _ in range(12)]
        self.assertNotIn("e0", names(placed))

    def test_short_ones_use_the_slow_engine(self):
        for _ in range(20):
            self.place(LONG)
        self.assertEqual(["e0"], names([self.place(SHORT)]))

    def test_prompts_leave_a_slow_engine_to_the_streams_that_run_there(self):
        self.assertEqual(["e0"], names([self.place_while_others_are_full()]))
        placed = [self.place(SHORT) for _ in range(6)]
        self.assertNotIn("e0", names(placed))

    def place_while_others_are_full(self):
        """Fill the others, place a short request, and empty the others again."""
        for target in self.targets[1:]:
            target.reserved_tokens = 40_000
            target.requests = 1
        placed = self.place(SHORT)
        for target in self.targets[1:]:
            target.reserved_tokens = target.requests = 0
        return placed

    def test_copies_take_the_memory_of_slow_engines(self):
        self.slow.reserve(LONG)
        backup = choose_backup(
            self.targets, MODEL, LONG, self.targets[1], is_congested=False
        )
        self.assertIs(self.slow, backup)

    def test_a_run_that_must_move_goes_to_a_fast_engine(self):
        self.targets[2].reserve(SHORT)
        self.targets[3].reserve(SHORT)
        self.slow.reserve(LONG)
        self.slow.reserve(LONG)
        destination = choose_destination(self.targets, MODEL, LONG, self.targets[1])
        self.assertIsNot(self.slow, destination)

    def test_a_slow_engine_is_better_than_none(self):
        placed = [self.place(LONG) for _ in range(40)]
        self.assertIn("e0", names(placed))
        self.assertIsNone(placed[-1])

    def test_engines_that_are_alike_get_alike(self):
        self.slow.pauses = None
        placed = [self.place(LONG) for _ in range(12)]
        found = names(placed)
        self.assertEqual({3}, {found.count(name) for name in set(found)})
