"""Tests of the table of targets: who may have work, rates and health."""

import unittest

from endivesill.forwarding.health import MIN_RESPONSES, HealthRecord
from endivesill.forwarding.targets import COLD_WINDOW_S, ResourceDemand
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import engine, show, table_of


class MayHaveWorkTest(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.table = table_of(self.timer, engine("e1"), engine("e2", data_centre="b"))

    def names(self, *excluded):
        return [t.info.identity for t in self.table.candidates("llm", excluded)]

    def test_leaving_engines_get_nothing(self):
        show(self.table, self.table._view, engine("e1", is_draining=True), engine("e2"))
        self.assertEqual(["e2"], self.names())

    def test_engines_of_an_emptied_data_centre_get_nothing(self):
        self.table._view.evacuated = frozenset({"b"})
        self.assertEqual(["e1"], self.names())

    def test_an_engine_that_left_the_list_gets_nothing_while_runs_end_there(self):
        target = self.table.find_all(["e1@1"])[0]
        target.reserve(ResourceDemand(10, 10))
        show(self.table, self.table._view, engine("e2"))
        self.assertFalse(self.table.accepts_requests(target))
        self.assertIn("e1@1", self.table.own_loads())

    def test_an_engine_that_starts_again_is_another_target(self):
        target = self.table.find_all(["e1@1"])[0]
        target.reserve(ResourceDemand(10, 10))
        show(self.table, self.table._view, engine("e1", incarnation="e1@2"))
        self.assertFalse(self.table.accepts_requests(target))
        self.assertEqual(0, self.table.find_all(["e1@2"])[0].requests)

    def test_an_engine_that_the_leader_knows_first_is_taken_up(self):
        target = self.table.get_or_add(engine("e3"))
        self.assertIn("e3", self.names())
        self.assertIs(target, self.table.get_or_add(engine("e3")))

    def test_a_resting_target_is_used_when_nothing_else_is_left(self):
        target = self.table.find_all(["e1@1"])[0]
        self.table.eject(target, 1.0, "as the test wants")
        self.assertEqual(["e2"], self.names())
        other = self.table.find_all(["e2@1"])[0]
        self.assertEqual(["e1"], self.names(other))


class ColdRateTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_second_sees_more_than_the_allowance(self):
        timer = ManualTimer()
        table = table_of(timer, engine("e1"))
        target = table.find_all(["e1@1"])[0]
        send_times_s = []
        for _ in range(400):
            if table.may_send_now(target, 5.9):
                table.note_send(target)
                send_times_s.append(timer.now_s())
            await timer.advance(0.01)
        for start_s in send_times_s:
            inside = [s for s in send_times_s if start_s <= s < start_s + 1.0]
            self.assertLessEqual(len(inside), 5)
        self.assertGreaterEqual(len(send_times_s), 15)

    async def test_an_allowance_under_one_is_one_in_a_longer_time(self):
        timer = ManualTimer()
        table = table_of(timer, engine("e1"))
        target = table.find_all(["e1@1"])[0]
        table.note_send(target)
        await timer.advance(COLD_WINDOW_S + 0.1)
        self.assertFalse(table.may_send_now(target, 0.25))
        await timer.advance(3 * COLD_WINDOW_S)
        self.assertTrue(table.may_send_now(target, 0.25))


class OutlierTest(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()
        names = ("p1", "p2", "p3", "p4")
        self.table = table_of(self.timer, *(engine(n, "app") for n in names))
        self.targets = self.table.find_all([f"{n}@1" for n in names])

    def play(self, shares, rounds=60):
        """Give each target answers of which a share fails, in a fixed pattern."""
        for number in range(rounds):
            for target, share in zip(self.targets, shares, strict=True):
                good = int(number * share) == int((number + 1) * share)
                self.table.note_outcome(target, good=good)

    def resting(self):
        now_s = self.timer.now_s()
        return [t.info.identity for t in self.targets if t.ejected_until_s > now_s]

    def test_a_grey_target_rests(self):
        """Replays a target that fails half its requests with good health checks."""
        self.play((0.0, 0.5, 0.0, 0.0))
        self.assertEqual(["p2"], self.resting())

    def test_failures_that_come_everywhere_eject_nobody(self):
        self.play((0.14, 0.14, 0.14, 0.14))
        self.assertEqual([], self.resting())

    def test_no_more_than_half_of_the_targets_rest(self):
        self.play((0.0, 0.9, 0.9, 0.9))
        self.assertEqual(2, len(self.resting()))

    def test_a_silent_target_rests_before_its_requests_time_is_over(self):
        """Replays a target that takes requests and answers none."""
        target = self.targets[0]
        self.table.note_overdue(target)
        self.assertEqual([], self.resting())
        self.table.note_overdue(target)
        self.assertEqual(["p1"], self.resting())

    def test_an_answer_shows_that_a_target_is_only_slow(self):
        target = self.targets[0]
        for _ in range(10):
            self.table.note_overdue(target)
            self.table.note_outcome(target, good=True)
        self.assertEqual([], self.resting())

    def test_a_target_that_was_replaced_is_left_alone(self):
        """Replays a list that still has an engine whose address another one has."""
        target = self.targets[0]
        self.table.note_replaced(target)
        self.assertFalse(self.table.accepts_requests(target))
        self.table.update_engines()
        self.assertFalse(self.table.accepts_requests(target))
        moved = engine("p1", "app", address="10.0.0.9:1")
        show(self.table, self.table._view, moved)
        self.assertTrue(self.table.accepts_requests(target))

    def test_refused_connections_rest_longer_each_time(self):
        target = self.targets[0]
        ejections_s = []
        for _ in range(5):
            self.table.note_no_connection(target, "refused")
            ejections_s.append(target.ejected_until_s - self.timer.now_s())
        self.assertEqual([0.5, 1.0, 2.0, 4.0, 4.0], ejections_s)
        self.table.note_outcome(target, good=True)
        self.table.note_no_connection(target, "refused")
        self.assertEqual(0.5, target.ejected_until_s - self.timer.now_s())

    def test_an_engine_without_reports_gets_no_places(self):
        self.table.update_reports(lambda incarnation: None, {"p1@1"})
        self.assertEqual(["p1"], self.resting())
        names = [t.info.identity for t in self.table.candidates("app", ())]
        self.assertEqual(["p2", "p3", "p4"], names)

    def test_the_rest_grows_with_each_finding(self):
        record, good = HealthRecord(), HealthRecord()
        good.responses = MIN_RESPONSES
        ejections_s = []
        while len(ejections_s) < 3:
            record.record_response(good=False)
            ejection_s = record.ejection_s([good])
            if ejection_s:
                ejections_s.append(ejection_s)
        self.assertEqual([2.0, 4.0, 8.0], ejections_s)
