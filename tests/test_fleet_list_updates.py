"""Tests of encoded updates of the engine list."""

import json
import unittest

from endivesill.fleet.engine_list import EngineListSnapshot
from endivesill.fleet.list_updates import (
    MAX_SNAPSHOTS,
    ListUpdates,
    apply_list_update,
)
from tests.forwarding_fakes import engine


def snapshot(number, *engines, term=3):
    return EngineListSnapshot(
        term, number, 0.0, {info.incarnation: info for info in engines}
    )


class ListUpdatesTest(unittest.TestCase):
    def setUp(self):
        self.updates = ListUpdates()

    def update(self, newest, known):
        return json.loads(self.updates.update_for(newest, known, 0.0).text)

    def test_a_new_entry_gets_the_whole_list(self):
        update = self.update(snapshot(1, engine("e1"), engine("e2")), [0, 0])
        engines = apply_list_update({}, [0, 0], update)
        self.assertEqual(["e1@1", "e2@1"], list(engines))

    def test_an_entry_gets_what_has_changed_since_its_list(self):
        first = snapshot(1, engine("e1"), engine("e2"), engine("e3"))
        second = snapshot(2, engine("e1"), engine("e3", is_draining=True), engine("e4"))
        self.update(first, [0, 0])
        update = self.update(second, [3, 1])
        self.assertEqual(["e3", "e4"], [row["identity"] for row in update["engines"]])
        self.assertEqual(
            second.engines, apply_list_update(first.engines, [3, 1], update)
        )

    def test_several_snapshots_are_bridged(self):
        first = snapshot(1, engine("e1"))
        self.update(first, [0, 0])
        self.update(snapshot(2, engine("e1"), engine("e2")), [3, 1])
        third = snapshot(3, engine("e2"), engine("e3"))
        update = self.update(third, [3, 1])
        self.assertEqual(
            third.engines, apply_list_update(first.engines, [3, 1], update)
        )

    def test_an_entry_that_is_far_behind_gets_the_whole_list(self):
        for number in range(1, MAX_SNAPSHOTS + 3):
            update = self.update(snapshot(number, engine("e1")), [3, 1])
        self.assertNotIn("base", update)

    def test_an_update_of_another_list_is_not_applied(self):
        update = {"stamp": [3, 2], "base": [3, 1], "engines": [], "removed": []}
        self.assertIsNone(apply_list_update({}, [2, 9], update))

    def test_each_update_is_encoded_once(self):
        newest = snapshot(1, engine("e1"))
        one = self.updates.update_for(newest, [0, 0], 0.0)
        self.assertIs(one, self.updates.update_for(newest, [0, 0], 0.1))
