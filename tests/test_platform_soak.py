"""The platform's soak: its checks, its schedule, and one short seeded run.

The run starts the real programs; it judges what callers, operators and targets have
seen, and nothing that depends on how fast this machine is.
"""

import os
import pathlib
import tempfile
import unittest

from bench.platform_soak import Soak
from bench.platform_soak_callers import CallRecord
from bench.platform_soak_faults import make_faults
from bench.platform_soak_fleet import SoakFleet

SHORT_FAULT_S = 4.0
# Beyond those of runs by hand; two runs of the tests on one machine differ.
FLEET_NUMBER = 30_000 + os.getpid() % 30_000


class ScheduleTest(unittest.TestCase):
    def test_a_seed_gives_the_same_faults(self):
        self.assertEqual(make_faults(5, 30.0), make_faults(5, 30.0))
        self.assertNotEqual(make_faults(5, 30.0), make_faults(6, 30.0))

    def test_each_kind_comes_before_any_comes_twice(self):
        faults = make_faults(5, 60.0)
        kinds = len({fault.action for fault in faults})
        first = [fault.action for fault in faults[:kinds]]
        self.assertEqual(kinds, len(set(first)))
        self.assertGreaterEqual(kinds, 10)


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.soak = Soak(1, 1.0)

    def findings(self, kind, status, runs, *, is_right=False):
        record = CallRecord("a1", kind, "entry-a", 0.0, 1.0, status, is_right)
        self.soak._check_record(record, runs)
        return len(self.soak.findings)

    def test_what_is_as_promised(self):
        self.findings("unsafe", 200, 1, is_right=True)
        self.findings("safe", 200, 2, is_right=True)
        self.findings("unsafe", 503, 0)
        self.findings("unsafe", 502, 1)
        self.assertEqual(0, self.findings("streaming", 0, 1))

    def test_a_request_that_ran_twice(self):
        self.assertEqual(1, self.findings("unsafe", 502, 2))

    def test_a_refusal_that_ran(self):
        self.assertEqual(1, self.findings("streaming", 503, 1))

    def test_an_answer_of_another_request(self):
        self.assertEqual(1, self.findings("safe", 200, 1))

    def test_a_denial(self):
        self.assertEqual(1, self.findings("safe", 404, 0))

    def test_what_is_not_served_again(self):
        records = [CallRecord("a", "safe", "entry-a", 20.0, 21.0, 503)] * 4
        self.soak._check_records(records, 10.0)
        self.assertEqual(1, len(self.soak.findings))


class FleetTest(unittest.TestCase):
    def test_a_process_that_runs_is_not_started_again(self):
        with tempfile.TemporaryDirectory() as folder:
            fleet = SoakFleet(
                pathlib.Path(folder) / "soak", FLEET_NUMBER, "127.0.0.1:1"
            )
            process = fleet.processes["control-a"]
            fleet.launch(process)
            first = process.process
            fleet.launch(process)
            self.assertIs(first, process.process)
            process.kill()
            self.assertIsNotNone(first.poll())


class ShortRunTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_run_keeps_the_promises(self):
        report = await Soak(3, SHORT_FAULT_S, FLEET_NUMBER).run()
        self.assertEqual([], report["findings"])
        self.assertGreater(report["statuses"].get("200", 0), 0)
