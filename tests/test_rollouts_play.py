"""Tests of whole roll-outs in virtual time; each names the load that it replays."""

import asyncio
import itertools
import os
import unittest

from endivesill import events
from endivesill.rollouts.model import Phase, RolloutState, ServicePhase
from tests.rollout_play import LEASE_S, SERVICE, Play, good

# Seeded plays of each load; `make fuzz` plays more.
PLAYS = int(os.environ.get("FUZZ_EXAMPLES", "400")) // 4
FEW_PLAYS = max(4, PLAYS // 10)
FOUR_ROUTES = {
    "a": (30.0, 0.08),
    "b": (20.0, 0.08),
    "c": (12.0, 0.2),
    "d": (4.0, 0.08),
}
GENERATIONS = {"long": (9.2, 0.7), "short": (17.7, 0.5)}
# A bad version gets nothing later than this after its 50th bad answer.
ROLL_BACK_S = 5.0
BAD_ANSWERS = 50


def bad(share, *, routes=None, after=0, slowness=None):
    """Return a behaviour in which a share of the new version's answers is bad."""

    def behave(play, route, incarnation):
        failed, latency_s = good(play, route, incarnation)
        is_bad = (
            incarnation in play.new
            and (routes is None or route in routes)
            and sum(play.sent[name] for name in play.new) >= after
            and play.random.random() < share
        )
        if not is_bad:
            return failed, latency_s
        if slowness is None:
            return True, latency_s
        return failed, slowness * latency_s

    return behave


def bad_under_load(play, route, incarnation):
    """Half of the answers fail at a new engine that runs two requests."""
    failed, latency_s = good(play, route, incarnation)
    is_loaded = incarnation in play.new and play.in_flight[incarnation] >= 2
    return failed or (is_loaded and play.random.random() < 0.5), latency_s


def fault_of_both(play, route, incarnation):
    """Half of all answers fail for three seconds."""
    failed, latency_s = good(play, route, incarnation)
    is_faulty = 5.0 < play.clock.time_s < 8.0
    return failed or (is_faulty and play.random.random() < 0.5), latency_s


def burst_of_both(play, route, incarnation):
    """All answers take four times as long for three seconds."""
    failed, latency_s = good(play, route, incarnation)
    return failed, latency_s * (4.0 if 5.0 < play.clock.time_s < 8.0 else 1.0)


class PlayTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Debug mode of the event loop slows a play down.
        asyncio.get_running_loop().set_debug(False)
        previous = events._sink
        events.set_sink(lambda kind, fields: None)
        self.addCleanup(events.set_sink, previous)

    def assert_bounded(self, play):
        """Check the bounds of a bad version."""
        self.assertLessEqual(len(play.exposed), play.exposure_bound)
        if len(play.bad_times_s) >= BAD_ANSWERS:
            last_s = play.exposed[-1][0]
            self.assertLess(last_s, play.bad_times_s[BAD_ANSWERS - 1] + ROLL_BACK_S)

    async def assert_taken_back(self, plays=FEW_PLAYS, **options):
        for seed in range(plays):
            play = Play(seed, **options)
            self.assertEqual("rolled-back", await play.run(), seed)
            self.assert_bounded(play)

    async def count_taken_back(self, plays, **options):
        taken_back = 0
        for seed in range(plays):
            play = Play(seed, **options)
            if await play.run() != "completed":
                taken_back += 1
                self.assert_bounded(play)
        return taken_back


class GoodVersionTest(PlayTestCase):
    """A good version is completed within its time budget."""

    async def test_many_entries_with_a_request_a_second_each(self):
        taken_back = await self.count_taken_back(PLAYS)
        self.assertLessEqual(taken_back, PLAYS / 100)

    async def test_one_entry(self):
        taken_back = await self.count_taken_back(PLAYS, entries=1)
        self.assertLessEqual(taken_back, PLAYS / 100)

    async def test_a_thousand_entries_that_poll_once_a_second(self):
        for seed in range(2):
            play = Play(seed, entries=1_000, poll_s=1.0)
            self.assertEqual("completed", await play.run())

    async def test_generations(self):
        taken_back = await self.count_taken_back(
            FEW_PLAYS, routes=GENERATIONS, engines=22, duration_s=20.0
        )
        self.assertEqual(0, taken_back)

    async def test_four_routes_one_of_them_rare(self):
        taken_back = await self.count_taken_back(
            FEW_PLAYS, routes=FOUR_ROUTES, duration_s=20.0
        )
        self.assertEqual(0, taken_back)

    async def test_a_fault_of_both_versions_is_not_blamed_on_the_new_one(self):
        for behaviour in (fault_of_both, burst_of_both):
            taken_back = await self.count_taken_back(
                FEW_PLAYS, behaviour=behaviour, duration_s=24.0
            )
            self.assertEqual(0, taken_back)

    async def test_no_request_is_left_on_the_old_engines(self):
        for seed in range(FEW_PLAYS):
            play = Play(seed)
            await play.run()
            self.assertEqual(0, play.left_on_old)


class BadVersionTest(PlayTestCase):
    """A bad version is taken back within its exposure."""

    async def test_failures_at_once(self):
        await self.assert_taken_back(PLAYS, behaviour=bad(0.3))

    async def test_slow_at_once(self):
        await self.assert_taken_back(behaviour=bad(0.3, slowness=4.0))

    async def test_failures_after_half_of_the_exposure(self):
        await self.assert_taken_back(behaviour=bad(0.5, after=30))

    async def test_slow_after_half_of_the_exposure(self):
        await self.assert_taken_back(
            behaviour=bad(0.5, after=30, slowness=4.0), duration_s=20.0
        )

    async def test_one_route_of_four_with_few_requests(self):
        await self.assert_taken_back(
            behaviour=bad(0.5, routes=("d",)), routes=FOUR_ROUTES, duration_s=20.0
        )

    async def test_under_load(self):
        await self.assert_taken_back(behaviour=bad_under_load)

    async def test_generations(self):
        await self.assert_taken_back(
            behaviour=bad(0.4), routes=GENERATIONS, engines=22, duration_s=20.0
        )

    async def test_one_entry(self):
        await self.assert_taken_back(behaviour=bad(0.5), entries=1)

    async def test_a_thousand_entries(self):
        await self.assert_taken_back(
            2, behaviour=bad(0.5), entries=1_000, poll_s=1.0, duration_s=20.0
        )


class EngineTest(PlayTestCase):
    """New engines that do not come, or die."""

    async def test_new_engines_that_never_come(self):
        play = Play(1)
        play.new = []
        self.assertEqual("rolled-back", await play.run())
        self.assertEqual("no new engine", play.rollout.reason)

    async def test_too_few_new_engines(self):
        play = Play(1)
        del play.new[1:]
        self.assertEqual("rolled-back", await play.run())
        self.assertEqual("too few new engines", play.rollout.reason)

    async def test_new_engines_that_die_in_the_shift(self):
        play = Play(1)
        await play.run(until_s=5.0)
        while play.rollout.phase.value != "shift":
            await play.run(until_s=play.clock.time_s + 0.2)
        play.new = []
        await play.leader.step()
        self.assertEqual("rolled-back", play.rollout.state.value)


class ExcludedVersionTest(PlayTestCase):
    """Engines of a version that was taken back run on while the next one starts."""

    def phase(self, state, phase=Phase.CANARY):
        return ServicePhase(
            state,
            phase,
            frozenset({"old@1"}),
            frozenset({"new@1"}),
            frozenset({"bad@1"}),
        )

    def test_they_get_nothing_in_any_state(self):
        for state in RolloutState:
            for phase in Phase:
                for holds_lease in (True, False):
                    engines = self.phase(state, phase)
                    self.assertTrue(engines.is_barred("bad@1", holds_lease))

    def test_one_version_gets_ordinary_requests_in_each_state(self):
        for state in RolloutState:
            for phase in Phase:
                for holds_lease in (True, False):
                    engines = self.phase(state, phase)
                    barred = [
                        engines.is_barred(name, holds_lease)
                        for name in ("old@1", "new@1")
                    ]
                    self.assertEqual(1, sum(barred))

    async def test_the_leader_tells_them_apart(self):
        play = Play(7)
        await play.start()
        row = play.replica.state.sections["rollouts"]["services"][SERVICE]
        row["taken_back"] = ["v1"]
        await play.leader.step()
        reply = play.leader.reply_fields({"entry": "e1"})
        told = reply["rollouts"][SERVICE]
        self.assertEqual([], told["old"])
        self.assertEqual(sorted(play.old), told["excluded"])


class FailureTest(PlayTestCase):
    """One failure at each step of a roll-out."""

    async def test_a_leader_that_is_lost_at_each_second(self):
        for second in range(1, 11):
            for behaviour in (good, bad(0.5)):

                def lose_leader(play, lost_s=0.5 + second):
                    if lost_s <= play.clock.time_s < lost_s + 0.05:
                        play.lead(2)

                play = Play(second, behaviour, duration_s=20.0)
                state = await play.run(on_step=lose_leader)
                if behaviour is good:
                    self.assertEqual("completed", state, second)
                else:
                    self.assertEqual("rolled-back", state, second)
                    self.assert_bounded(play)

    async def test_leaders_that_are_lost_again_and_again(self):
        """All that earlier leaders have reserved counts as used."""
        terms = itertools.count(2)

        def lose_leader(play):
            if round(play.clock.time_s / 0.05) % 30 == 0:
                play.lead(next(terms))

        play = Play(3, bad(0.1), duration_s=20.0)
        await play.run(on_step=lose_leader)
        self.assertEqual("rolled-back", play.rollout.state.value)
        self.assertLessEqual(len(play.exposed), play.exposure_bound)

    async def test_entries_that_are_cut_off(self):
        """Half of the entries lose the leader; they use no canary and no new engine."""

        def cut(play):
            if play.clock.time_s >= 3.5:
                for entry in play.entries[::2]:
                    entry.is_cut = True

        for behaviour in (good, bad(0.5)):
            play = Play(4, behaviour, duration_s=20.0)
            await play.run(on_step=cut)
            self.assert_cut_entries_get_nothing(play)

    def assert_cut_entries_get_nothing(self, play):
        cut = {entry.name for entry in play.entries if entry.is_cut}
        late = [t for t, name in play.exposed if name in cut and t > 3.6 + LEASE_S]
        self.assertEqual([], late)

    async def test_an_entry_that_is_cut_off_in_the_shift_goes_back(self):
        play = Play(5)
        while play.clock.time_s < 6.5:
            await play.run(until_s=play.clock.time_s + 0.5)
        self.assertEqual("shift", play.rollout.phase.value)
        versions = play.entries[0].rollouts
        self.assertTrue(versions.is_barred(SERVICE, "old0"))
        play.clock.time_s += LEASE_S
        self.assertFalse(versions.is_barred(SERVICE, "old0"))
        self.assertTrue(versions.is_barred(SERVICE, "new0"))


class WithoutRolloutTest(PlayTestCase):
    """Nothing is added to the polls where no roll-out runs."""

    async def test_polls(self):
        play = Play(6)
        self.assertEqual({}, play.entries[0].rollouts.request_fields())
        await play.leader.step()
        self.assertEqual({}, play.leader.reply_fields({"entry": "e1"}))

    async def test_a_service_without_one(self):
        play = Play(6)
        await play.run(until_s=4.0)
        versions = play.entries[0].rollouts
        self.assertFalse(versions.is_barred("other", "x@1"))
        self.assertIsNone(await versions.offer("other", "r"))
