"""Tests of the validation of settings and deploy files."""

import contextlib
import io
import pathlib
import tempfile
import unittest
import unittest.mock

from endivesill import cli, errors, porcelain
from endivesill.platform.check import check_deploy, check_files
from tests.test_platform_settings import CONTROL_VM

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOY = ROOT / "deploy" / "system.toml"


class DeployTest(unittest.TestCase):
    def findings(self, *changes):
        text = DEPLOY.read_text(encoding="utf-8")
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "system.toml"
            path.write_text(text, encoding="utf-8")
            return [finding.text for finding in check_deploy(str(path))]

    def test_the_deploy_file_of_this_repository_is_valid(self):
        self.assertEqual([], check_deploy(str(DEPLOY)))

    def test_an_option_that_a_role_does_not_have_is_found(self):
        (found,) = self.findings(
            ("endivesill.platform control", "endivesill.platform control --even-load")
        )
        self.assertIn("does not start", found)

    def test_all_findings_are_reported_together(self):
        found = self.findings(
            ("endivesill.platform entry", "endivesill.platform nothing"),
            ('serves = ["control"]', 'serves = ["front"]'),
            ('metrics = "9464', 'metrics = "80'),
            ("share = 1.0", "share = 1.5"),
        )
        self.assertEqual(7, len(found), found)
        self.assertIn("no role serves 'control'", found[-1])

    def test_a_finding_has_the_line_of_its_key(self):
        lines = DEPLOY.read_text(encoding="utf-8").splitlines()
        text = DEPLOY.read_text(encoding="utf-8").replace("share = 1.0", "share = 2")
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "system.toml"
            path.write_text(text, encoding="utf-8")
            found = [finding.line for finding in check_deploy(str(path))]
        expected = [n for n, line in enumerate(lines, 1) if line == "share = 1.0"]
        self.assertEqual(expected, found)

    def test_an_unreadable_file_is_one_finding(self):
        self.assertEqual(1, len(check_deploy("/nowhere/system.toml")))

    def test_a_file_without_roles_or_build(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "system.toml"
            path.write_text("roles = 7\n", encoding="utf-8")
            self.assertEqual(2, len(check_deploy(str(path))))


class SettingsCheckTest(unittest.TestCase):
    def findings(self, *changes):
        text = CONTROL_VM
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "local.toml"
            path.write_text(text, encoding="utf-8")
            return [(f.line, f.text) for f in check_files(str(path), None)]

    def line_of(self, text):
        return CONTROL_VM.splitlines().index(text) + 1

    def test_valid_settings_have_no_findings(self):
        self.assertEqual([], self.findings())

    def test_a_finding_has_the_line_of_its_key(self):
        found = self.findings(
            ('zone = "west-a"', "zone = 7"), ("grace_s = 8", 'grace_s = "a"')
        )
        self.assertEqual(
            [
                (self.line_of('zone = "west-a"'), "zone: 7 is not a string"),
                (self.line_of("grace_s = 8"), "bounds.grace_s: 'a' is not a number"),
            ],
            found,
        )

    def test_a_missing_field_has_the_line_of_its_table(self):
        found = self.findings(('address = "10.200.0.63:8742"\n', ""))
        line = self.line_of("[cloud]")
        self.assertEqual([(line, "cloud.address: missing")], found)

    def test_a_syntax_error_has_its_line(self):
        ((line, _),) = self.findings(('zone = "west-a"', "zone = = 7"))
        self.assertEqual(self.line_of('zone = "west-a"'), line)

    def test_impossible_addresses_and_ports_are_findings(self):
        for old, new, key in (
            ('ip = "10.1.0.24"', 'ip = "10.1.0.256"', "ip"),
            ("[7200, 7215]", "[70000, 70015]", "internal_port_range"),
            ('"10.2.0.22:8748"', '"10.2.0.22"', "seeds"),
            ('control = "10.1.0.24:8748"', 'control = ":8748"', "listen_addresses"),
            ('"10.200.0.63:8742"', '"10.200.0:8742"', "cloud.address"),
            ('"10.200.0.63:8742"', '"10.200.0.63:0"', "cloud.address"),
        ):
            found = self.findings((old, new))
            self.assertTrue(found, new)
            for line, text in found:
                self.assertTrue(text.startswith(key), text)
                self.assertGreater(line, 1)

    def test_negative_and_infinite_limits_are_findings(self):
        for old, new in (
            ("grace_s = 8", "grace_s = -8"),
            ("retry_budget_slack = 54", "retry_budget_slack = nan"),
            ("rate_per_s = 42.0", "rate_per_s = inf"),
            ("machines = 2", "machines = -1"),
        ):
            ((line, text),) = self.findings((old, new))
            self.assertEqual(self.line_of(old), line)
            self.assertIn(f"{old.partition(' ')[0]}: ", text)


class PorcelainTest(unittest.TestCase):
    def test_at_least_one_file_is_required(self):
        with self.assertRaises(errors.EndivesillError):
            porcelain.platform_check(None, None)
        self.assertEqual([], porcelain.platform_check(None, str(DEPLOY)))

    def test_the_exit_code_of_findings_is_that_of_the_command_line(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "system.toml"
            path.write_text("roles = 7\n", encoding="utf-8")
            arguments = ["platform", "check", "--deploy", str(path)]
            with (
                unittest.mock.patch("sys.argv", ["endivesill", *arguments]),
                contextlib.redirect_stderr(io.StringIO()) as output,
                self.assertRaises(SystemExit) as caught,
            ):
                cli.main()
        self.assertEqual(cli.EXIT_FINDINGS, caught.exception.code)
        self.assertEqual(2, len(output.getvalue().splitlines()))
