"""Tests of the configuration's commands and queries."""

import json
import unittest

from endivesill.configuration.changes import ChangeLog, digest_of_documents
from endivesill.configuration.state import APPLY, CHANGE, ConfigurationState
from endivesill.control.commands import (
    CommandContext,
    State,
    run_command,
    run_query,
)
from tests.configuration_fleet import DOCUMENTS, apply_message, change_message


class StateCase(unittest.TestCase):
    def setUp(self):
        self.state = State()
        self.index = 0
        self.first = self.apply(1, DOCUMENTS)

    def run_command(self, name, message):
        self.index += 1
        # The log carries JSON: the state must not share objects with the message.
        message = json.loads(json.dumps(message))
        context = CommandContext(self.index, 1.0)
        return run_command(self.state, name, message, context)

    def apply(self, number, changed, **options):
        return self.run_command(APPLY, apply_message(number, changed, **options))

    def change(self, number, key, value):
        return self.run_command(CHANGE, change_message(number, key, value))

    @property
    def configuration(self):
        return ConfigurationState.readable(self.state)


class ApplyTest(StateCase):
    def test_an_accepted_change_raises_the_revision_by_one(self):
        self.assertEqual(
            ("accepted", 1), (self.first["outcome"], self.configuration.revision)
        )
        answer = self.apply(2, {"data-centre/c": {"region": "r"}}, base=1)
        self.assertEqual(("accepted", 2), (answer["outcome"], answer["revision"]))

    def test_a_resend_after_a_lost_answer_gets_the_first_answer(self):
        self.apply(2, {"data-centre/c": {"region": "r"}}, base=1)
        self.assertEqual(self.first, self.apply(1, DOCUMENTS))
        self.assertEqual(2, self.configuration.revision)

    def test_of_two_operators_with_the_same_number_the_second_gets_a_conflict(self):
        answer = self.apply(1, {}, digest="other", by="bob")
        self.assertEqual(("conflict", "number"), (answer["outcome"], answer["reason"]))
        self.assertEqual("ada", answer["first"]["operator"])
        self.assertEqual(5.0, answer["first"]["wall_time_s"])
        self.assertEqual("digest-1", answer["first"]["digest"])

    def test_a_change_based_on_an_older_revision_is_a_conflict(self):
        self.apply(2, {"data-centre/c": {"region": "r"}}, base=1)
        answer = self.apply(3, {"data-centre/d": {"region": "r"}}, base=1, by="bob")
        self.assertEqual("base-revision", answer["reason"])
        self.assertEqual((2, "ada"), (answer["revision"], answer["first"]["operator"]))
        self.assertNotIn("data-centre/d", self.configuration.documents)

    def test_a_change_whose_parts_have_other_types_is_refused(self):
        message = apply_message(2, {}, base=1)
        for name, value in (
            ("changed", ["data-centre/c"]),
            ("changed", None),
            ("origins", "none"),
            ("removed", 7),
            ("removed", "data-centre/a"),
        ):
            answer = self.run_command(APPLY, {**message, name: value})
            self.assertEqual("refused", answer["outcome"], (name, value))
        self.assertEqual(1, self.configuration.revision)

    def test_a_future_base_revision_is_a_conflict(self):
        answer = self.apply(2, {"data-centre/c": {"region": "r"}}, base=9)
        self.assertEqual("conflict", answer["outcome"])

    def test_an_empty_change_is_answered_without_a_new_revision(self):
        answer = self.apply(2, {"data-centre/a": {"region": "r"}}, base=1)
        self.assertEqual(("unchanged", 1), (answer["outcome"], answer["revision"]))

    def test_an_invalid_change_is_refused_with_all_findings(self):
        changed = {
            "target/e2": {"service": "none", "url": "x", "data_centre": "a"},
            "target/e3": {"service": "none", "url": "http://x", "data_centre": "z"},
            "service/app": {"protocol": "plain", "queue_limit": "many"},
            "organisation/o": {"key_sha256": "0" * 64, "weight": True},
        }
        answer = self.apply(2, changed, base=1)
        self.assertEqual("refused", answer["outcome"])
        self.assertEqual(5, len(answer["findings"]))
        self.assertEqual(1, self.configuration.revision)

    def test_a_malformed_change_is_refused(self):
        region = {"region": "r"}
        wrong = [
            {"changed": {"data-centre/c": "region"}},
            {"changed": {}, "removed": [["data-centre/a"]]},
            {"changed": {}, "origins": {"data-centre/a": "places.ini"}},
            {"changed": {"organisation/o": {"key_sha256": [["k"]]}}},
            {"changed": {"data-centre/c": region}, "origins": {"x": {"region": 3}}},
        ]
        for number, parts in enumerate(wrong, start=2):
            message = {**apply_message(number, {}, base=1), **parts}
            answer = self.run_command(APPLY, message)
            self.assertEqual("refused", answer["outcome"], parts)

    def test_an_item_that_others_refer_to_cannot_be_removed(self):
        answer = self.apply(2, {}, base=1, removed=["service/llm"])
        self.assertIn("no service llm", answer["findings"][0]["text"])

    def test_two_organisations_cannot_have_the_same_key(self):
        key = {"key_sha256": "0" * 64}
        self.apply(2, {"organisation/o": key}, base=1)
        answer = self.apply(3, {"organisation/p": key}, base=2)
        self.assertIn("same key", answer["findings"][0]["text"])

    def test_the_digest_is_that_of_the_whole_configuration(self):
        answer = self.apply(2, {}, base=1, removed=["target/e1"])
        documents = {k: v for k, v in DOCUMENTS.items() if k != "target/e1"}
        self.assertEqual(digest_of_documents(documents), answer["digest"])

    def test_the_history_names_who_changed_what(self):
        self.apply(2, {"data-centre/c": {"region": "r"}}, base=1, by="bob")
        history = run_query(self.state, "configuration.history", {"limit": 1})
        record = history["history"][0]
        self.assertEqual(("bob", 2), (record["operator"], record["revision"]))
        self.assertEqual(["data-centre/c"], record["keys"])

    def test_the_state_stays_bounded_after_thousands_of_changes(self):
        for number in range(2, 2_502):
            region = {"region": f"r{number}"}
            self.apply(number, {"data-centre/a": region}, base=number - 1)
        self.assertEqual(2_501, self.configuration.revision)
        self.assertEqual(1_000, len(self.configuration.history))
        self.assertIsNone(self.configuration.keys_since(400))
        self.assertEqual(["data-centre/a"], self.configuration.keys_since(2_400))


class SingleChangeTest(StateCase):
    def test_a_single_change_survives_a_later_apply_of_the_folder(self):
        self.change("x1", "data-centre/a", True)
        folder = {"data-centre/a": {"region": "other"}}
        answer = self.apply(2, folder, base=1)
        self.assertEqual("accepted", answer["outcome"])
        expected = {"region": "other", "taken_out": True}
        self.assertEqual(
            expected, self.configuration.effective_document("data-centre/a")
        )

    def test_a_single_change_survives_the_removal_of_its_item(self):
        self.change("x1", "target/e1", True)
        self.apply(2, {}, base=1, removed=["target/e1"])
        self.apply(3, {"target/e1": DOCUMENTS["target/e1"]}, base=3)
        self.assertTrue(self.configuration.effective_document("target/e1")["leaving"])

    def test_removing_an_overlay_restores_the_value_of_the_folder(self):
        self.change("x1", "data-centre/a", True)
        answer = self.change("x2", "data-centre/a", False)
        self.assertEqual(3, answer["revision"])
        self.assertEqual(
            {"region": "r"}, self.configuration.effective_document("data-centre/a")
        )
        self.assertEqual(self.first["digest"], answer["digest"])

    def test_a_resent_single_change_does_not_undo_a_later_one(self):
        self.change("x1", "data-centre/a", True)
        self.change("x2", "data-centre/a", False)
        self.assertEqual(2, self.change("x1", "data-centre/a", True)["revision"])
        self.assertNotIn(
            "taken_out", self.configuration.effective_document("data-centre/a")
        )

    def test_a_single_change_of_an_unknown_item_is_refused(self):
        answer = self.change("x1", "target/none", True)
        self.assertEqual("refused", answer["outcome"])
        answer = self.change("x2", "organisation/o", True)
        self.assertEqual("refused", answer["outcome"])


class ChangeLogTest(unittest.TestCase):
    def test_keys_are_those_after_a_revision(self):
        log = ChangeLog()
        for revision in range(1, 5):
            log.append(revision, [f"k{revision}"])
        self.assertEqual(["k3", "k4"], log.keys_since(2))
        self.assertEqual([], log.keys_since(4))

    def test_a_large_change_asks_for_a_full_copy(self):
        log = ChangeLog()
        log.append(1, [str(number) for number in range(1_001)])
        self.assertIsNone(log.keys_since(0))
        log.append(2, ["k"])
        self.assertEqual(["k"], log.keys_since(1))
