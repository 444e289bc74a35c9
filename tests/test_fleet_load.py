"""Tests of the load totals at the leader."""

import unittest

from endivesill.fleet.load import (
    GRANT_TTL_S,
    REPORT_TTL_S,
    EngineLoad,
    FleetLoads,
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

    def test_a_new_leader_continues_the_grant_numbers(self):
        self.loads.record_report("a", {}, 41, 0.0)
        self.assertEqual(42, self.loads.grant("a", {"e": EngineLoad(1)}, 0.0))
