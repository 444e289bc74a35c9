"""Tests of the choice among plain targets by loads that are a little old."""

import collections
import random
import unittest

from bench.even_load import SPEEDS, WAYS, Play
from endivesill.fleet.load import EngineLoad
from endivesill.forwarding.even_load import EvenLoad, pick_evenly
from endivesill.forwarding.placement import choose_target
from endivesill.forwarding.targets import ResourceDemand
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import MODEL, PLAIN, engine, make_table

RUN_S = 0.06
ENTRIES = 65


class EvenLoadTestCase(unittest.IsolatedAsyncioTestCase):
    """Entries with the same report: one target of three is idle."""

    def setUp(self):
        self.timer = ManualTimer()
        self.random = random.Random(7)

    def entry(self, *requests):
        """Return an entry's targets and knowledge after a report."""
        names = [f"e{'x' * n}" for n in range(len(requests))]
        table = make_table(self.timer, *(engine(n, "app") for n in names))
        targets = table.candidates("app", ())
        even_load = EvenLoad(self.timer)
        even_load.note_run("app", RUN_S)
        self.report(even_load, targets, requests)
        return targets, even_load

    def report(self, even_load, targets, requests):
        for target, count in zip(targets, requests, strict=True):
            target.remote_load = EngineLoad(count, 0, 0)
        even_load.note_loads(targets)

    def choices(self, entries):
        """Return how many entries choose each target at the same moment."""
        chosen = [
            even_load.choose(targets, PLAIN, ResourceDemand(), "a", self.random)
            for targets, even_load in entries
        ]
        return collections.Counter(target.info.identity for target in chosen)


class HerdTest(EvenLoadTestCase):
    async def test_many_entries_do_not_overrun_a_target_that_was_idle(self):
        entries = [self.entry(5, 0, 5) for _ in range(ENTRIES)]
        await self.timer.advance(0.5)
        before = collections.Counter(
            choose_target(t, PLAIN, ResourceDemand(), "a", self.random).info.identity
            for t, _ in entries
        )
        self.assertEqual({"ex": ENTRIES}, dict(before))
        self.assertLess(self.choices(entries)["ex"], ENTRIES / 2)

    async def test_a_report_of_this_moment_is_followed(self):
        entries = [self.entry(5, 0, 5) for _ in range(ENTRIES)]
        self.assertGreater(self.choices(entries)["ex"], 0.95 * ENTRIES)

    async def test_a_target_that_is_new_gets_its_share_only(self):
        entries = []
        for _ in range(ENTRIES):
            targets, even_load = self.entry(3, 3, 0)
            for _ in range(20):
                await self.timer.advance(0.05)
                self.report(even_load, targets, (3, 3, 0))
            entries.append((targets, even_load))
        await self.timer.advance(0.5)
        self.assertLess(self.choices(entries)["exx"], 0.8 * ENTRIES)


class KnowledgeTest(EvenLoadTestCase):
    async def test_a_slow_target_stays_known_by_its_mean(self):
        targets, even_load = self.entry(6, 1, 1)
        for _ in range(20):
            await self.timer.advance(0.5)
            self.report(even_load, targets, (6, 1, 1))
        await self.timer.advance(0.5)
        counts = self.choices([(targets, even_load)] * 200)
        self.assertLess(counts["e"], 10)

    async def test_own_requests_count_at_once(self):
        targets, even_load = self.entry(0, 0, 0)
        await self.timer.advance(1.0)
        for _ in range(8):
            targets[0].reserve(ResourceDemand())
        self.assertLess(self.choices([(targets, even_load)] * 100)["e"], 10)

    async def test_an_entry_that_has_lost_the_leader_spreads_its_requests(self):
        targets, even_load = self.entry(5, 0, 5)
        await self.timer.advance(60.0)
        counts = self.choices([(targets, even_load)] * 300)
        self.assertGreater(min(counts.values()), 60)

    async def test_an_entry_without_any_report_chooses_by_its_own_requests(self):
        targets, _ = self.entry(0, 0)
        even_load = EvenLoad(self.timer)
        counts = self.choices([(targets, even_load)] * 100)
        self.assertEqual(2, len(counts))

    async def test_full_targets_get_nothing(self):
        targets, even_load = self.entry(12, 12)
        choice = even_load.choose(targets, PLAIN, ResourceDemand(), "a", self.random)
        self.assertIsNone(choice)

    async def test_targets_that_are_gone_are_forgotten(self):
        targets, even_load = self.entry(5, 5)
        await self.timer.advance(1.0)
        self.report(even_load, targets, (5, 5))
        even_load.note_loads(targets[:1])
        self.assertEqual(1, len(even_load._means))

    async def test_generations_are_chosen_as_before(self):
        table = make_table(self.timer, engine("e1"), engine("e22"))
        targets = table.candidates("llm", ())
        demand = ResourceDemand(1_000, 1_100)
        targets[0].reserve(demand)
        choice = EvenLoad(self.timer).choose(targets, MODEL, demand, "a", self.random)
        self.assertIs(targets[1], choice)

    async def test_ages_of_the_knowledge_are_counted(self):
        targets, even_load = self.entry(0, 0)
        await self.timer.advance(0.3)
        self.choices([(targets, even_load)])
        lines = dict(line.rsplit(" ", 1) for line in even_load.metric_lines())
        name = "endivesill_choice_knowledge_age_seconds_bucket"
        self.assertEqual("0", lines[f'{name}{{le="0.25"}}'])
        self.assertEqual("1", lines[f'{name}{{le="0.5"}}'])


class PickTest(unittest.TestCase):
    def test_equal_costs_are_equally_likely(self):
        source = random.Random(1)
        picks = collections.Counter(
            pick_evenly([0.1, 0.1], 0.01, source) for _ in range(1_000)
        )
        self.assertGreater(min(picks.values()), 400)

    def test_a_high_cost_is_unlikely_and_never_an_overflow(self):
        source = random.Random(1)
        picks = [pick_evenly([0.0, 1e9], 0.0, source) for _ in range(100)]
        self.assertEqual([0] * 100, picks)


class PlayTest(unittest.TestCase):
    """65 entries at 0.8 of the load, with reports each half a second."""

    def play(self, way):
        return Play(WAYS[way], ENTRIES, 0.5, 0.8, SPEEDS["alike"], 1).run()

    def test_targets_are_less_far_apart(self):
        least, even = self.play("least"), self.play("even")
        self.assertLess(even.apart, least.apart / 2)
        self.assertLess(even.variation, least.variation)
        self.assertLessEqual(even.p99_s, least.p99_s)
