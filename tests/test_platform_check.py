"""Tests of the validation of settings and deploy files."""

import contextlib
import io
import pathlib
import tempfile
import unittest
import unittest.mock

from endivesill import cli, errors, porcelain
from endivesill.platform.check import check_deploy

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

    def test_all_findings_are_reported_together(self):
        found = self.findings(
            ("endivesill.platform entry", "endivesill.platform nothing"),
            ('serves = ["control"]', 'serves = ["front"]'),
            ('metrics = "9464', 'metrics = "80'),
            ("share = 1.0", "share = 1.5"),
        )
        self.assertEqual(7, len(found), found)
        self.assertIn("no role serves 'control'", found[-1])

    def test_an_unreadable_file_is_one_finding(self):
        self.assertEqual(1, len(check_deploy("/nowhere/system.toml")))

    def test_a_file_without_roles_or_build(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "system.toml"
            path.write_text("roles = 7\n", encoding="utf-8")
            self.assertEqual(2, len(check_deploy(str(path))))


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
