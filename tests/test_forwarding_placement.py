"""Tests of target selection, each for one kind of load."""

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
from tests.forwarding_fakes import MEMORY, MODEL, PLAIN, engine, make_table

NEED = ResourceDemand(3_000, 3_500)
CAPACITY = MEMORY.capacity_tokens


class PlacementTestCase(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()

    def targets(self, *engines, loads=None):
        table = make_table(self.timer, *engines)
        table.update_loads(
            {f"{name}@1": EngineLoad(*row) for name, row in (loads or {}).items()}
        )
        return table.find_all([info.incarnation for info in engines])

    def choose(self, targets, service=MODEL, demand=NEED, seed=1):
        selected = choose_target(targets, service, demand, "a", random.Random(seed))
        return selected.info.identity if selected else None


class ChooseTargetTest(PlacementTestCase):
    def test_the_engine_with_the_smallest_prefill_backlog_is_chosen(self):
        loads = {"e1": (2, 7_000, 6_000), "e2": (3, 9_000, 0)}
        targets = self.targets(engine("e1"), engine("e2"), loads=loads)
        self.assertEqual("e2", self.choose(targets))

    def test_reserved_memory_is_limited(self):
        full = int(MEMORY_LIMIT_FRACTION * CAPACITY) - NEED.memory_tokens + 1
        targets = self.targets(engine("e1"), loads={"e1": (5, full, 0)})
        self.assertIsNone(self.choose(targets))
        targets = self.targets(engine("e1"), loads={"e1": (5, full - 1, 0)})
        self.assertEqual("e1", self.choose(targets))

    def test_reported_use_counts_if_it_exceeds_the_reservations(self):
        targets = self.targets(engine("e1"), loads={"e1": (5, 10_000, 0)})
        targets[0].report = EngineReport(33_000, 0, False, False, 0.0)
        self.assertIsNone(self.choose(targets))

    def test_placements_since_the_last_report_are_added_to_it(self):
        """Guards against overcommitting an engine that uses more than is reserved."""
        table = make_table(self.timer, engine("e1"))
        target = table.find_all(["e1@1"])[0]
        target.report = EngineReport(27_000, 0, False, False, self.timer.now_s())
        self.assertTrue(has_capacity(target, MODEL, NEED))
        target.reserve(NEED)
        table.note_placement(target, NEED.memory_tokens)
        self.assertFalse(has_capacity(target, MODEL, NEED))

    def test_a_burst_does_not_fill_a_new_engine_with_prompts(self):
        """Guards against one new engine getting all of eleven queued requests."""
        targets = self.targets(engine("new"))
        placed = 0
        while has_capacity(targets[0], MODEL, NEED):
            targets[0].reserve(NEED)
            placed += 1
        unread_s = placed * NEED.prompt_tokens / PREFILL_TOKENS_PER_S
        self.assertLessEqual(unread_s, MAX_PREFILL_BACKLOG_S)
        self.assertGreaterEqual(placed, 2)

    def test_a_prompt_over_the_backlog_limit_goes_to_an_idle_engine(self):
        demand = ResourceDemand(20_000, 21_000)
        self.assertEqual("e1", self.choose(self.targets(engine("e1")), demand=demand))

    def test_ties_are_broken_at_random(self):
        targets = self.targets(engine("e1"), engine("e2"))
        chosen = {self.choose(targets, seed=seed) for seed in range(20)}
        self.assertEqual({"e1", "e2"}, chosen)

    def test_the_queue_of_a_plain_target_is_limited(self):
        targets = self.targets(engine("p", "app"), loads={"p": (12, 0, 0)})
        self.assertIsNone(self.choose(targets, PLAIN, ResourceDemand()))

    def test_a_target_in_the_same_data_centre_is_preferred(self):
        targets = self.targets(
            engine("far", "app", data_centre="b"), engine("near", "app")
        )
        self.assertEqual("near", self.choose(targets, PLAIN, ResourceDemand()))


class CopyTest(PlacementTestCase):
    def backup(self, targets, *, is_congested=False):
        selected = choose_backup(
            targets, MODEL, NEED, targets[0], is_congested=is_congested
        )
        return selected.info.identity if selected else None

    def test_a_backup_in_another_data_centre_is_preferred(self):
        """Guards against losing a run and its backup when a data centre stops."""
        loads = {"far": (2, 9_000, 0)}
        targets = self.targets(
            engine("e1"), engine("near"), engine("far", data_centre="b"), loads=loads
        )
        self.assertEqual("far", self.backup(targets))

    def test_a_backup_in_the_same_data_centre_is_the_fallback(self):
        loads = {"far": (9, 30_000, 0)}
        targets = self.targets(
            engine("e1"), engine("near"), engine("far", data_centre="b"), loads=loads
        )
        self.assertEqual("near", self.backup(targets))

    def test_fewer_backups_are_placed_under_congestion(self):
        between = int(
            (BACKUP_MEMORY_FRACTION + CONGESTED_BACKUP_MEMORY_FRACTION) / 2 * CAPACITY
        )
        loads = {"e2": (5, between - NEED.memory_tokens, 0)}
        targets = self.targets(engine("e1"), engine("e2"), loads=loads)
        self.assertEqual("e2", self.backup(targets))
        self.assertIsNone(self.backup(targets, is_congested=True))

    def test_a_copy_from_a_leaving_engine_stays_in_its_data_centre(self):
        targets = self.targets(
            engine("e1"), engine("far", data_centre="b"), engine("near")
        )
        selected = choose_destination(targets, MODEL, NEED, targets[0])
        self.assertEqual("near", selected.info.identity)

    def test_a_run_is_not_copied_to_its_own_engine(self):
        targets = self.targets(engine("e1"))
        self.assertIsNone(choose_destination(targets, MODEL, NEED, targets[0]))
        self.assertIsNone(self.backup(targets))
