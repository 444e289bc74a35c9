"""Tests of the platform soak: fault schedules, checks, and short seeded runs.

The runs start the real processes. They check what callers, operators and targets
observed, and nothing that depends on the speed of the machine.
"""

import os
import pathlib
import tempfile
import unittest

from bench.platform_soak import Soak
from bench.platform_soak_callers import CallRecord
from bench.platform_soak_crashes import CrashRecords
from bench.platform_soak_cuts import CUT, DOWN, SOUND, CutRecords, entry_group
from bench.platform_soak_faults import make_faults
from bench.platform_soak_fleet import SoakFleet
from bench.platform_soak_limits import LimitPeriod, LimitRecords
from bench.platform_soak_mass_cuts import mass_cuts
from bench.platform_soak_orders import OrderRecord
from bench.platform_soak_profiles import make_profile
from bench.platform_soak_rollout_targets import RolloutRecord
from bench.platform_soak_runs import RunRecords, Work
from bench.platform_soak_stops import StopRecords
from endivesill.timer import ManualTimer

SHORT_FAULT_S = 4.0
SHORT_CRASH_S = 6.0
SHORT_LIMIT_S = 8.0
SHORT_CUT_S = 9.0
SHORT_MASS_CUT_S = 10.0
SHORT_ORDER_S = 8.0
SHORT_ENTRY_S = 6.0
SHORT_ROLLOUT_S = 16.0
SHORT_REPLACEMENT_S = 8.0
SHORT_RUN_S = 8.0
# Above the numbers of manual runs; differs between test runs on one machine.
FLEET_NUMBER = 30_000 + os.getpid() % 30_000


class ScheduleTest(unittest.TestCase):
    def test_a_seed_gives_the_same_faults(self):
        self.assertEqual(make_faults(5, 30.0), make_faults(5, 30.0))
        self.assertNotEqual(make_faults(5, 30.0), make_faults(6, 30.0))

    def test_each_kind_occurs_before_any_occurs_twice(self):
        faults = make_faults(5, 60.0)
        kinds = len({fault.action for fault in faults})
        first = [fault.action for fault in faults[:kinds]]
        self.assertEqual(kinds, len(set(first)))
        self.assertGreaterEqual(kinds, 10)

    def test_the_stop_profile_only_stops_entries(self):
        faults = make_profile("stops", ManualTimer(), 5).make_faults(30.0)
        self.assertEqual({"stop"}, {fault.action for fault in faults})
        self.assertTrue(all(f.subject.startswith("entry-") for f in faults))

    def test_part_of_the_seeds_of_the_crash_profile_has_faults(self):
        even, odd = (
            make_profile("crashes", ManualTimer(), seed).make_faults(60.0)
            for seed in (8, 9)
        )
        self.assertEqual([], even)
        actions = {fault.action for fault in odd}
        self.assertEqual({"stop", "kill", "kill_leader", "kill_all_controls"}, actions)


class RolloutRecordTest(unittest.TestCase):
    """The check of a roll-out finds what it is for."""

    def record(self, kind="failing", exposed=50, state="rolled_back"):
        record = RolloutRecord("app", "v2", kind, 100.0)
        record.requests_s = [101.0] * 1_000
        record.new_requests_s = [101.0] * exposed
        record.is_acknowledged, record.state = True, state
        return record

    def test_exposure_of_a_bad_version(self):
        self.assertEqual([], self.record(exposed=150).findings(True))
        self.assertEqual(1, len(self.record(exposed=151).findings(True)))

    def test_a_request_long_after_the_bad_answers(self):
        record = self.record()
        record.bad_s = [101.0] * 50
        self.assertEqual([], record.findings(False))
        record.new_requests_s.append(113.0)
        self.assertEqual(1, len(record.findings(False)))

    def test_outcomes_without_faults(self):
        wrong = [self.record(state="completed"), self.record("good")]
        for record in wrong:
            self.assertEqual(1, len(record.findings(True)))
            self.assertEqual([], record.findings(False))

    def test_requests_that_are_cut_off(self):
        record = self.record("good", 600, "completed")
        self.assertEqual([], record.findings(True))
        record.cut = 1
        self.assertEqual(1, len(record.findings(True)))


class RunRecordTest(unittest.TestCase):
    """The check of runs finds what it is for."""

    def findings(self, *spans_s, ended_s=102.0, orders=1):
        records = RunRecords()
        for start_s, end_s in spans_s:
            work = Work("a1", "llm-1", "silent", start_s, end_s, orders=orders)
            records.works.append(work)
        call = CallRecord("a1", "streaming", "entry-a", 100.0, ended_s)
        return records.check([call])[0]

    def test_a_run_at_two_engines(self):
        self.assertEqual([], self.findings((100.0, 101.3), (101.0, 102.0)))
        self.assertEqual(1, len(self.findings((100.0, 101.5), (101.0, 102.0))))

    def test_a_run_after_its_caller_has_gone(self):
        self.assertEqual([], self.findings((100.0, 103.4)))
        self.assertEqual(1, len(self.findings((100.0, 103.6))))
        self.assertEqual(1, len(self.findings((100.0, float("inf")))))

    def test_a_second_order_to_a_stopped_run(self):
        self.assertEqual(1, len(self.findings((100.0, 101.0), orders=2)))


class MassCutScheduleTest(unittest.TestCase):
    """Cuts of groups of 60 entries."""

    def setUp(self):
        fleet = SoakFleet(
            pathlib.Path(self.enterContext(tempfile.TemporaryDirectory())) / "fleet",
            FLEET_NUMBER,
            "",
            entries=20,
        )
        self.entries = fleet.with_role("entry")

    def test_groups_leave_sound_entries(self):
        for name, size in (("most", 54), ("share", 20), ("a", 20), ("even", 30)):
            self.assertEqual(size, len(entry_group(name, self.entries)))

    def test_the_halves_make_up_the_fleet(self):
        halves = [entry_group(name, self.entries) for name in ("even", "odd")]
        names = {entry.name for half in halves for entry in half}
        self.assertEqual([30, 30, 60], [*map(len, halves), len(names)])

    def test_each_group_is_cut_and_one_half_after_the_other(self):
        faults = mass_cuts(3, 60.0)
        self.assertEqual(faults, mass_cuts(3, 60.0))
        subjects = [fault.subject for fault in faults]
        self.assertLessEqual({"most", "share", "even", "odd"}, set(subjects))
        even = faults[subjects.index("even")]
        odd = faults[subjects.index("odd")]
        self.assertEqual(even.at_s + even.for_s, odd.at_s)

    def test_a_goal_above_the_bound_of_single_cuts(self):
        cuts = CutRecords(ManualTimer(100.0), 0.95)
        for entry, state in (("entry-a", CUT), ("entry-b", SOUND)):
            cuts.note_state(entry, state)
        records = [
            CallRecord(str(n), "safe", entry, 110.0, 110.1, 200 if n % 5 else 503)
            for entry in ("entry-a", "entry-b")
            for n in range(100)
            if entry == "entry-a" or n % 5
        ]
        self.assertEqual(1, len(cuts.check(records)[0]))


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.soak = Soak(1, 1.0)

    def count_findings(self, kind, status, runs, *, is_correct=False):
        record = CallRecord("a1", kind, "entry-a", 0.0, 1.0, status, is_correct)
        self.soak._check_record(record, runs)
        return len(self.soak.findings)

    def test_permitted_outcomes(self):
        self.count_findings("unsafe", 200, 1, is_correct=True)
        self.count_findings("safe", 200, 2, is_correct=True)
        self.count_findings("unsafe", 503, 0)
        self.count_findings("unsafe", 502, 1)
        self.assertEqual(0, self.count_findings("streaming", 0, 1))

    def test_an_unsafe_request_that_ran_twice(self):
        self.assertEqual(1, self.count_findings("unsafe", 502, 2))

    def test_a_refused_request_that_ran(self):
        self.assertEqual(1, self.count_findings("streaming", 503, 1))

    def test_a_response_to_another_request(self):
        self.assertEqual(1, self.count_findings("safe", 200, 1))

    def test_a_not_found_response(self):
        self.assertEqual(1, self.count_findings("safe", 404, 0))

    def test_service_that_does_not_recover(self):
        records = [CallRecord("a", "safe", "entry-a", 20.0, 21.0, 503)] * 4
        self.soak._check_records(records, 10.0)
        self.assertEqual(1, len(self.soak.findings))


class StopCheckTest(unittest.TestCase):
    """A request to an entry that gets SIGTERM at 1,000 s with a grace of 6 s."""

    def setUp(self):
        self.stops = StopRecords(ManualTimer(1_000.0), 6.0)
        self.stops.add_stop("entry-a")
        self.stops.arrived.add("a1")

    def count_findings(self, sent_s, ended_s, status=0, entry="entry-a", attempt="a1"):
        record = CallRecord(
            attempt, "safe", entry, 1_000.0 + sent_s, 1_000.0 + ended_s, status
        )
        return len(self.stops.check([record])[0])

    def test_a_late_request_that_is_given_up(self):
        self.assertEqual(1, self.count_findings(3.1, 5.0))
        self.assertEqual(1, self.count_findings(5.9, 6.1))

    def test_a_complete_response(self):
        self.assertEqual(0, self.count_findings(3.1, 5.0, 503))

    def test_a_request_that_reached_no_target(self):
        self.assertEqual(0, self.count_findings(3.1, 5.0, attempt="a2"))

    def test_a_request_to_another_entry(self):
        self.assertEqual(0, self.count_findings(3.1, 5.0, entry="entry-b"))

    def test_an_early_request_that_its_target_has_not_answered(self):
        self.assertEqual(0, self.count_findings(2.9, 5.9))

    def test_an_early_request_that_its_route_allows_no_more_time(self):
        """On a busy machine, the response was still on its way then."""
        self.stops.ended_s["a1"] = 1_004.9
        self.assertEqual(0, self.count_findings(0.89, 5.9))
        self.assertEqual(1, self.count_findings(0.92, 5.9))

    def test_an_early_request_that_its_target_has_answered(self):
        self.stops.ended_s["a1"] = 1_004.9
        self.assertEqual(1, self.count_findings(2.9, 5.9))


class CrashCheckTest(unittest.TestCase):
    """A part that crashes engines from 1,000 s to 1,004 s, and is sent to 1,030 s."""

    def setUp(self):
        self.crashes = CrashRecords(ManualTimer(), 1)
        self.wave = self.crashes.waves[0]
        self.wave.crashes_s = [1_000.0 + number for number in range(5)]
        self.wave.last_sent_s = 1_030.0

    def add_sound(self, from_s, count, statuses):
        for number in range(count):
            record = CallRecord("a", "streaming", "entry-a", from_s, from_s + 1.0)
            record.head_status = statuses[number % len(statuses)]
            self.crashes.sound.append(record)

    def count_findings(self):
        return len(self.crashes.check()[0])

    def test_the_last_part_of_a_prompt_crashes_nothing(self):
        part = self.wave.part
        self.assertIsNone(self.crashes.wave_of(f"5c:80,{part}:20"))
        self.assertIs(self.wave, self.crashes.wave_of(f"5c:80,{part}:20,91:20"))

    def test_requests_that_reach_engines_late(self):
        self.wave.arrivals = [(1_006.9, "a")] * 9 + [(1_007.1, "a")] * 3
        self.assertEqual(0, self.count_findings())
        self.wave.arrivals.append((1_007.1, "a"))
        self.assertEqual(1, self.count_findings())

    def test_four_crashes_set_no_bound(self):
        self.wave.crashes_s.pop()
        self.wave.arrivals = [(1_020.0, "a")] * 9
        self.assertEqual(0, self.count_findings())

    def test_sound_streams_that_begin_half_as_often(self):
        self.add_sound(990.0, 20, [200])
        self.add_sound(1_011.0, 20, [200, 503])
        self.assertEqual(0, self.count_findings())

    def test_the_last_crash_counts_if_there_are_fewer(self):
        self.wave.crashes_s = [1_000.0, 1_001.0]
        self.add_sound(990.0, 20, [200])
        self.add_sound(1_008.0, 21, [200, 503, 0])
        self.assertEqual(1, self.count_findings())

    def test_sound_streams_that_do_not_begin(self):
        self.add_sound(990.0, 20, [200])
        self.add_sound(1_011.0, 21, [200, 503, 0])
        self.assertEqual(1, self.count_findings())


class RequestCrashCheckTest(unittest.TestCase):
    """A plain request that crashes targets is known by its body."""

    def setUp(self):
        self.crashes = CrashRecords(ManualTimer(), 1, is_plain=True)
        self.wave = self.crashes.waves[0]

    def test_a_request_is_known_by_its_body(self):
        body = self.wave.part.encode()
        self.assertIs(self.wave, self.crashes.wave_of("", body))
        self.assertIsNone(self.crashes.wave_of(f"{self.wave.part}:80,91:20", b"order"))

    def test_the_bound_holds_from_the_third_crash(self):
        self.wave.crashes_s = [1_000.0, 1_001.0, 1_002.0]
        self.wave.arrivals = [(1_005.1, "a")] * 3
        self.assertEqual([], self.crashes.check()[0])
        self.wave.arrivals.append((1_005.1, "a"))
        self.assertEqual(1, len(self.crashes.check()[0]))


class LimitCheckTest(unittest.TestCase):
    """A target that names a limit of 2 requests a second from 1,000 s on."""

    def setUp(self):
        self.limits = LimitRecords()
        self.period = LimitPeriod("app-1", 2.0, [1_000.0])
        self.limits.periods.append(self.period)

    def count_findings(self, from_s, count, interval_s):
        self.period.arrivals_s += [from_s + n * interval_s for n in range(count)]
        return len(self.limits.check()[0])

    def test_a_limit_that_is_kept(self):
        self.assertEqual(0, self.count_findings(1_003.0, 40, 0.5))

    def test_requests_soon_after_the_limit_was_named(self):
        self.assertEqual(0, self.count_findings(1_000.1, 100, 0.02))

    def test_the_bound_of_a_window(self):
        self.assertEqual(0, self.count_findings(1_003.0, 17, 0.1))
        self.assertEqual(1, self.count_findings(1_004.95, 1, 0.1))


class CutCheckTest(unittest.TestCase):
    """Entry a is cut off from 1,000 s to 1,020 s; entry b is sound until 1,015 s."""

    def setUp(self):
        timer = ManualTimer(900.0)
        self.cuts = CutRecords(timer)
        self.records = []
        for time_s, entry, state in (
            (900.0, "a", SOUND),
            (900.0, "b", SOUND),
            (1_000.0, "a", CUT),
            (1_015.0, "b", DOWN),
            (1_020.0, "a", SOUND),
        ):
            timer.jump(time_s - timer.now_s())
            self.cuts.note_state(entry, state)

    def add(self, entry, sent_s, count, status):
        for number in range(count):
            at_s = sent_s + number * 0.001
            self.records.append(
                CallRecord("a1", "safe", entry, at_s, at_s + 0.1, status)
            )

    def count_findings(self):
        return len(self.cuts.check(self.records)[0])

    def test_entries_that_are_cut_off_serve_much_less(self):
        self.add("b", 1_005.0, 40, 200)
        self.add("a", 1_005.0, 20, 200)
        self.add("a", 1_005.0, 11, 503)
        self.assertEqual(0, self.count_findings())
        self.add("a", 1_005.0, 1, 503)
        self.assertEqual(1, self.count_findings())

    def test_failures_of_all_entries(self):
        self.add("b", 1_005.0, 40, 503)
        self.add("a", 1_005.0, 40, 503)
        self.assertEqual(0, self.count_findings())

    def test_requests_soon_after_the_cut(self):
        self.add("b", 1_005.0, 40, 200)
        self.add("a", 1_002.8, 40, 503)
        self.assertEqual(0, self.count_findings())

    def test_requests_while_no_entry_is_sound(self):
        self.add("b", 1_005.0, 40, 200)
        self.add("a", 1_016.0, 40, 503)
        self.assertEqual(0, self.count_findings())


class OrderCheckTest(unittest.TestCase):
    def test_the_last_order_that_was_acknowledged_is_in_force(self):
        self.assertEqual("", OrderRecord(True).finding("vm", "x", True))
        self.assertNotEqual("", OrderRecord(True).finding("vm", "x", False))
        self.assertNotEqual("", OrderRecord(False).finding("vm", "x", True))

    def test_an_order_that_was_given_up_may_be_in_force(self):
        self.assertEqual("", OrderRecord(True, False).finding("vm", "x", False))
        self.assertEqual("", OrderRecord().finding("vm", "x", True))


class FleetTest(unittest.TestCase):
    def test_a_running_process_is_not_started_again(self):
        with tempfile.TemporaryDirectory() as folder:
            fleet = SoakFleet(
                pathlib.Path(folder) / "soak", FLEET_NUMBER, "127.0.0.1:1"
            )
            process = fleet.processes["control-a"]
            fleet.launch(process)
            first = process.process
            fleet.launch(process)
            self.assertIs(first, process.process)
            process.kill()
            self.assertIsNotNone(first.poll())


class ShortRunTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_run_keeps_the_promises(self):
        report = await Soak(3, SHORT_FAULT_S, FLEET_NUMBER).run()
        self.assertEqual([], report["findings"])
        self.assertGreater(report["statuses"].get("200", 0), 0)

    async def test_a_stopping_entry_gives_up_no_request(self):
        report = await Soak(1, SHORT_FAULT_S, FLEET_NUMBER, "stops").run()
        self.assertGreater(report["late_requests"], 0)
        self.assertEqual([], report["findings"])

    async def test_a_part_that_crashes_engines_is_bounded(self):
        report = await Soak(9, SHORT_CRASH_S, FLEET_NUMBER, "crashes").run()
        figures = report["part 1"]
        self.assertGreater(figures["crashes"], 0)
        self.assertGreaterEqual(figures["sent_after"], 20)
        self.assertGreaterEqual(figures["sound_before"][1], 20)
        self.assertGreaterEqual(figures["sound_after"][1], 20)
        self.assertEqual([], report["findings"])

    async def test_a_request_that_crashes_targets_is_bounded(self):
        report = await Soak(5, SHORT_CRASH_S, FLEET_NUMBER, "requests").run()
        figures = report["part 1"]
        self.assertGreaterEqual(figures["crashes"], 3)
        self.assertGreaterEqual(figures["sent_after"], 20)
        self.assertGreaterEqual(figures["sound_after"][1], 20)
        self.assertEqual([], report["findings"])

    async def assert_few_ends(self, seed, profile, ending):
        report = await Soak(seed, SHORT_CRASH_S, FLEET_NUMBER, profile).run()
        figures = report["part 1"]
        self.assertEqual(ending, figures["ending"])
        self.assertGreaterEqual(figures["crashes"], 3)
        self.assertGreaterEqual(figures["sent_after"], 20)
        self.assertEqual([], report["findings"])

    async def test_engines_that_end_before_the_head_of_a_stream(self):
        await self.assert_few_ends(814, "crashes", "before the head")

    async def test_engines_that_end_late_in_a_stream(self):
        await self.assert_few_ends(808, "crashes", "late")

    async def test_engines_that_end_after_a_response_and_are_back_at_once(self):
        await self.assert_few_ends(910, "crashes", "after the response")

    async def test_engines_that_keep_runs_are_told_to_stop_them(self):
        report = await Soak(1, SHORT_RUN_S, FLEET_NUMBER, "runs").run()
        self.assertGreater(report["silent_runs"], 0)
        self.assertGreater(report["broken_runs"], 0)
        self.assertGreater(report["resumed_streams"], 0)
        self.assertEqual([], report["findings"])

    async def test_targets_that_limit_the_rate_of_requests(self):
        report = await Soak(3, SHORT_LIMIT_S, FLEET_NUMBER, "limits").run()
        self.assertGreater(report["limits"], 0)
        self.assertEqual([], report["findings"])

    async def test_callers_of_entries_without_links_to_targets_are_served(self):
        report = await Soak(1, SHORT_CUT_S, FLEET_NUMBER, "cuts").run()
        self.assertGreaterEqual(report["cut_requests"][0], 20)
        self.assertGreaterEqual(report["sound_requests"][0], 20)
        self.assertEqual([], report["findings"])

    async def test_callers_of_many_entries_without_links_are_served(self):
        report = await Soak(1, SHORT_MASS_CUT_S, FLEET_NUMBER, "mass-cuts", 4).run()
        self.assertGreaterEqual(report["cut_requests"][0], 5)
        self.assertEqual([], report["findings"])

    async def test_late_copies_of_orders_take_no_effect(self):
        report = await Soak(2, SHORT_ORDER_S, FLEET_NUMBER, "orders").run()
        self.assertGreater(report["orders"]["acknowledged"], 0)
        self.assertEqual([], report["findings"])

    async def test_roll_outs_end_within_their_bounds(self):
        report = await Soak(2, SHORT_ROLLOUT_S, FLEET_NUMBER, "rollouts").run()
        self.assertEqual([], report["findings"])
        self.assertTrue(report["rollouts"])

    async def test_odd_entries_of_the_list_change_nothing(self):
        report = await Soak(1, SHORT_ENTRY_S, FLEET_NUMBER, "entries").run()
        self.assertGreater(report["odd_pages"], 0)
        self.assertEqual([], report["findings"])

    async def test_control_vms_that_are_replaced_lose_nothing(self):
        """Guards against a majority of control VMs that are gone for good."""
        report = await Soak(1, SHORT_REPLACEMENT_S, FLEET_NUMBER, "replacements").run()
        self.assertGreater(report["replaced_controls"], 2)
        self.assertEqual([], report["findings"])
