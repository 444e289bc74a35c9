"""Tests of the load totals at the leader."""

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivesill.fleet.load import (
    GRANT_TTL_S,
    REPORT_TTL_S,
    EngineLoad,
    FleetLoads,
)

ENTRIES = st.sampled_from("abc")
ROWS = st.dictionaries(
    st.sampled_from(["e1", "e2", "e3"]),
    st.lists(st.integers(0, 5), min_size=3, max_size=3),
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("report"), ENTRIES, ROWS, st.integers(0, 4)),
        st.tuples(st.just("grant"), ENTRIES, st.sampled_from(["e1", "e2"])),
        st.tuples(st.just("remove"), ENTRIES),
        st.tuples(st.just("wait"), st.floats(0.0, 1.5)),
    ),
    max_size=40,
)


class SummedLoads:
    """The totals of `FleetLoads`, summed from scratch."""

    def __init__(self):
        self.reports = {}
        self.grants = collections.defaultdict(list)
        self.numbers = collections.Counter()

    def report(self, now_s, entry, rows, unseen):
        self._expire(now_s)
        self.reports[entry] = (now_s, rows)
        seen = max(0, self.numbers[entry] - unseen)
        self.grants[entry] = [g for g in self.grants[entry] if g[0] > seen]
        return seen

    def grant(self, now_s, entry, engine):
        self.reports.setdefault(entry, (now_s, {}))
        self.numbers[entry] += 1
        self.grants[entry].append((self.numbers[entry], now_s, engine))

    def remove(self, entry):
        self.reports.pop(entry, None)
        self.grants.pop(entry, None)
        self.numbers.pop(entry, None)

    def _expire(self, now_s):
        for entry, (updated_s, _) in list(self.reports.items()):
            if now_s - updated_s > REPORT_TTL_S:
                self.remove(entry)

    def totals(self, now_s, excluding):
        self._expire(now_s)
        sums = collections.defaultdict(lambda: [0, 0, 0])
        for entry, (_, rows) in self.reports.items():
            parts = list(rows.items()) if entry != excluding else []
            if entry != excluding:
                parts += [
                    (engine, [1, 10, 5])
                    for _, at_s, engine in self.grants[entry]
                    if now_s < at_s + GRANT_TTL_S
                ]
            for engine, row in parts:
                sums[engine] = [a + b for a, b in zip(sums[engine], row, strict=True)]
        return {engine: EngineLoad(*row) for engine, row in sums.items() if any(row)}


class RunningTotalsTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(STEPS)
    def test_totals_by_difference_equal_sums_from_scratch(self, steps):
        loads, summed, now_s = FleetLoads(), SummedLoads(), 0.0
        for name, *args in steps:
            loads.totals(now_s)
            summed.totals(now_s, "")
            if name == "report":
                entry, rows, unseen = args
                seen = summed.report(now_s, entry, rows, unseen)
                loads.record_report(entry, rows, seen, now_s)
            elif name == "grant":
                entry, engine = args
                summed.grant(now_s, entry, engine)
                loads.grant(entry, {engine: EngineLoad(1, 10, 5)}, now_s)
            elif name == "remove":
                summed.remove(args[0])
                loads.remove(args[0])
            else:
                now_s += args[0]
            for excluding in ("", "a"):
                self.assertEqual(
                    summed.totals(now_s, excluding), loads.totals(now_s, excluding)
                )


class FleetLoadsTest(unittest.TestCase):
    def setUp(self):
        self.loads = FleetLoads()

    def total(self, now_s=0.0, excluding=""):
        return self.loads.totals(now_s, excluding).get("e", EngineLoad())

    def test_totals_sum_the_reports_of_all_entries(self):
        self.loads.record_report("a", {"e": [1, 100, 50]}, 0, 0.0)
        self.loads.record_report("b", {"e": [2, 200, 0]}, 0, 0.0)
        self.assertEqual(EngineLoad(3, 300, 50), self.total())
        self.assertEqual(EngineLoad(2, 200, 0), self.total(excluding="a"))

    def test_a_grant_counts_until_its_entry_reports_it(self):
        number = self.loads.grant("a", {"e": EngineLoad(1, 100, 100)}, 0.0)
        self.assertEqual(EngineLoad(1, 100, 100), self.total())
        self.loads.record_report("a", {}, number - 1, 0.0)
        self.assertEqual(EngineLoad(1, 100, 100), self.total())
        self.loads.record_report("a", {"e": [1, 100, 100]}, number, 0.0)
        self.assertEqual(EngineLoad(1, 100, 100), self.total())

    def test_an_unreported_grant_expires(self):
        self.loads.grant("a", {"e": EngineLoad(1, 100, 100)}, 0.0)
        self.assertEqual(EngineLoad(), self.total(GRANT_TTL_S + 0.01))

    def test_a_report_expires(self):
        self.loads.record_report("a", {"e": [1, 100, 50]}, 0, 0.0)
        self.assertEqual(EngineLoad(), self.total(REPORT_TTL_S + 0.01))

    def test_a_removed_entry_leaves_nothing(self):
        self.loads.record_report("a", {"e": [1, 100, 50]}, 0, 0.0)
        self.loads.grant("a", {"e": EngineLoad(1, 100, 100)}, 0.0)
        self.loads.remove("a")
        self.assertEqual({}, self.loads.totals(0.0))

    def test_an_unchanged_report_does_not_change_the_version(self):
        self.loads.record_report("a", {"e": [1, 100, 50]}, 0, 0.0)
        version = self.loads.version
        self.loads.record_report("a", {"e": [1, 100, 50]}, 0, 1.0)
        self.assertEqual(version, self.loads.version)
        self.loads.record_report("a", {"e": [1, 100, 0]}, 0, 1.0)
        self.assertGreater(self.loads.version, version)

    def test_a_new_leader_continues_the_grant_numbers(self):
        self.loads.record_report("a", {}, 41, 0.0)
        self.assertEqual(42, self.loads.grant("a", {"e": EngineLoad(1)}, 0.0))
