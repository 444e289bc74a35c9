"""Tests of the estimates on the capacity page."""

import pathlib
import unittest

from bench.capacity import PAGE, RUNS_FOLDER, render
from bench.capacity_runs import DESIGN_SIZE, BenchmarkRuns

ROOT = pathlib.Path(__file__).resolve().parent.parent


class CapacityPageTest(unittest.TestCase):
    def setUp(self):
        self.runs = BenchmarkRuns(ROOT / RUNS_FOLDER)
        self.page = (ROOT / PAGE).read_text(encoding="utf-8")

    def test_the_page_matches_the_stored_reports(self):
        self.assertEqual(render(self.page, self.runs), self.page)

    def test_a_changed_value_makes_the_page_out_of_date(self):
        for slope in self.runs.by_benchmark()["entry"]["slopes"]:
            slope["points"] = [[x, 2 * y] for x, y in slope["points"]]
        self.assertNotEqual(render(self.page, self.runs), self.page)

    def test_a_falling_line_is_not_extrapolated(self):
        slopes = self.runs.by_benchmark()["entry"]["slopes"]
        slopes.append({"name": "falls", "points": [[1, 9.0], [2, 8.0], [3, 6.0]]})
        self.assertEqual(6.0, self.runs.extrapolate("entry", "falls", 100))


class DeploymentSizeTest(unittest.TestCase):
    def test_the_size_is_the_one_the_users_expect(self):
        self.assertEqual((560, 12, 2400), (DESIGN_SIZE.nodes, 12, DESIGN_SIZE.targets))
        self.assertAlmostEqual(9854, DESIGN_SIZE.entry_tokens_per_s, delta=1)
