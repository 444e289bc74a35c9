"""Tests of the replicated configuration and of evacuations."""

import unittest

from endivesill.control import CommandContext, State
from endivesill.fleet.state import (
    current_configuration,
    document_digest,
    evacuations,
    replace_configuration,
    set_evacuation,
)


class ReplaceTest(unittest.TestCase):
    def setUp(self):
        self.state = State()
        self.index = 0

    def replace(self, version, **content):
        self.index += 1
        document = {"version": version, **content}
        message = {
            "version": version,
            "digest": document_digest(document),
            "document": document,
        }
        context = CommandContext(self.index, 0.0)
        return replace_configuration(self.state, message, context)["outcome"]

    def test_the_highest_version_is_in_force(self):
        self.assertEqual("in-force", self.replace(3, a=1))
        self.assertEqual("in-force", self.replace(7, a=2))
        self.assertEqual(
            {"version": 7, "a": 2}, current_configuration(self.state)["document"]
        )

    def test_a_lower_version_changes_nothing(self):
        self.replace(7, a=2)
        self.assertEqual("superseded", self.replace(3, a=1))
        self.assertEqual(7, current_configuration(self.state)["version"])

    def test_a_resent_configuration_is_accepted_again(self):
        self.replace(7, a=2)
        self.assertEqual("held-already", self.replace(7, a=2))

    def test_different_content_with_the_same_version_is_a_conflict(self):
        self.replace(7, a=2)
        self.assertEqual("conflict", self.replace(7, a=3))
        self.assertEqual(2, current_configuration(self.state)["document"]["a"])

    def test_the_digest_does_not_depend_on_the_order_of_keys(self):
        self.assertEqual(
            document_digest({"a": 1, "b": 2}), document_digest({"b": 2, "a": 1})
        )


class EvacuationTest(unittest.TestCase):
    def test_data_centres_are_evacuated_and_restored(self):
        state = State()
        for index, (name, evacuated) in enumerate(
            [("a", True), ("b", True), ("a", True), ("a", False)], start=1
        ):
            message = {"data_centre": name, "evacuated": evacuated}
            set_evacuation(state, message, CommandContext(index, 0.0))
        self.assertEqual((4, ["b"]), evacuations(state))
