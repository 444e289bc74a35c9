"""Tests of the command-line tool against an operator port."""

import json
import pathlib
import tempfile
import unittest

from endivesill import errors
from tests.operator_server import KEY, OperatorServer, run_cli

DATA_CENTRES_INI = "[data-centre a]\nregion = r\n"


class CliCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)
        self.folder = self.path / "folder"
        self.folder.mkdir()
        self.write("10-places.ini", DATA_CENTRES_INI)
        self.key_file = self.path / "keys"
        self.key_file.write_text(KEY)
        self.server = OperatorServer()
        self.server.start()
        self.addCleanup(self.server.stop)

    def write(self, name, text):
        (self.folder / name).write_text(text)

    def cli(self, *arguments):
        connection = ["--server", self.server.address, "--key-file", str(self.key_file)]
        return run_cli(*arguments, *connection)

    def acknowledge(self, revision):
        self.server.transport.acks = {str(revision): ["v0", "v1"]}

    def apply(self, number=1, *options):
        return self.cli(
            "config", "apply", str(self.folder), "--number", str(number), *options
        )


class ApplyTest(CliCase):
    def test_an_apply_reports_accepted_and_then_in_force(self):
        self.acknowledge(1)
        code, output, _ = self.apply()
        expected = ["accepted: revision 1", "in force everywhere"]
        self.assertEqual((0, expected), (code, output.splitlines()))

    def test_a_change_not_yet_in_force_exits_4_and_names_the_vms(self):
        self.server.transport.acks = {"1": ["v0"]}
        code, output, _ = self.apply(1, "--wait-s", "0")
        self.assertEqual(4, code)
        self.assertIn("waiting for: v1", output)

    def test_a_resend_gets_the_first_outcome(self):
        self.acknowledge(1)
        first = self.apply(1, "--output", "json")
        (self.folder / ".endivesill-revision").unlink()
        resent = self.apply(1, "--output", "json", "--base-revision", "0")
        self.assertEqual(first, resent)

    def test_a_number_used_by_another_operator_exits_3_and_names_them(self):
        self.acknowledge(1)
        self.apply(1, "--operator", "ada")
        self.write("20-more.ini", "[data-centre b]\nregion = r\n")
        code, _, error = self.apply(1, "--operator", "bob")
        self.assertEqual(3, code)
        self.assertIn("used first by ada", error)

    def test_an_apply_on_an_outdated_base_revision_is_a_conflict(self):
        self.acknowledge(1)
        self.apply(1, "--operator", "ada")
        (self.folder / ".endivesill-revision").write_text("0\n")
        self.write("10-places.ini", "[data-centre b]\nregion = r\n")
        code, _, error = self.apply(2, "--operator", "bob")
        self.assertEqual(3, code)
        self.assertIn("changed by ada", error)
        self.assertIn("current revision is 1", error)

    def test_a_folder_without_a_recorded_base_revision_is_not_applied(self):
        self.acknowledge(1)
        self.apply()
        (self.folder / ".endivesill-revision").unlink()
        code, _, error = self.apply(2)
        self.assertEqual(3, code)
        self.assertIn("--base-revision 1", error)

    def test_a_lost_quorum_exits_5(self):
        self.server.control.failure = errors.UnavailableError("no quorum")
        code, output, error = self.apply(1, "--timeout-s", "0.1")
        self.assertEqual((5, ""), (code, output))
        self.assertIn("no quorum", error)


class FolderCommandsTest(CliCase):
    def test_check_reports_all_findings_on_stderr_and_exits_2(self):
        self.write("20.ini", "[target t]\nurl = x\n[nothing]\n")
        code, output, error = run_cli("config", "check", str(self.folder))
        self.assertEqual((2, ""), (code, output))
        self.assertEqual(4, len(error.splitlines()))
        self.assertIn("20.ini:2: ", error)

    def test_diff_shows_values_with_file_and_line(self):
        code, output, _ = self.cli("config", "diff", str(self.folder))
        self.assertEqual(0, code)
        self.assertIn('region: default -> "r"  10-places.ini:2', output)

    def test_show_lists_origins_and_single_changes(self):
        self.acknowledge(2)
        self.apply()
        self.cli("data-centre", "take-out", "a", "--operator", "ada")
        code, output, _ = self.cli("config", "show", "--origin")
        self.assertEqual(0, code)
        self.assertIn('region = "r"  10-places.ini:2 at revision 1', output)
        self.assertIn("taken_out = true  single change by ada", output)

    def test_history_has_a_line_for_each_change(self):
        self.acknowledge(3)
        self.apply()
        self.cli("data-centre", "take-out", "a")
        self.cli("data-centre", "put-back", "a")
        code, output, _ = self.cli("config", "history")
        self.assertEqual((0, 3), (code, len(output.splitlines())))


class OtherCommandsTest(CliCase):
    def test_an_unknown_item_is_a_finding(self):
        code, _, error = self.cli("target", "leave", "none")
        self.assertEqual(2, code)
        self.assertIn("there is no target none", error)

    def test_control_commands_call_the_voter_administration(self):
        self.assertEqual(0, self.cli("control", "status")[0])
        self.assertEqual(0, self.cli("control", "add", "c4:1")[0])
        code, output, _ = self.cli("control", "replace", "r1", "c4:1")
        self.assertEqual(4, code)
        self.assertIn("not done: the new replica is behind", output)
        self.assertIn(("replace", "r1", "c4:1"), self.server.voters.calls)

    def test_a_change_that_risks_the_quorum_is_a_conflict(self):
        code, _, error = self.cli("control", "remove", "r1")
        self.assertEqual(3, code)
        self.assertIn("the quorum would be lost", error)

    def test_fleet_status_shows_which_vms_may_be_stopped(self):
        code, output, _ = self.cli("fleet", "status", "--output", "json")
        self.assertEqual(0, code)
        rows = {row["name"]: row["may_go"] for row in json.loads(output)["vms"]}
        self.assertEqual({"v0": False, "v1": True}, rows)

    def test_status_and_drain(self):
        code, output, _ = self.cli("status")
        self.assertEqual(0, code)
        self.assertIn("holds_lease: yes", output)
        self.assertEqual(0, self.cli("vm", "drain")[0])
        self.server.run(self.server.drain.wait_drained())
        self.assertFalse(self.server.drain.is_ready())

    def test_a_server_that_is_down_is_skipped(self):
        code, _, _ = self.cli("status", "--server", "127.0.0.1:1")
        self.assertEqual(0, code)

    def test_a_wrong_key_is_refused(self):
        self.key_file.write_text("another-key-of-the-tests")
        code, _, error = self.cli("status")
        self.assertEqual(1, code)
        self.assertIn("needs a valid key", error)

    def test_wrong_usage_exits_1_and_writes_to_stderr(self):
        code, output, error = run_cli("config", "nothing")
        self.assertEqual((1, ""), (code, output))
        self.assertIn("nothing", error)
