"""Tests of the overload bench: replays a recorded overload against its policies.

The recorded arrivals are those of seed 7 at the rate that fills the memory of all
engines. Since engines depart meanwhile, the remaining ones are overloaded.
"""

import pathlib
import tempfile
import unittest

from bench.worst_load import DURATION_S, capacity_per_s, simulate, summary
from bench.worst_load_arrivals import draw_arrivals, read_trace, write_trace

TRACE = pathlib.Path(__file__).parent / "data" / "overload-arrivals.csv"
SEED = 7


class RecordedOverloadTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        arrivals = read_trace(TRACE)
        cls.tables = {
            name: summary(simulate(name, arrivals, SEED))
            for name in ("baseline", "previous", "current")
        }

    def figures(self, figure, group="plan"):
        return [self.tables[n][group][figure] for n in self.tables]

    def test_current_policy_gives_long_generations_the_most_worth(self):
        baseline, previous, current = self.figures("worth")
        self.assertGreater(current, previous)
        self.assertGreater(current, baseline)

    def test_current_policy_breaks_the_fewest_streams(self):
        baseline, previous, current = self.figures("broken")
        self.assertLess(current, previous)
        self.assertLess(previous, baseline)

    def test_short_generations_are_not_delayed_by_long_ones(self):
        *_, current = self.figures("worth", "check")
        self.assertGreater(current, 0.95)

    def test_no_session_organisation_or_size_starves(self):
        *_, starved = self.figures("starved", "all")
        self.assertEqual(0, starved)
        for group in ("plan", "check"):
            *_, largest = self.figures("largest_tenth", group)
            self.assertGreaterEqual(largest, 0.5)


class ReproducibilityTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_table(self):
        arrivals = draw_arrivals(3, 1.3 * capacity_per_s(), 12.0)
        for name in ("baseline", "previous", "current"):
            first = summary(simulate(name, arrivals, 3))
            self.assertEqual(first, summary(simulate(name, arrivals, 3)))

    def test_the_recorded_trace_equals_the_drawn_arrivals(self):
        drawn = draw_arrivals(SEED, capacity_per_s(), DURATION_S)
        self.assertEqual(drawn, read_trace(TRACE))

    def test_a_written_trace_is_read_back(self):
        drawn = draw_arrivals(2, 3.0, 5.0)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "trace.csv"
            write_trace(path, drawn)
            self.assertEqual(drawn, read_trace(path))
