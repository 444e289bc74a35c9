"""Tests of the capacity page's arithmetic."""

import pathlib
import unittest

from bench.capacity import KEPT_RUNS, PAGE, render
from bench.capacity_runs import TARGET, Measured

ROOT = pathlib.Path(__file__).resolve().parent.parent


class CapacityPageTest(unittest.TestCase):
    def setUp(self):
        self.measured = Measured(ROOT / KEPT_RUNS)
        self.page = (ROOT / PAGE).read_text(encoding="utf-8")

    def test_the_page_matches_the_kept_runs(self):
        self.assertEqual(render(self.page, self.measured), self.page)

    def test_a_changed_figure_makes_the_page_stale(self):
        for slope in self.measured.runs()["entry"]["slopes"]:
            slope["points"] = [[x, 2 * y] for x, y in slope["points"]]
        self.assertNotEqual(render(self.page, self.measured), self.page)

    def test_a_falling_line_counts_as_its_largest_size(self):
        slopes = self.measured.runs()["entry"]["slopes"]
        slopes.append({"name": "falls", "points": [[1, 9.0], [2, 8.0], [3, 6.0]]})
        self.assertEqual(6.0, self.measured.at("entry", "falls", 100))


class TargetSizeTest(unittest.TestCase):
    def test_the_size_is_that_of_the_letter(self):
        self.assertEqual((560, 12, 2400), (TARGET.nodes, 12, TARGET.targets))
        self.assertAlmostEqual(9854, TARGET.entry_tokens_per_s, delta=1)
