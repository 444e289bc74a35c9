"""Replays a recorded overload against the policies that the bench compares.

The recorded arrivals are of seed 7 at the load that all engines' memory can just
take; engines leave meanwhile, so that it is more than the rest can take.
"""

import pathlib
import tempfile
import unittest

from bench.worst_load import DURATION_S, capacity_per_s, play, summary
from bench.worst_load_arrivals import draw_arrivals, read_trace, write_trace

TRACE = pathlib.Path(__file__).parent / "data" / "overload-arrivals.csv"
SEED = 7


class RecordedOverloadTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        arrivals = read_trace(TRACE)
        cls.tables = {
            name: summary(play(name, arrivals, SEED))
            for name in ("baseline", "previous", "current")
        }

    def figures(self, figure, group="plan"):
        return [self.tables[n][group][figure] for n in self.tables]

    def test_long_generations_are_worth_more_than_before(self):
        baseline, previous, current = self.figures("worth")
        self.assertGreater(current, previous)
        self.assertGreater(current, baseline)

    def test_fewer_streams_break_when_engines_leave(self):
        baseline, previous, current = self.figures("broken")
        self.assertLess(current, previous)
        self.assertLess(previous, baseline)

    def test_short_checks_do_not_wait_behind_long_plans(self):
        *_, current = self.figures("worth", "check")
        self.assertGreater(current, 0.95)

    def test_no_session_organisation_or_size_starves(self):
        *_, starved = self.figures("starved", "all")
        self.assertEqual(0, starved)
        for group in ("plan", "check"):
            *_, largest = self.figures("largest_tenth", group)
            self.assertGreaterEqual(largest, 0.5)


class RepeatTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_table(self):
        arrivals = draw_arrivals(3, 1.3 * capacity_per_s(), 12.0)
        for name in ("baseline", "previous", "current"):
            first = summary(play(name, arrivals, 3))
            self.assertEqual(first, summary(play(name, arrivals, 3)))

    def test_a_recorded_trace_is_read_as_it_was_drawn(self):
        drawn = draw_arrivals(SEED, capacity_per_s(), DURATION_S)
        self.assertEqual(drawn, read_trace(TRACE))

    def test_writing_and_reading(self):
        drawn = draw_arrivals(2, 3.0, 5.0)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "trace.csv"
            write_trace(path, drawn)
            self.assertEqual(drawn, read_trace(path))
