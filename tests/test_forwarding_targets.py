"""Tests of the target table: eligibility, rate limits and outlier detection."""

import random
import unittest

from endivesill.forwarding.health import (
    MAX_EJECTION_S,
    MIN_RESPONSES,
    BrokenRequests,
    HealthRecord,
    new_fleet_record,
)
from endivesill.forwarding.placement import choose_target
from endivesill.forwarding.target import COLD_WINDOW_S, ResourceDemand
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import PLAIN, engine, make_table, set_engines


class AcceptsRequestsTest(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.table = make_table(self.timer, engine("e1"), engine("e2", data_centre="b"))

    def names(self, *excluded):
        return [t.info.identity for t in self.table.candidates("llm", excluded)]

    def test_draining_engines_get_no_requests(self):
        set_engines(
            self.table, self.table._view, engine("e1", is_draining=True), engine("e2")
        )
        self.assertEqual(["e2"], self.names())

    def test_engines_of_an_evacuated_data_centre_get_no_requests(self):
        self.table._view.evacuated = frozenset({"b"})
        self.assertEqual(["e1"], self.names())

    def test_an_unlisted_engine_gets_no_requests_while_its_runs_end(self):
        target = self.table.find_all(["e1@1"])[0]
        target.reserve(ResourceDemand(10, 10))
        set_engines(self.table, self.table._view, engine("e2"))
        self.assertFalse(self.table.accepts_requests(target))
        self.assertIn("e1@1", self.table.own_loads())

    def test_a_restarted_engine_is_a_new_target(self):
        target = self.table.find_all(["e1@1"])[0]
        target.reserve(ResourceDemand(10, 10))
        set_engines(self.table, self.table._view, engine("e1", incarnation="e1@2"))
        self.assertFalse(self.table.accepts_requests(target))
        self.assertEqual(0, self.table.find_all(["e1@2"])[0].requests)

    def test_an_engine_learnt_from_the_leader_is_added(self):
        target = self.table.get_or_add(engine("e3"))
        self.assertIn("e3", self.names())
        self.assertIs(target, self.table.get_or_add(engine("e3")))

    def test_an_ejected_target_is_used_as_a_last_resort(self):
        target = self.table.find_all(["e1@1"])[0]
        self.table.eject(target, 1.0, "set by the test")
        self.assertEqual(["e2"], self.names())
        other = self.table.find_all(["e2@1"])[0]
        self.assertEqual(["e1"], self.names(other))


class BrokenRequestsTest(unittest.TestCase):
    def test_the_ejection_doubles_while_the_target_goes_down_again(self):
        broken = BrokenRequests()
        ejections_s = [broken.note(now_s) for now_s in (0, 0.1, 2, 2.1, 5, 5.1, 30, 30)]
        self.assertEqual([0, 1.0, 0, 2.0, 0, 4.0, 0, 1.0], ejections_s)

    def test_single_requests_do_not_eject(self):
        broken = BrokenRequests()
        self.assertEqual([0.0] * 5, [broken.note(2.0 * n) for n in range(5)])


class FlappingTargetTest(unittest.IsolatedAsyncioTestCase):
    """One of three targets goes down and up by turns under a fleet of 40 entries."""

    ENTRIES = 40
    REQUESTS_PER_S = 60
    SECONDS = 6

    async def lost_requests(self, *, is_shared: bool) -> int:
        timer = ManualTimer()
        names = ("p1", "p2", "p3")
        tables = [
            make_table(timer, *(engine(n, "app") for n in names))
            for _ in range(self.ENTRIES + 1)
        ]
        leader, *entries = tables
        if is_shared:
            leader.on_ejected = lambda target, duration_s: [
                table.apply_ejections({target.info.incarnation: duration_s})
                for table in entries
            ]
        source = random.Random(1)
        lost = 0
        for _ in range(self.SECONDS * self.REQUESTS_PER_S):
            await timer.advance(1.0 / self.REQUESTS_PER_S)
            entry = source.choice(entries)
            target = choose_target(
                entry.candidates("app", ()), PLAIN, ResourceDemand(), "a", source
            )
            is_down = target.info.identity == "p1" and int(timer.now_s()) % 2 == 0
            entry.note_outcome(target, succeeded=not is_down)
            if is_down:
                lost += 1
                entry.note_broken(target)
            if is_down or source.random() < 0.05:
                leader.apply_outcomes(entry.outcomes.take())
        return lost

    async def test_the_fleet_loses_few_requests_each_time_it_goes_down(self):
        # It goes down three times, and two broken requests show it each time.
        self.assertLessEqual(await self.lost_requests(is_shared=True), 6)
        self.assertGreater(await self.lost_requests(is_shared=False), 40)


class ColdRateTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_limit_holds_in_every_second(self):
        timer = ManualTimer()
        table = make_table(timer, engine("e1"))
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

    async def test_a_limit_below_one_uses_a_longer_window(self):
        timer = ManualTimer()
        table = make_table(timer, engine("e1"))
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
        self.table = make_table(self.timer, *(engine(n, "app") for n in names))
        self.targets = self.table.find_all([f"{n}@1" for n in names])

    def record_responses(self, failure_rates, rounds=60):
        """Record responses that fail at the given rates, in a fixed pattern."""
        for number in range(rounds):
            for target, failure_rate in zip(self.targets, failure_rates, strict=True):
                succeeded = int(number * failure_rate) == int(
                    (number + 1) * failure_rate
                )
                self.table.note_outcome(target, succeeded=succeeded)

    def ejected(self):
        now_s = self.timer.now_s()
        return [t.info.identity for t in self.targets if t.ejected_until_s > now_s]

    def test_a_partially_failing_target_is_ejected(self):
        """Guards against a target that fails half of its requests.

        Its health checks pass, so that only the responses show the fault.
        """
        self.record_responses((0.0, 0.5, 0.0, 0.0))
        self.assertEqual(["p2"], self.ejected())

    def test_failures_at_all_targets_eject_none(self):
        self.record_responses((0.14, 0.14, 0.14, 0.14))
        self.assertEqual([], self.ejected())

    def test_at_most_half_of_the_targets_are_ejected(self):
        self.record_responses((0.0, 0.9, 0.9, 0.9))
        self.assertEqual(2, len(self.ejected()))

    def test_an_unresponsive_target_is_ejected_before_its_requests_time_out(self):
        """Guards against a target that accepts requests and never responds."""
        target = self.targets[0]
        self.table.note_overdue(target)
        self.assertEqual([], self.ejected())
        self.table.note_overdue(target)
        self.assertEqual(["p1"], self.ejected())

    def test_an_ejection_starts_the_count_of_overdue_responses_anew(self):
        target = self.targets[0]
        for _ in range(2):
            self.table.note_overdue(target)
        until_s = target.ejected_until_s
        self.table.note_overdue(target)
        self.assertEqual(until_s, target.ejected_until_s)

    def test_a_shorter_ejection_does_not_end_a_longer_one(self):
        target = self.targets[0]
        self.table.eject(target, 16.0, "fails")
        until_s = target.ejected_until_s
        self.table.note_no_connection(target, "refused")
        self.table.update_reports(lambda incarnation: None, {"p1@1"})
        self.assertEqual(until_s, target.ejected_until_s)

    def test_a_slow_target_that_responds_is_not_ejected(self):
        target = self.targets[0]
        for _ in range(10):
            self.table.note_overdue(target)
            self.table.note_outcome(target, succeeded=True)
        self.assertEqual([], self.ejected())

    def test_two_requests_broken_off_soon_after_each_other_eject_a_target(self):
        ejected = []
        self.table.on_ejected = lambda target, duration_s: ejected.append(duration_s)
        self.table.apply_outcomes({"p1@1": [0, 1, 1], "gone@1": [0, 0, 5]})
        self.assertEqual([], ejected)
        self.table.apply_outcomes({"p1@1": [0, 1, 1]})
        self.assertEqual((["p1"], [1.0]), (self.ejected(), ejected))

    def test_an_outlier_among_the_outcomes_of_all_entries_is_ejected(self):
        """Each entry sends a target too few requests to see that it fails."""
        self.use_fleet_records()
        for _ in range(30):
            rows = {f"p{n}@1": [1, 0, 0] for n in (1, 2, 3)} | {"p4@1": [0, 1, 0]}
            self.table.apply_outcomes(rows)
        self.assertEqual(["p4"], self.ejected())

    def test_chance_ejects_no_target_at_the_leader(self):
        """All targets fail 14 % of 10,000 requests; a short average would differ."""
        self.use_fleet_records()
        source = random.Random(1)
        for _ in range(2_500):
            rows = {f"p{n}@1": [1, 0, 0] for n in (1, 2, 3, 4)}
            for row in rows.values():
                if source.random() < 0.14:
                    row[:2] = [0, 1]
            self.table.apply_outcomes(rows)
            self.assertEqual([], self.ejected())

    def use_fleet_records(self):
        for target in self.targets:
            target.health = new_fleet_record()

    def test_ejections_of_the_leader_are_applied(self):
        self.table.apply_ejections({"p2@1": 3.0, "gone@1": 3.0})
        self.assertEqual(["p2"], self.ejected())

    def test_a_replaced_target_is_not_used_until_its_address_changes(self):
        """Guards against a list that still has an engine whose address was reused."""
        target = self.targets[0]
        self.table.note_replaced(target)
        self.assertFalse(self.table.accepts_requests(target))
        self.table.update_engines()
        self.assertFalse(self.table.accepts_requests(target))
        moved = engine("p1", "app", address="10.0.0.9:1")
        set_engines(self.table, self.table._view, moved)
        self.assertTrue(self.table.accepts_requests(target))

    def test_refused_connections_double_the_ejection(self):
        target = self.targets[0]
        ejections_s = []
        for _ in range(5):
            self.table.note_no_connection(target, "refused")
            ejections_s.append(target.ejected_until_s - self.timer.now_s())
        self.assertEqual([0.5, 1.0, 2.0, 4.0, 4.0], ejections_s)
        self.table.note_outcome(target, succeeded=True)
        self.table.note_no_connection(target, "refused")
        self.assertEqual(0.5, target.ejected_until_s - self.timer.now_s())

    def test_a_target_that_refuses_connections_for_hours(self):
        target = self.targets[0]
        for _ in range(2_000):
            self.table.note_no_connection(target, "refused")
        self.assertEqual(4.0, target.ejected_until_s - self.timer.now_s())

    def test_an_engine_without_reports_is_ejected(self):
        self.table.update_reports(lambda incarnation: None, {"p1@1"})
        self.assertEqual(["p1"], self.ejected())
        names = [t.info.identity for t in self.table.candidates("app", ())]
        self.assertEqual(["p2", "p3", "p4"], names)

    def test_consecutive_ejections_double(self):
        record, healthy = HealthRecord(), HealthRecord()
        healthy.responses = MIN_RESPONSES
        ejections_s = []
        while len(ejections_s) < 3:
            record.record_response(succeeded=False)
            ejection_s = record.ejection_s([healthy])
            if ejection_s:
                ejections_s.append(ejection_s)
        self.assertEqual([2.0, 4.0, 8.0], ejections_s)

    def test_a_target_that_fails_for_hours(self):
        """Guards against an error in each poll while one service fails."""
        self.table.apply_outcomes({"p1@1": [0, 50_000, 0]})
        self.assertEqual(["p1"], self.ejected())
        record, healthy = HealthRecord(), HealthRecord()
        healthy.responses = MIN_RESPONSES
        longest_s = 0.0
        for _ in range(50_000):
            record.record_response(succeeded=False)
            longest_s = max(longest_s, record.ejection_s([healthy]))
        self.assertEqual(MAX_EJECTION_S, longest_s)
