"""Tests of engines that limit the rate of requests from all entries together."""

import math
import unittest

from bench.platform_soak_limits import allowed_in_window
from endivesill import events
from endivesill.fleet.engine_limits import HOLD_S, MIN_LIMIT_PER_S, EngineLimits
from endivesill.fleet.load import FleetLoads
from endivesill.fleet.permits import LeaderPermits, burst_requests
from endivesill.timer import ManualTimer
from tests.limited_fleet import FleetTestCase


class LimitedFleetTestCase(FleetTestCase):
    def assert_limit_kept(self, engine, limit_per_s, since_s=0.0):
        most = engine.most_in_window(since_s)
        self.assertLessEqual(most, allowed_in_window(limit_per_s))


class SumOverEntriesTest(LimitedFleetTestCase):
    async def test_seven_entries_keep_to_the_limit_together(self):
        fleet = await self.fleet(7, "s1", "s2", "s3")
        limited = fleet.engines["s1@1"]
        limited.limit_per_s = 2.4
        await fleet.drive(12.0, per_s=40.0)
        self.assert_limit_kept(limited, 2.4)

    async def test_one_request_at_each_of_a_thousand_entries(self):
        """All entries know of the limit, and have sent nothing for long."""
        fleet = await self.fleet(1_000, "s1")
        limited = fleet.engines["s1@1"]
        limited.limit_per_s = 2.4
        await fleet.drive(2.0, per_s=5.0)
        for entry in fleet.entries:
            limited.told_s.setdefault(entry.address, fleet.timer.now_s())
        await fleet.timer.advance(3.0)
        for entry in fleet.entries:
            fleet.start_send(entry)
        await fleet.drive(1.0, per_s=1.0)
        self.assert_limit_kept(limited, 2.4)

    async def test_several_engines_each_keep_their_limit(self):
        fleet = await self.fleet(7, "s1", "s2", "s3")
        limits = {"s1@1": 0.5, "s2@1": 2.6, "s3@1": 9.0}
        for name, limit_per_s in limits.items():
            fleet.engines[name].limit_per_s = limit_per_s
        await fleet.drive(12.0, per_s=40.0)
        for name, limit_per_s in limits.items():
            self.assert_limit_kept(fleet.engines[name], limit_per_s)

    async def test_a_limit_that_all_engines_name_is_used_up(self):
        """Requests that may run are not held back."""
        fleet = await self.fleet(7, "s1", "s2")
        for limited in fleet.engines.values():
            limited.limit_per_s = 5.0
        await fleet.drive(4.0, per_s=20.0)
        before = sum(len(e.arrivals) for e in fleet.engines.values())
        await fleet.drive(10.0, per_s=20.0)
        sent = sum(len(e.arrivals) for e in fleet.engines.values()) - before
        self.assertGreaterEqual(sent, 0.9 * 10.0 * 10.0)

    async def test_one_entry_alone_may_use_the_whole_limit(self):
        fleet = await self.fleet(7, "s1")
        limited = fleet.engines["s1@1"]
        limited.limit_per_s = 5.0
        await fleet.drive(2.0, per_s=10.0, entries=fleet.entries[:1])
        before = len(limited.arrivals)
        await fleet.drive(8.0, per_s=10.0, entries=fleet.entries[:1])
        self.assertGreaterEqual(len(limited.arrivals) - before, 0.9 * 8.0 * 5.0)

    async def test_requests_go_to_the_engines_without_a_limit(self):
        fleet = await self.fleet(7, "s1", "s2")
        fleet.engines["s1@1"].limit_per_s = 2.0
        await fleet.drive(8.0, per_s=40.0)
        self.assertEqual([], [e for entry in fleet.entries for e in entry.refusals])


class ChangesOfLeaderTest(LimitedFleetTestCase):
    async def limited_fleet(self, limit_per_s=2.4, entries=7):
        fleet = await self.fleet(entries, "s1")
        limited = fleet.engines["s1@1"]
        limited.limit_per_s = limit_per_s
        await fleet.drive(5.0, per_s=20.0)
        return fleet, limited

    async def crash_all(self, fleet):
        for address in list(fleet.replicas):
            await fleet.crash(address)

    async def test_a_new_leader(self):
        fleet, limited = await self.limited_fleet()
        await fleet.crash(fleet.address_of(await fleet.leader()))
        before = len(limited.arrivals)
        await fleet.drive(10.0, per_s=20.0)
        self.assert_limit_kept(limited, 2.4)
        self.assertGreaterEqual(len(limited.arrivals) - before, 0.7 * 10.0 * 2.4)

    async def test_entries_take_turns_without_a_leader(self):
        fleet, limited = await self.limited_fleet()
        await self.crash_all(fleet)
        before = len(limited.arrivals)
        await fleet.drive(20.0, per_s=20.0, patience_s=3.0)
        self.assert_limit_kept(limited, 2.4)
        self.assertGreaterEqual(len(limited.arrivals) - before, 0.7 * 20.0 * 2.4)

    async def test_a_leader_that_entries_reach_once_gives_no_turns(self):
        """It knows only the entries that came before the one that it answers."""
        fleet, limited = await self.limited_fleet(entries=40)
        first = fleet.address_of(await fleet.leader())
        await fleet.crash(first)
        second = fleet.address_of(await fleet.leader())
        while any(e.sync_client.leader != second for e in fleet.entries):
            await fleet.timer.advance(0.05)
        await fleet.crash(second)
        for entry in fleet.entries:
            limited.told_s.setdefault(entry.address, fleet.timer.now_s())
        await fleet.drive(12.0, per_s=60.0)
        self.assert_limit_kept(limited, 2.4)

    async def test_no_turn_is_saved_up_without_a_leader(self):
        fleet, limited = await self.limited_fleet(entries=200)
        await self.crash_all(fleet)
        for entry in fleet.entries:
            limited.told_s.setdefault(entry.address, fleet.timer.now_s())
        await fleet.timer.advance(120.0)
        for entry in fleet.entries:
            fleet.start_send(entry)
        await fleet.drive(5.0, per_s=20.0)
        self.assert_limit_kept(limited, 2.4)

    async def test_an_entry_that_starts_without_a_leader_sends_one_request(self):
        fleet, limited = await self.limited_fleet()
        await self.crash_all(fleet)
        started = fleet.add_entry()
        started.view.engines = dict(fleet.entries[0].view.engines)
        started.table.update_engines()
        for _ in range(20):
            fleet.start_send(started)
            await fleet.timer.advance(0.2)
        sent = [entry for _, entry in limited.arrivals if entry == started.address]
        self.assertLessEqual(len(sent), 1)

    async def test_an_entry_that_the_engine_has_not_told_keeps_the_limit(self):
        fleet, _limited = await self.limited_fleet()
        await fleet.timer.advance(0.5)
        untold = fleet.add_entry()
        await fleet.timer.advance(1.0)
        self.assertEqual(2.4, untold.sync_client.limits.limit_per_s("s1@1"))

    async def test_a_restarted_leader_learns_of_the_limit_from_the_entries(self):
        fleet, _ = await self.limited_fleet()
        await self.crash_all(fleet)
        for address in fleet.addresses:
            await fleet.boot(address)
        leader = fleet.address_of(await fleet.leader())
        await fleet.timer.advance(2.0)
        limits = fleet.sync_services[leader].limits
        self.assertEqual(2.4, limits.limit_per_s("s1@1"))


class ChangesOfLimitTest(LimitedFleetTestCase):
    async def test_a_lower_limit_voids_the_permits_of_the_higher_one(self):
        fleet = await self.fleet(7, "s1")
        limited = fleet.engines["s1@1"]
        limited.limit_per_s = 200.0
        await fleet.drive(4.0, per_s=40.0)
        limited.limit_per_s = 1.0
        changed_s = fleet.timer.now_s()
        await fleet.drive(8.0, per_s=40.0)
        limited.told_s = {entry.address: changed_s for entry in fleet.entries}
        self.assert_limit_kept(limited, 1.0, changed_s)

    async def test_requests_are_sent_freely_once_the_limit_has_ended(self):
        fleet = await self.fleet(7, "s1")
        limited = fleet.engines["s1@1"]
        limited.limit_per_s = 2.0
        await fleet.drive(4.0, per_s=20.0)
        limited.limit_per_s = None
        await fleet.drive(1.5, per_s=20.0)
        for entry in fleet.entries:
            entry.refusals.clear()
        await fleet.drive(4.0, per_s=20.0)
        self.assertEqual([], [e for entry in fleet.entries for e in entry.refusals])
        self.assertIsNone(fleet.entries[0].sync_client.limits.limit_per_s("s1@1"))


class RefusalTest(LimitedFleetTestCase):
    async def test_a_request_without_room_is_refused_at_once(self):
        fleet = await self.fleet(7, "s1")
        fleet.engines["s1@1"].limit_per_s = 0.25
        await fleet.drive(6.0, per_s=10.0)
        entry = fleet.entries[0]
        before = len(entry.refusals)
        fleet.start_send(entry, patience_s=0.3)
        await fleet.timer.advance(0.1)
        self.assertEqual(before + 1, len(entry.refusals))

    async def test_a_caller_that_returns_after_the_time_named_is_served(self):
        fleet = await self.fleet(3, "s1")
        fleet.engines["s1@1"].limit_per_s = 1.0
        await fleet.drive(4.0, per_s=6.0, patience_s=0.2)
        entry = fleet.entries[0]
        fleet.start_send(entry, patience_s=0.2)
        await fleet.timer.advance(0.1)
        await fleet.timer.advance(entry.refusals[-1].retry_after_s)
        served = entry.served
        fleet.start_send(entry, patience_s=0.2)
        await fleet.timer.advance(0.5)
        self.assertEqual(served + 1, entry.served)

    async def test_refused_callers_are_told_different_times(self):
        fleet = await self.fleet(3, "s1")
        fleet.engines["s1@1"].limit_per_s = 1.0
        await fleet.drive(4.0, per_s=6.0, patience_s=0.2)
        entry = fleet.entries[0]
        entry.refusals.clear()
        for _ in range(5):
            fleet.start_send(entry, patience_s=0.2)
        await fleet.timer.advance(0.3)
        times_s = [round(e.retry_after_s, 2) for e in entry.refusals]
        self.assertGreaterEqual(len(set(times_s)), 4)


class EngineLimitsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.limits = EngineLimits(self.timer)

    def note(self, per_s, may_end=True):
        return self.limits.note_response("e1@1", per_s, may_end=may_end)

    def test_zero_counts_as_the_lowest_limit(self):
        self.note(0.0)
        self.assertEqual(MIN_LIMIT_PER_S, self.limits.limit_per_s("e1@1"))

    def test_an_unreadable_limit_leaves_the_last_one_in_force(self):
        self.assertFalse(self.note(math.nan))
        self.assertIsNone(self.limits.limit_per_s("e1@1"))
        self.note(3.0)
        self.note(math.nan)
        self.assertEqual(3.0, self.limits.limit_per_s("e1@1"))

    def test_an_unreadable_limit_is_logged_once(self):
        lines = []
        self.addCleanup(events.listen(lambda kind, fields: lines.append(kind.name)))
        for _ in range(5):
            self.note(math.nan)
        self.assertEqual(["engine-limited"], lines)

    async def test_a_response_that_says_nothing_of_limits_does_not_end_one(self):
        self.note(3.0)
        await self.timer.advance(HOLD_S)
        self.assertFalse(self.note(None, may_end=False))
        self.assertTrue(self.note(None))
        self.assertIsNone(self.limits.limit_per_s("e1@1"))

    async def test_a_limit_that_changes_with_each_response_is_seldom_news(self):
        news = 0
        for number in range(200):
            await self.timer.advance(0.01)
            news += self.note((2.0, 20.0, None)[number % 3])
        self.assertEqual(1, news)
        self.assertEqual(2.0, self.limits.limit_per_s("e1@1"))

    async def test_the_newest_observation_holds_on_all_vms(self):
        other = EngineLimits(self.timer)
        self.note(3.0)
        await self.timer.advance(1.0)
        other.note_response("e1@1", 5.0, may_end=True)
        self.assertTrue(other.merge(self.limits.rows()))
        self.assertFalse(self.limits.merge(other.rows()))
        self.assertEqual(5.0, self.limits.limit_per_s("e1@1"))
        self.assertEqual(5.0, other.limit_per_s("e1@1"))


class LeaderPermitsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.limits = EngineLimits(self.timer)
        self.limits.note_response("e1@1", 10.0, may_end=True)
        self.permits = LeaderPermits(
            self.timer, self.limits, FleetLoads(), lambda incarnation: 0
        )

    async def test_a_bucket_starts_empty_and_saves_up_a_short_burst(self):
        self.assertEqual(0, self.permits.grant("a", "e1@1", 100)[0])
        await self.timer.advance(60.0)
        granted, _ = self.permits.grant("a", "e1@1", 100)
        self.assertEqual(int(burst_requests(10.0)), granted)

    async def test_the_wait_grows_with_the_entries_that_wait(self):
        waits_s = [self.permits.grant(name, "e1@1", 1)[1] for name in "abcd"]
        self.assertEqual(sorted(set(waits_s)), waits_s)
        self.assertEqual(4, self.permits.waiting_entries("e1@1"))
        await self.timer.advance(10.0)
        self.assertEqual(0, self.permits.waiting_entries("e1@1"))

    async def test_polls_take_a_part_of_the_limit(self):
        polls = 0
        for _ in range(1_000):
            await self.timer.advance(0.01)
            polls += self.permits.may_poll("e1@1")
        self.assertLessEqual(polls, 0.25 * 10.0 * 10.0 + 1)
        self.assertTrue(self.permits.may_poll("e2@1"))
