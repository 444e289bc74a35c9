"""Tests of leaving targets and of the platform's VM list."""

import pathlib
import tempfile
import unittest

import attrs

from bench.memory_fleet import make_targets, with_target
from endivesill import errors
from endivesill.configuration import Configuration
from endivesill.kernel import Kernel
from endivesill.membership import LeavingTargets, VmList, VmState, make_vm_list
from endivesill.membership.vm_list import ListedVm
from endivesill.membership.vm_list_watch import VmListWatch
from endivesill.timer import ManualTimer
from tests.fleet_case import FleetTestCase


class LeavingTargetsTest(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.target = make_targets(1, ["a"])[0]
        self.configuration = with_target(Configuration(), self.target)
        self.broadcast = []
        self.leaving = LeavingTargets(
            self.timer, lambda: self.configuration, self.broadcast.append
        )
        self.name = self.target.name

    def test_target_stays_without_a_notice(self):
        self.leaving.apply_load_report(self.name, "boot-1", None)
        self.assertFalse(self.leaving.is_leaving(self.name))
        self.assertEqual([], self.broadcast)

    def test_repeated_notice_of_a_return_changes_nothing(self):
        self.leaving.apply_load_report(self.name, "boot-1", 5.0)
        self.leaving.apply_load_report(self.name, "boot-2", None)
        (notice,) = self.leaving.notices()
        self.assertFalse(notice.leaving)
        self.assertFalse(self.leaving.merge(notice))

    def test_report_of_the_same_boot_does_not_revoke_its_notice(self):
        self.leaving.apply_load_report(self.name, "boot-1", 30.0)
        self.leaving.apply_load_report(self.name, "boot-1", None)
        self.assertTrue(self.leaving.is_leaving(self.name))

    def test_earliest_source_counts(self):
        self.leaving.apply_load_report(self.name, "boot-1", 30.0)
        self.leaving.apply_vm_list({self.name: 10.0}, set())
        self.timer.jump(4.0)
        self.assertAlmostEqual(6.0, self.leaving.notice_s(self.name))

    def test_later_departure_of_the_same_boot_is_ignored(self):
        self.leaving.apply_load_report(self.name, "boot-1", 30.0)
        self.leaving.apply_load_report(self.name, "boot-1", 60.0)
        self.assertAlmostEqual(30.0, self.leaving.notice_s(self.name))

    def test_vm_list_does_not_revoke_the_notice_of_a_target(self):
        self.leaving.apply_load_report(self.name, "boot-1", 30.0)
        self.leaving.apply_vm_list({}, {self.name})
        self.assertTrue(self.leaving.is_leaving(self.name))

    def test_leaving_in_the_configuration_has_no_departure_time(self):
        leaving = attrs.evolve(self.target, leaving=True)
        self.configuration = with_target(self.configuration, leaving)
        self.assertTrue(self.leaving.is_leaving(self.name))
        self.assertIsNone(self.leaving.notice_s(self.name))

    def test_new_boot_revokes_the_notice_and_late_reports_are_ignored(self):
        self.leaving.apply_load_report(self.name, "boot-1", 30.0)
        self.leaving.apply_load_report(self.name, "boot-2", None)
        self.assertFalse(self.leaving.is_leaving(self.name))
        self.leaving.apply_load_report(self.name, "boot-1", 25.0)
        self.assertFalse(self.leaving.is_leaving(self.name))

    def test_older_notice_from_another_vm_is_ignored(self):
        self.leaving.apply_load_report(self.name, "boot-1", 30.0)
        older_notice = self.broadcast[0]
        self.leaving.apply_load_report(self.name, "boot-2", None)
        self.assertFalse(self.leaving.merge(older_notice))
        self.assertFalse(self.leaving.is_leaving(self.name))


class FleetLeavingTargetsTest(FleetTestCase):
    sizes = {"a": 5, "b": 5, "c": 5}

    async def test_notice_reaches_all_vms_within_two_seconds_despite_loss(self):
        fleet = self.fleet
        fleet.network.loss = 0.02
        fleet.members["vm-1"].leaving_targets.apply_load_report(
            "engine-1", "boot-1", 30.0
        )
        await fleet.timer.advance(2.0)
        for member in fleet.members.values():
            self.assertTrue(member.leaving_targets.is_leaving("engine-1"))
            notice_s = member.leaving_targets.notice_s("engine-1")
            self.assertAlmostEqual(28.0, notice_s, delta=0.5)


class VmListTest(FleetTestCase):
    sizes = {"a": 2, "b": 2}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.leaving_calls = []
        self.target = make_targets(1, ["a"])[0]
        source = self.fleet.configuration
        source.replace(with_target(source.current(), self.target))
        self.member = self.fleet.members["vm-1"]
        self.watch = VmListWatch(
            Kernel(self.fleet.timer),
            "vm-1",
            self.fleet.settings,
            self.member,
            source,
            lambda: self.leaving_calls.append("leaving"),
        )

    def apply(self, as_of, *vms):
        self.watch.apply(VmList(as_of, {vm.name: vm for vm in vms}))

    async def test_outdated_list_does_not_revive_a_gone_vm(self):
        await self.fleet.kill("vm-2")
        await self.fleet.timer.advance(3.0)
        self.apply(1.0, ListedVm("vm-2", address=self.fleet.address("vm-2")))
        await self.fleet.timer.advance(5.0)
        self.assertEqual({VmState.GONE}, self.fleet.states("vm-2"))

    async def test_vm_missing_from_the_list_stays_alive(self):
        self.apply(1.0)
        await self.fleet.timer.advance(3.0)
        self.assertTrue(self.fleet.is_converged())

    async def test_unknown_vm_of_the_list_joins(self):
        self.fleet.locations["vm-9"] = ("b", "10.0.0.9:7000")
        self.fleet.join_addresses = ()
        await self.fleet.start("vm-9")
        self.apply(1.0, ListedVm("vm-9", address="10.0.0.9:7000"))
        await self.fleet.timer.advance(10.0)
        self.assertTrue(self.fleet.is_converged())

    async def test_target_listed_as_leaving_is_leaving(self):
        name = self.target.name
        self.apply(2.0, ListedVm(name, leaving=True, leaving_in_s=20.0))
        self.assertTrue(self.member.leaving_targets.is_leaving(name))
        self.apply(1.0, ListedVm(name))
        self.assertTrue(self.member.leaving_targets.is_leaving(name))
        self.apply(3.0, ListedVm(name))
        self.assertFalse(self.member.leaving_targets.is_leaving(name))

    async def test_own_leaving_counts_once_the_vm_was_listed_as_staying(self):
        self.apply(1.0, ListedVm("vm-1"))
        self.apply(2.0, ListedVm("vm-1", leaving=True))
        self.apply(3.0, ListedVm("vm-1", leaving=True))
        self.assertEqual(["leaving"], self.leaving_calls)

    async def test_list_entry_of_the_previous_vm_does_not_drain_the_new_one(self):
        self.apply(1.0, ListedVm("vm-1", leaving=True))
        self.assertEqual([], self.leaving_calls)
        self.fleet.timer.jump(self.fleet.settings.vm_list_lag_s + 1)
        self.apply(2.0, ListedVm("vm-1", leaving=True))
        self.assertEqual(["leaving"], self.leaving_calls)


class VmListFileTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "vms")

    async def read(self, kind, text):
        self.path.write_text(text, encoding="utf-8")
        return await make_vm_list(kind, str(self.path)).read()

    async def test_ini_file(self):
        found = await self.read("ini", "[vm e1]\nleaving = yes\nleaving_in_s = 9\n")
        self.assertEqual(
            ListedVm("e1", leaving=True, leaving_in_s=9.0), found.vms["e1"]
        )

    async def test_json_lines_file(self):
        found = await self.read("json-lines", '{"name": "v1", "address": "h:1"}\n')
        self.assertEqual(ListedVm("v1", address="h:1"), found.vms["v1"])

    async def test_invalid_file_is_an_error_with_file_and_line(self):
        with self.assertRaisesRegex(errors.VmListError, ":1: "):
            await self.read("json-lines", "{}\n")
        with self.assertRaisesRegex(errors.VmListError, "leaving"):
            await self.read("ini", "[vm e1]\nleaving = perhaps\n")
