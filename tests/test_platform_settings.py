"""Tests of the platform's settings file."""

import pathlib
import tempfile
import unittest
import unittest.mock

from endivesill import errors, events
from endivesill.platform.process import POLL_PERIOD_S, SettingsWatcher
from endivesill.platform.settings import (
    BYTES_PER_MB,
    MIN_LIST_CALLS_PER_S,
    check_settings,
    read_settings,
)
from endivesill.platform.wire import SETTINGS_VARIABLE
from endivesill.timer import ManualTimer

CONTROL_VM = """
node_name = "core-1"
role = "control"
serves = ["control"]
ip = "10.1.0.24"
zone = "west-a"
internal_port_range = [7200, 7215]
seeds = ["10.1.0.24:8748", "10.2.0.22:8748"]
bootstrap = true
data_directory = "/data/control"
something_new = [1, 2]
[listen_addresses]
control = "10.1.0.24:8748"
[limits]
memory_mb = 296
[fault_tolerance]
machines = 2
[bounds]
grace_s = 8
drain_ms = 3000
retry_budget_ratio = 0.2
retry_budget_slack = 54
[cloud]
address = "10.200.0.63:8742"
rate_per_s = 42.0
"""


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = str(pathlib.Path(folder.name) / "local.toml")

    def write(self, text):
        pathlib.Path(self.path).write_text(text, encoding="utf-8")

    def findings(self, text):
        self.write(text)
        return [finding.text for finding in check_settings(self.path)]

    def test_the_settings_of_a_control_vm_are_decoded(self):
        self.write(CONTROL_VM)
        settings = read_settings(self.path)
        self.assertEqual("10.1.0.24:7200", settings.peer_address)
        self.assertEqual(("10.1.0.24:7200", "10.2.0.22:7200"), settings.seed_peers)
        self.assertEqual(2, settings.tolerated_losses)
        self.assertTrue(settings.is_first_start)
        self.assertEqual(
            (8.0, 54.0), (settings.bounds.grace_s, settings.bounds.retry_slack)
        )
        self.assertEqual("", settings.front_address)

    def test_bounds_on_exposure_ask_for_roll_outs(self):
        self.write(CONTROL_VM)
        self.assertIsNone(read_settings(self.path).bounds.exposure)
        bounds = "[bounds]\nexposure_share = 0.1\nexposure_slack = 50"
        self.write(CONTROL_VM.replace("[bounds]", bounds))
        exposure = read_settings(self.path).bounds.exposure
        self.assertEqual((0.1, 50), (exposure.share, exposure.slack_requests))

    def test_a_list_that_may_be_read_never_is_read_seldom(self):
        """Guards against a leader that fails at each read since the rate is 0."""
        for rate in ("0", "0.0", "-1"):
            self.write(CONTROL_VM.replace("rate_per_s = 42.0", f"rate_per_s = {rate}"))
            settings = read_settings(self.path)
            self.assertEqual(MIN_LIST_CALLS_PER_S, settings.engine_list_calls_per_s)

    def test_limits_of_the_process_are_optional(self):
        self.write(CONTROL_VM)
        settings = read_settings(self.path)
        expected = (296 * BYTES_PER_MB, 0)
        self.assertEqual(expected, (settings.memory_bytes, settings.file_descriptors))
        self.write(CONTROL_VM.replace("[limits]\nmemory_mb = 296\n", ""))
        self.assertEqual(0, read_settings(self.path).memory_bytes)

    def test_all_findings_are_reported_together(self):
        text = CONTROL_VM.replace('zone = "west-a"', "zone = 7").replace(
            'address = "10.200.0.63:8742"', ""
        )
        findings = self.findings(text)
        self.assertEqual(2, len(findings))
        self.assertIn("zone", findings[0])
        self.assertIn("address", findings[1])
        with self.assertRaises(errors.FindingsError):
            read_settings(self.path)

    def test_an_invalid_or_missing_file_is_one_finding(self):
        self.assertEqual(1, len(self.findings("a = [")))
        self.assertEqual(1, len(check_settings(self.path + ".missing")))

    def test_unknown_fields_are_ignored(self):
        self.assertEqual([], self.findings(CONTROL_VM))


class SettingsWatcherTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_missing_file_is_logged_once(self):
        lines = []
        self.addCleanup(events.listen(lambda kind, fields: lines.append(kind.name)))
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "local.toml"
            path.write_text(CONTROL_VM, encoding="utf-8")
            read = []
            with unittest.mock.patch.dict("os.environ", {SETTINGS_VARIABLE: str(path)}):
                timer = ManualTimer()
                SettingsWatcher(timer, read.append)
                path.unlink()
                await timer.advance(5 * POLL_PERIOD_S)
                self.assertEqual(["settings-refused"], lines)
                path.write_text(CONTROL_VM, encoding="utf-8")
                await timer.advance(2 * POLL_PERIOD_S)
        self.assertEqual(1, len(read))
        self.assertEqual(["settings-refused", "settings-reloaded"], lines)
