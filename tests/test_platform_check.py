"""Tests of the check of the platform's files."""

import pathlib
import tempfile
import unittest

from endivesill import errors, porcelain
from endivesill.platform.check import check_deploy

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOY = ROOT / "deploy" / "system.toml"


class DeployTest(unittest.TestCase):
    def findings(self, *changes):
        text = DEPLOY.read_text(encoding="utf-8")
        for before, after in changes:
            self.assertIn(before, text)
            text = text.replace(before, after)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "system.toml"
            path.write_text(text, encoding="utf-8")
            return [finding.text for finding in check_deploy(str(path))]

    def test_the_projects_own_file_has_none(self):
        self.assertEqual([], check_deploy(str(DEPLOY)))

    def test_all_findings_are_told_together(self):
        found = self.findings(
            ("endivesill.platform entry", "endivesill.platform nothing"),
            ('serves = ["control"]', 'serves = ["front"]'),
            ('metrics = "9464', 'metrics = "80'),
            ("share = 1.0", "share = 1.5"),
        )
        self.assertEqual(7, len(found), found)
        self.assertIn("no role serves 'control'", found[-1])

    def test_a_file_that_cannot_be_read(self):
        self.assertEqual(1, len(check_deploy("/nowhere/system.toml")))

    def test_a_file_without_roles(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "system.toml"
            path.write_text("roles = 7\n", encoding="utf-8")
            self.assertEqual(2, len(check_deploy(str(path))))


class PorcelainTest(unittest.TestCase):
    def test_one_file_at_least_is_named(self):
        with self.assertRaises(errors.EndivesillError):
            porcelain.platform_check(None, None)
        self.assertEqual([], porcelain.platform_check(None, str(DEPLOY)))
