"""Tests of the assignment of targets to owner VMs."""

import unittest

import attrs

from bench.memory_fleet import make_targets
from endivesill.membership import LiveEntry, OwnerTable
from endivesill.timer import ManualTimer
from tests.fleet_case import FleetTestCase

REGIONS = {"a": "north", "b": "north", "c": "south"}


def entries(counts):
    return [
        LiveEntry(f"{data_centre}{number}", data_centre, REGIONS[data_centre])
        for data_centre, count in counts.items()
        for number in range(count)
    ]


class OwnerTableTest(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.table = OwnerTable(self.timer, "a0", REGIONS.get)
        self.targets = make_targets(900, ["a", "b", "c"])

    def owners(self):
        return {t.name: self.table.owner_name(t) for t in self.targets}

    def moved(self, before, after):
        return [name for name in before if before[name] != after[name]]

    def test_owner_is_in_the_target_s_data_centre(self):
        self.table.update(entries({"a": 5, "b": 5, "c": 5}))
        for target in self.targets:
            self.assertEqual(target.data_centre, self.table.owner_name(target)[0])

    def test_owner_falls_back_to_the_region_then_to_the_fleet(self):
        self.table.update(entries({"b": 2, "c": 2}))
        target = self.targets[0]
        self.assertEqual("b", self.table.owner_name(target)[0])
        self.table.update(entries({"c": 2}))
        self.assertEqual("c", self.table.owner_name(target)[0])
        self.table.update([])
        self.assertIsNone(self.table.owner_name(target))

    def test_vm_that_leaves_moves_only_its_own_targets(self):
        live = entries({"a": 6, "b": 6, "c": 6})
        self.table.update(live)
        before = self.owners()
        self.table.update([entry for entry in live if entry.name != "a3"])
        moved = self.moved(before, self.owners())
        self.assertEqual([n for n in before if before[n] == "a3"], moved)
        self.assertLess(len(moved), 2 * 900 / 18)

    def test_vm_that_joins_takes_over_only_its_share(self):
        live = entries({"a": 6, "b": 6, "c": 6})
        self.table.update([entry for entry in live if entry.name != "a3"])
        before = self.owners()
        self.table.update(live)
        after = self.owners()
        moved = self.moved(before, after)
        self.assertEqual({"a3"}, {after[name] for name in moved})
        self.assertLess(len(moved), 2 * 900 / 18)

    def test_cached_owners_equal_those_of_a_new_table(self):
        live = entries({"a": 6, "b": 6, "c": 6})
        for step in (live, live[3:], live[6:], live[:4], live):
            self.table.update(step)
            fresh = OwnerTable(self.timer, "x", REGIONS.get)
            fresh.update(step)
            expected = {t.name: fresh.owner_name(t) for t in self.targets}
            self.assertEqual(expected, self.owners())

    def test_new_owner_has_its_start_time(self):
        live = entries({"a": 2})
        self.table.update(live)
        target = next(t for t in self.targets if self.table.owner_name(t) == "a1")
        self.assertIsNone(self.table.since_s(target))
        self.timer.jump(10.0)
        gained = self.table.update(live[:1])
        self.assertIn(target.name, gained)
        self.assertEqual(self.timer.now_s(), self.table.since_s(target))

    def test_unchanged_owner_keeps_its_start_time(self):
        live = entries({"a": 3})
        self.table.update(live)
        target = next(t for t in self.targets if self.table.owner_name(t) == "a0")
        since_s = self.table.since_s(target)
        self.timer.jump(10.0)
        self.table.update([entry for entry in live if entry.name != "a2"])
        self.assertEqual(since_s, self.table.since_s(target))


class FleetOwnersTest(FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.targets = make_targets(60, ["a", "b", "c"])

    async def test_all_vms_compute_the_same_owners(self):
        views = [self.fleet.owners(self.targets, name) for name in self.fleet.members]
        self.assertTrue(all(view == views[0] for view in views))

    async def test_simultaneous_failure_of_owner_and_target_gives_one_new_owner(self):
        target = self.targets[0]
        old = self.fleet.owners(self.targets, "vm-4")[target.name]
        member = self.fleet.members["vm-4"]
        member.leaving_targets.apply_load_report(target.name, "boot-1", 0.0)
        await self.fleet.kill(old)
        await self.fleet.timer.advance(3.0)
        found = {
            self.fleet.owners([target], name)[target.name]
            for name in self.fleet.members
        }
        self.assertEqual(1, len(found))
        new = self.fleet.members[found.pop()]
        self.assertTrue(new.is_owner(target))
        self.assertTrue(new.leaving_targets.is_leaving(target.name))
        self.assertLess(self.fleet.timer.now_s() - new.owner_since_s(target), 3.0)

    async def test_suspect_vm_keeps_its_targets_and_a_leaving_one_does_not(self):
        name = self.fleet.owners(self.targets, "vm-1")["target-0"]
        table = self.fleet.members["vm-4"].table
        suspect = attrs.evolve(table.get(name), health=1)
        table.merge(suspect)
        self.assertEqual(name, self.fleet.owners(self.targets, "vm-4")["target-0"])
        await self.fleet.members[name].leave()
        await self.fleet.timer.advance(2.0)
        self.assertNotEqual(name, self.fleet.owners(self.targets, "vm-4")["target-0"])
