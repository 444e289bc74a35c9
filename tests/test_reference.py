"""Tests that the reference pages match the code."""

import pathlib
import unittest

from endivesill import reference

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


class ReferencePagesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        reference.import_all()

    def test_events_page_is_up_to_date(self):
        page = (DOCS / "EVENTS.md").read_text(encoding="utf-8")
        self.assertEqual(reference.events_page(), page)

    def test_settings_page_is_up_to_date(self):
        page = (DOCS / "SETTINGS.md").read_text(encoding="utf-8")
        self.assertEqual(reference.settings_page(), page)
