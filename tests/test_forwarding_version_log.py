"""Tests of the outcomes that entries report of the versions of targets."""

import types
import unittest

from endivesill.forwarding.version_log import VersionLog
from endivesill.rollouts.evidence import Evidence
from endivesill.rollouts.outcomes import VersionOutcomes
from tests.forwarding_fakes import MODEL, engine, route


class Versions:
    """Versions of the targets `old` and `new`, with their outcomes."""

    def __init__(self):
        self.outcomes = VersionOutcomes()

    def note_start(self, service, route, incarnation, duration_s):
        version = incarnation.partition("@")[0]
        self.outcomes.note_request(route)
        self.outcomes.note_time(route, version, "start", duration_s)

    def note_pace(self, service, route, incarnation, duration_s):
        version = incarnation.partition("@")[0]
        self.outcomes.note_time(route, version, "pace", duration_s)


class StartTest(unittest.TestCase):
    """The route's target latency is one second, and its pauses are 0.2 s at most."""

    def setUp(self):
        self.versions = Versions()
        self.log = VersionLog(types.SimpleNamespace(versions=self.versions))
        self.call = types.SimpleNamespace(service=MODEL, route=route())

    def alarm(self, old_s, new_s, note):
        evidence = Evidence()
        for name, duration_s in (("old", old_s), ("new", new_s)):
            for _ in range(40):
                note(types.SimpleNamespace(info=engine(name)), duration_s)
        evidence.add(self.versions.outcomes.take(), 0.0)
        evidence.judge(2.0)
        return evidence.alarm()

    def note_start(self, target, duration_s):
        self.log.note_start(self.call, target, duration_s)

    def note_pace(self, target, duration_s):
        self.log.note_pace(self.call, target, 8, 8 * duration_s)

    def test_a_response_that_is_early_anyway_is_not_slow(self):
        self.assertEqual("", self.alarm(0.002, 0.08, self.note_start))

    def test_a_response_several_times_slower_is(self):
        self.assertIn("start", self.alarm(0.06, 0.3, self.note_start))

    def test_a_pace_that_no_reader_notices_is_not_slow(self):
        self.assertEqual("", self.alarm(0.002, 0.02, self.note_pace))

    def test_a_pace_several_times_slower_is(self):
        self.assertIn("pace", self.alarm(0.03, 0.12, self.note_pace))
