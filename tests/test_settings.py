"""Tests of the process settings."""

import unittest

from endivesill import errors
from endivesill.settings import parse_settings

VALID_SETTINGS = """[vm]
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

    def test_missing_optional_keys_have_their_defaults(self):
        settings = parse_settings(VALID_SETTINGS, "vm.ini")
        self.assertEqual(("entry",), settings.vm.roles)
        self.assertEqual(3.0, settings.vm.balancer_lag_s)

    def test_all_findings_are_reported_together_with_file_and_line(self):
        text = VALID_SETTINGS.replace("127.0.0.1:2", "nowhere")
        text = text.replace("region = r\n", "")
        text += "balancer_lag_s = soon\nroles = entry king\ncolour = red\n[odd]\n"
        reported = self.findings(text)
        self.assertEqual(
            [
                "vm.ini:1: [vm] lacks the required key region",
                "vm.ini:5: operator_address: 'nowhere' is not HOST:PORT",
                "vm.ini:8: balancer_lag_s: 'soon' is not a number",
                "vm.ini:9: roles: unknown role king",
                "vm.ini:10: unknown key colour",
                "vm.ini:11: unknown section [odd]",
            ],
            reported,
        )

    def test_an_invalid_line_is_reported(self):
        reported = self.findings(VALID_SETTINGS + "balancer lag 3\n")
        self.assertEqual(["vm.ini:9: invalid INI line: balancer lag 3"], reported)

    def test_a_control_vm_needs_a_data_folder(self):
        reported = self.findings(VALID_SETTINGS + "roles = control\n")
        self.assertEqual(
            ["vm.ini:0: the role control requires the key data_folder"], reported
        )
