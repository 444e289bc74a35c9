"""Tests of the soak's fault schedule and checks."""

import unittest

from bench.soak_check import StandinRuns, check_soak
from bench.soak_schedule import FleetNames, make_schedule
from endivesill.load import RequestRecord

NAMES = FleetNames(("vm-1", "vm-2"), ("engine-1",), ("a", "b"))
NON_REPEATABLE = frozenset(("bookings",))


class ScheduleTest(unittest.TestCase):
    def test_a_seed_determines_a_schedule_with_every_action(self):
        first = make_schedule(5, NAMES, 180.0)
        self.assertEqual(first, make_schedule(5, NAMES, 180.0))
        self.assertNotEqual(first, make_schedule(6, NAMES, 180.0))
        actions = {fault.action for fault in first}
        expected = {"kill", "start", "planned-stop", "suspend", "continue"}
        expected |= {"take-out", "put-back", "apply", "reclaim"}
        self.assertEqual(expected, actions)


class CheckTest(unittest.TestCase):
    def check(self, record, generations=None, calls=None, stops=()):
        runs = StandinRuns(generations or {}, calls or {})
        return check_soak([record], runs, 1, NON_REPEATABLE, stops)

    def test_a_duplicate_call_is_found(self):
        record = RequestRecord(0, "bookings", "o", complete=True)
        findings = self.check(record, calls={"bookings-1-0": 2})
        self.assertEqual(1, len(findings.duplicate_calls))

    def test_a_completed_call_that_never_ran_is_found(self):
        record = RequestRecord(0, "bookings", "o", complete=True)
        self.assertEqual(1, len(self.check(record).lost_calls))

    def test_a_false_not_run_is_found_for_calls_and_generations(self):
        for stream in ("bookings", "plans"):
            record = RequestRecord(0, stream, "o", status=503, run="not-run")
            tag = {f"{stream}-1-0": 1}
            findings = self.check(record, generations=tag, calls=tag)
            self.assertEqual(1, len(findings.false_not_run))

    def test_a_break_counts_only_during_a_planned_stop_of_its_entry(self):
        record = RequestRecord(0, "plans", "o", breaks=[("a:1", 5.0)])
        during = self.check(record, stops=[("a:1", 4.0, 6.0)])
        at_other_entry = self.check(record, stops=[("b:1", 4.0, 6.0)])
        self.assertEqual(1, len(during.cut_by_planned_stop))
        self.assertEqual(0, at_other_entry.violations)
