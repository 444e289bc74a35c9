"""Tests of the choice of targets, each on the load that it answers."""

import random
import unittest

from endivesill.fleet.load import EngineLoad
from endivesill.fleet.reports import EngineReport
from endivesill.forwarding.placement import (
    BACKUP_MEMORY_FRACTION,
    CONGESTED_BACKUP_MEMORY_FRACTION,
    MAX_PREFILL_BACKLOG_S,
    MEMORY_LIMIT_FRACTION,
    PREFILL_TOKENS_PER_S,
    choose_backup,
    choose_destination,
    choose_target,
    has_capacity,
)
from endivesill.forwarding.targets import ResourceDemand
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import MEMORY, MODEL, PLAIN, engine, table_of

NEED = ResourceDemand(3_000, 3_500)
CAPACITY = MEMORY.capacity_tokens


class PlacementTestCase(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()

    def targets(self, *engines, loads=None):
        table = table_of(self.timer, *engines)
        table.update_loads(
            {f"{name}@1": EngineLoad(*row) for name, row in (loads or {}).items()}
        )
        return table.find_all([info.incarnation for info in engines])

    def choose(self, targets, service=MODEL, demand=NEED, seed=1):
        found = choose_target(targets, service, demand, "a", random.Random(seed))
        return found.info.identity if found else None


class ChooseTargetTest(PlacementTestCase):
    def test_the_engine_with_the_fewest_unread_prompts(self):
        loads = {"e1": (2, 7_000, 6_000), "e2": (3, 9_000, 0)}
        targets = self.targets(engine("e1"), engine("e2"), loads=loads)
        self.assertEqual("e2", self.choose(targets))

    def test_no_engine_without_memory_for_the_run(self):
        full = int(MEMORY_LIMIT_FRACTION * CAPACITY) - NEED.memory_tokens + 1
        targets = self.targets(engine("e1"), loads={"e1": (5, full, 0)})
        self.assertIsNone(self.choose(targets))
        targets = self.targets(engine("e1"), loads={"e1": (5, full - 1, 0)})
        self.assertEqual("e1", self.choose(targets))

    def test_an_engine_that_uses_more_than_was_reserved_is_full(self):
        targets = self.targets(engine("e1"), loads={"e1": (5, 10_000, 0)})
        targets[0].report = EngineReport(33_000, 0, False, False, 0.0)
        self.assertIsNone(self.choose(targets))

    def test_places_since_the_last_report_count_on_top_of_it(self):
        """Replays an engine whose report is fuller than what was reserved."""
        table = table_of(self.timer, engine("e1"))
        target = table.find_all(["e1@1"])[0]
        target.report = EngineReport(27_000, 0, False, False, self.timer.now_s())
        self.assertTrue(has_capacity(target, MODEL, NEED))
        target.reserve(NEED)
        table.note_placement(target, NEED.memory_tokens)
        self.assertFalse(has_capacity(target, MODEL, NEED))

    def test_a_surge_does_not_fill_one_new_engine_with_prompts(self):
        """Replays the load of an engine that comes while eleven requests wait."""
        targets = self.targets(engine("new"))
        placed = 0
        while has_capacity(targets[0], MODEL, NEED):
            targets[0].reserve(NEED)
            placed += 1
        unread_s = placed * NEED.prompt_tokens / PREFILL_TOKENS_PER_S
        self.assertLessEqual(unread_s, MAX_PREFILL_BACKLOG_S)
        self.assertGreaterEqual(placed, 2)

    def test_a_prompt_longer_than_the_bound_goes_to_an_engine_with_none(self):
        demand = ResourceDemand(20_000, 21_000)
        self.assertEqual("e1", self.choose(self.targets(engine("e1")), demand=demand))

    def test_equal_engines_are_drawn_by_lot(self):
        targets = self.targets(engine("e1"), engine("e2"))
        chosen = {self.choose(targets, seed=seed) for seed in range(20)}
        self.assertEqual({"e1", "e2"}, chosen)

    def test_a_plain_target_is_not_given_more_than_it_holds(self):
        targets = self.targets(engine("p", "app"), loads={"p": (12, 0, 0)})
        self.assertIsNone(self.choose(targets, PLAIN, ResourceDemand()))

    def test_a_near_plain_target_wins_among_equals(self):
        targets = self.targets(
            engine("far", "app", data_centre="b"), engine("near", "app")
        )
        self.assertEqual("near", self.choose(targets, PLAIN, ResourceDemand()))


class CopyTest(PlacementTestCase):
    def backup(self, targets, *, is_congested=False):
        found = choose_backup(
            targets, MODEL, NEED, targets[0], is_congested=is_congested
        )
        return found.info.identity if found else None

    def test_a_backup_is_in_another_data_centre(self):
        """Replays a data centre whose engines end together."""
        loads = {"far": (2, 9_000, 0)}
        targets = self.targets(
            engine("e1"), engine("near"), engine("far", data_centre="b"), loads=loads
        )
        self.assertEqual("far", self.backup(targets))

    def test_a_near_backup_is_better_than_none(self):
        loads = {"far": (9, 30_000, 0)}
        targets = self.targets(
            engine("e1"), engine("near"), engine("far", data_centre="b"), loads=loads
        )
        self.assertEqual("near", self.backup(targets))

    def test_there_are_fewer_backups_while_requests_wait(self):
        between = int(
            (BACKUP_MEMORY_FRACTION + CONGESTED_BACKUP_MEMORY_FRACTION) / 2 * CAPACITY
        )
        loads = {"e2": (5, between - NEED.memory_tokens, 0)}
        targets = self.targets(engine("e1"), engine("e2"), loads=loads)
        self.assertEqual("e2", self.backup(targets))
        self.assertIsNone(self.backup(targets, is_congested=True))

    def test_the_copy_of_a_leaving_engines_run_stays_near(self):
        targets = self.targets(
            engine("e1"), engine("far", data_centre="b"), engine("near")
        )
        found = choose_destination(targets, MODEL, NEED, targets[0])
        self.assertEqual("near", found.info.identity)

    def test_the_holder_is_no_place_for_its_copy(self):
        targets = self.targets(engine("e1"))
        self.assertIsNone(choose_destination(targets, MODEL, NEED, targets[0]))
        self.assertIsNone(self.backup(targets))
