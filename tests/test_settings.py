"""Tests of the process settings."""

import unittest

from endivesill import errors
from endivesill.settings import parse_settings

WHOLE = """[vm]
name = vm-a
data_centre = a
region = r
caller_address = 127.0.0.1:1
operator_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
key_file = keys.txt
"""


class SettingsTest(unittest.TestCase):
    def findings(self, text):
        with self.assertRaises(errors.FindingsError) as caught:
            parse_settings(text, "vm.ini")
        return [str(finding) for finding in caught.exception.findings]

    def test_whole_settings_have_their_defaults(self):
        settings = parse_settings(WHOLE, "vm.ini")
        self.assertEqual(("entry",), settings.vm.roles)
        self.assertEqual(3.0, settings.vm.balancer_lag_s)

    def test_all_findings_come_at_once_with_file_and_line(self):
        text = WHOLE.replace("127.0.0.1:2", "nowhere")
        text = text.replace("region = r\n", "")
        text += "balancer_lag_s = soon\nroles = entry king\ncolour = red\n[odd]\n"
        found = self.findings(text)
        self.assertEqual(
            [
                "vm.ini:1: [vm] needs the key region",
                "vm.ini:5: operator_address: 'nowhere' is not HOST:PORT",
                "vm.ini:8: balancer_lag_s: 'soon' is not a number",
                "vm.ini:9: roles: unknown role king",
                "vm.ini:10: unknown key colour",
                "vm.ini:11: unknown section [odd]",
            ],
            found,
        )

    def test_a_line_that_is_no_ini_is_named(self):
        found = self.findings(WHOLE + "balancer lag 3\n")
        self.assertEqual(["vm.ini:9: not an INI line: balancer lag 3"], found)

    def test_a_control_vm_needs_a_data_folder(self):
        found = self.findings(WHOLE + "roles = control\n")
        self.assertEqual(["vm.ini:0: a control VM needs the key data_folder"], found)
