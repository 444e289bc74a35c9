"""Tests of failure detection, partitions, joining, leaving and process pauses."""

from bench.memory_fleet import make_targets
from endivesill.membership import VmState
from tests.fleet_case import FleetTestCase

DETECTION_S = 3.0


class VmFailureTest(FleetTestCase):
    async def test_dead_vm_is_gone_everywhere_within_the_detection_time(self):
        await self.fleet.kill("vm-2")
        await self.timer.advance(DETECTION_S)
        self.assertEqual({VmState.GONE}, self.fleet.states("vm-2"))

    async def test_two_simultaneous_failures_are_both_detected(self):
        await self.fleet.kill("vm-4")
        await self.fleet.kill("vm-5")
        await self.timer.advance(2 * DETECTION_S)
        for name in ("vm-4", "vm-5"):
            self.assertEqual({VmState.GONE}, self.fleet.states(name))
        self.assertTrue(self.fleet.is_converged())

    async def test_failure_right_after_another_vm_restarted_is_detected_in_time(self):
        await self.fleet.kill("vm-2")
        await self.timer.advance(DETECTION_S)
        await self.fleet.start("vm-2")
        await self.timer.advance(0.5)
        await self.fleet.kill("vm-3")
        await self.timer.advance(DETECTION_S)
        self.assertEqual({VmState.GONE}, self.fleet.states("vm-3"))
        self.assertTrue(self.fleet.is_converged())

    async def test_restarted_process_is_another_instance(self):
        before = self.fleet.members["vm-1"].table.get("vm-2")
        await self.fleet.kill("vm-2")
        await self.fleet.start("vm-2")
        seen = await self.advance_watching(2.0, ["vm-2"])
        after = self.fleet.members["vm-1"].table.get("vm-2")
        self.assertNotEqual(before.instance_id, after.instance_id)
        self.assertNotIn(VmState.GONE, seen)
        self.assertTrue(self.fleet.is_converged())

    async def test_flapping_vm_ends_up_in_its_actual_state(self):
        for _ in range(4):
            await self.fleet.kill("vm-6")
            await self.timer.advance(0.7)
            await self.fleet.start("vm-6")
            await self.timer.advance(0.9)
        await self.timer.advance(DETECTION_S)
        self.assertTrue(self.fleet.is_converged())

    async def test_vm_replaced_at_the_same_address_is_another_vm(self):
        address = self.fleet.address("vm-7")
        await self.fleet.kill("vm-7")
        self.fleet.locations["vm-8"] = ("c", address)
        await self.fleet.start("vm-8")
        await self.timer.advance(2 * DETECTION_S)
        self.assertEqual({VmState.GONE}, self.fleet.states("vm-7"))
        self.assertEqual({VmState.ALIVE}, self.fleet.states("vm-8"))

    async def test_restarted_vm_is_seen_although_its_clock_went_back(self):
        await self.fleet.kill("vm-2")
        self.timer.wall_offset_s = -500.0
        await self.fleet.start("vm-2")
        await self.timer.advance(DETECTION_S)
        self.assertTrue(self.fleet.is_converged())


class PartitionTest(FleetTestCase):
    async def test_partitioned_vm_is_gone_and_returns_after_healing(self):
        self.fleet.partition(["vm-3"])
        await self.timer.advance(DETECTION_S)
        self.assertEqual({VmState.GONE}, self.fleet.states("vm-3"))
        self.fleet.network.heal()
        await self.timer.advance(3 * DETECTION_S)
        self.assertTrue(self.fleet.is_converged())

    async def test_partitioned_data_centre_returns_without_flapping(self):
        inside = self.fleet.in_data_centre("a")
        outside = [name for name in self.fleet.locations if name not in inside]
        self.fleet.partition(inside)
        await self.timer.advance(2 * DETECTION_S)
        for name in inside:
            self.assertEqual(VmState.GONE, self.fleet.state("vm-4", name))
            self.assertEqual(VmState.ALIVE, self.fleet.state("vm-1", "vm-2"))
        self.fleet.network.heal()
        for _ in range(round(4 * DETECTION_S / 0.05)):
            await self.timer.advance(0.05)
            for group in (inside, outside):
                states = {self.fleet.state(group[0], name) for name in group}
                self.assertNotIn(VmState.GONE, states)
        self.assertTrue(self.fleet.is_converged())

    async def test_data_centre_killed_and_restarted_twice(self):
        for _ in range(2):
            for name in self.fleet.in_data_centre("b"):
                await self.fleet.kill(name)
            await self.timer.advance(2 * DETECTION_S)
            for name in self.fleet.in_data_centre("b"):
                self.assertEqual({VmState.GONE}, self.fleet.states(name))
            for name in self.fleet.in_data_centre("b"):
                await self.fleet.start(name)
            await self.timer.advance(DETECTION_S)
            self.assertTrue(self.fleet.is_converged())

    async def test_one_way_loss_does_not_mark_a_reachable_vm_gone(self):
        network, address = self.fleet.network, self.fleet.address
        network.cut(address("vm-4"), address("vm-5"), both=False)
        seen = await self.advance_watching(60.0, ["vm-4", "vm-5"])
        self.assertNotIn(VmState.GONE, seen)

    async def test_cut_link_between_two_data_centres_marks_no_vm_gone(self):
        network, address = self.fleet.network, self.fleet.address
        for one in self.fleet.in_data_centre("a"):
            for other in self.fleet.in_data_centre("b"):
                network.cut(address(one), address(other))
        seen = await self.advance_watching(60.0, list(self.fleet.locations))
        self.assertNotIn(VmState.GONE, seen)

    async def test_no_vm_is_falsely_gone_at_two_percent_loss(self):
        self.fleet.network.loss = 0.02
        self.fleet.network.jitter_s = 0.01
        seen = await self.advance_watching(120.0, list(self.fleet.locations))
        self.assertNotIn(VmState.GONE, seen)


class JoinTest(FleetTestCase):
    started = False

    async def test_join_through_any_vm_that_answers(self):
        for name in ("vm-2", "vm-5", "vm-7"):
            await self.fleet.start(name)
        await self.timer.advance(DETECTION_S)
        self.assertTrue(self.fleet.is_converged())

    async def test_vm_without_an_answer_continues_alone_and_joins_later(self):
        await self.fleet.start("vm-7")
        await self.timer.advance(1.0)
        own = self.fleet.members["vm-7"].own_record
        self.assertEqual(VmState.JOINING, own.state)
        await self.timer.advance(6.0)
        own = self.fleet.members["vm-7"].own_record
        self.assertEqual(VmState.ALIVE, own.state)
        await self.fleet.start("vm-1")
        await self.timer.advance(DETECTION_S)
        self.assertTrue(self.fleet.is_converged())

    async def test_views_of_partitions_that_started_separately_are_merged(self):
        inside = self.fleet.in_data_centre("a")
        await self.fleet.start("vm-1")
        self.fleet.partition(inside)
        for name in list(self.fleet.locations)[1:]:
            await self.fleet.start(name)
        await self.timer.advance(10.0)
        self.assertFalse(self.fleet.is_converged())
        self.fleet.network.heal()
        await self.timer.advance(10.0)
        self.assertTrue(self.fleet.is_converged())


class PlannedTest(FleetTestCase):
    async def test_leave_is_known_everywhere_within_two_seconds(self):
        await self.fleet.members["vm-2"].leave()
        await self.timer.advance(2.0)
        self.assertEqual({VmState.LEAVING}, self.fleet.states("vm-2"))

    async def test_rolling_restart_of_all_vms_without_a_false_death(self):
        targets = make_targets(60, ["a", "b", "c"])
        for name in list(self.fleet.locations):
            member = self.fleet.members[name]
            await member.leave()
            await self.timer.advance(1.0)
            await member.depart()
            await self.fleet.kill(name)
            others = [other for other in self.fleet.locations if other != name]
            seen = await self.advance_watching(2.0, others)
            self.assertEqual({VmState.ALIVE}, seen)
            await self.fleet.start(name)
            await self.timer.advance(2.0)
            self.assertTrue(self.fleet.is_converged())
            views = [self.fleet.homes(targets, vm) for vm in self.fleet.members]
            self.assertTrue(all(view == views[0] for view in views))

    async def test_vm_that_left_is_not_retried(self):
        await self.fleet.members["vm-2"].depart()
        await self.timer.advance(1.0)
        await self.fleet.kill("vm-2")
        await self.timer.advance(1.0)
        table = self.fleet.members["vm-1"].table
        self.assertEqual([], table.failed())
        self.assertEqual({VmState.GONE}, self.fleet.states("vm-2"))


class PauseTest(FleetTestCase):
    async def test_paused_process_is_no_home_until_another_vm_answers(self):
        target = make_targets(1, ["a"])[0]
        name = self.fleet.homes([target], "vm-1")[target.name]
        member = self.fleet.members[name]
        self.assertTrue(member.is_home(target))
        before_s = member.home_since_s(target)
        self.fleet.partition([name])
        self.timer.jump(20.0)
        self.assertFalse(member.is_home(target))
        self.assertIsNone(member.home_since_s(target))
        await self.timer.advance(0.7)
        self.assertFalse(member.is_home(target))
        self.fleet.network.heal()
        await self.timer.advance(10.0)
        self.assertTrue(self.fleet.is_converged())
        self.assertTrue(member.is_home(target))
        self.assertGreater(member.home_since_s(target), before_s + 20.5)

    async def test_two_processes_with_one_name_do_not_both_hold_homes(self):
        old = self.fleet.members.pop("vm-2")
        self.fleet.locations["vm-2"] = ("a", "10.0.9.9:7000")
        new = await self.fleet.start("vm-2")
        await self.timer.advance(4 * DETECTION_S)
        targets = make_targets(30, ["a"])
        self.assertFalse(any(old.is_home(target) for target in targets))
        self.assertTrue(any(new.is_home(target) for target in targets))
        await old.stop()


class LargeDataCentreTest(FleetTestCase):
    sizes = {"a": 40}

    async def test_forty_vms_detect_a_failure(self):
        await self.fleet.kill("vm-33")
        await self.timer.advance(4.0)
        self.assertEqual({VmState.GONE}, self.fleet.states("vm-33"))
        self.assertTrue(self.fleet.is_converged())
