"""Tests of the drain of a VM and of the fleet's status."""

import unittest

import attrs

from endivesill.configuration import Configuration, Vm
from endivesill.configuration.source import FixedConfiguration
from endivesill.drain import DrainService, DrainState
from endivesill.fleet_status import fleet_status
from endivesill.kernel import Kernel
from endivesill.membership import VmRecord, VmState
from endivesill.timer import ManualTimer

BALANCER_LAG_S = 3.0


class DrainServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.kernel = Kernel(self.timer)
        self.running = 2
        self.configuration = FixedConfiguration(Configuration())
        self.drain = DrainService(
            self.kernel,
            "vm-1",
            BALANCER_LAG_S,
            lambda: self.running,
            self.configuration,
        )
        await self.drain.start()

    async def asyncTearDown(self):
        await self.kernel.stop()

    async def test_is_unready_at_once_but_not_drained_before_the_balancer_lag(self):
        self.running = 0
        self.drain.begin("test")
        self.assertFalse(self.drain.is_ready())
        await self.timer.advance(BALANCER_LAG_S - 0.1)
        self.assertIs(DrainState.DRAINING, self.drain.state)
        await self.timer.advance(0.2)
        self.assertIs(DrainState.DRAINED, self.drain.state)

    async def test_accepts_new_requests_only_for_the_balancer_lag(self):
        self.assertTrue(self.drain.accepts())
        self.drain.begin("test")
        await self.timer.advance(BALANCER_LAG_S - 0.1)
        self.assertTrue(self.drain.accepts())
        await self.timer.advance(0.2)
        self.assertFalse(self.drain.accepts())
        self.assertIs(DrainState.DRAINING, self.drain.state)

    async def test_waits_for_the_last_request_however_long_it_runs(self):
        self.drain.begin("test")
        await self.timer.advance(3 * 3600.0)
        self.assertIs(DrainState.DRAINING, self.drain.state)
        self.running = 0
        await self.timer.advance(0.2)
        self.assertIs(DrainState.DRAINED, self.drain.state)

    async def test_duties_are_handed_over_in_order_and_retried(self):
        calls = []

        async def leadership():
            calls.append("leadership")
            if len(calls) == 1:
                raise OSError("no answer")

        async def membership():
            calls.append("membership")

        self.drain.add_hand_over("leadership", leadership)
        self.drain.add_hand_over("membership", membership)
        self.drain.begin("test")
        await self.timer.advance(2.0)
        self.assertEqual(["leadership", "leadership", "membership"], calls)

    async def test_a_hanging_hand_over_does_not_block_the_drain(self):
        self.running = 0
        self.drain.add_hand_over("hangs", lambda: self.timer.sleep(1e9))
        self.drain.begin("test")
        await self.timer.advance(60.0)
        self.assertIs(DrainState.DRAINED, self.drain.state)

    async def test_the_configuration_starts_the_drain(self):
        leaving = Vm("vm-1", data_centre="a", leaving=True)
        self.configuration.replace(Configuration(2, vms={"vm-1": leaving}))
        self.assertIs(DrainState.DRAINING, self.drain.state)

    async def test_a_second_begin_has_no_effect(self):
        states = []
        self.drain.subscribe(states.append)
        self.drain.begin("test")
        self.drain.begin("again")
        self.assertEqual([DrainState.DRAINING], states)


def vm(name, data_centre="a", roles=("entry", "control"), state=VmState.ALIVE):
    return VmRecord(name, "i", f"{name}:1", data_centre, "r", roles, state)


class FleetStatusTest(unittest.TestCase):
    def setUp(self):
        self.vms = [vm("v1"), vm("v2"), vm("v3", "b"), vm("v4", "b", ("entry",))]
        self.voters = {"v1", "v2", "v3"}

    def status(self, name, draining=()):
        statuses = fleet_status(self.vms, self.voters, draining)
        return next(status for status in statuses if status.vm.name == name)

    def replace(self, name, **changes):
        self.vms = [
            attrs.evolve(v, **changes) if v.name == name else v for v in self.vms
        ]

    def test_any_vm_of_a_complete_fleet_may_be_stopped(self):
        for name in ("v1", "v2", "v3", "v4"):
            self.assertTrue(self.status(name).may_go, name)

    def test_only_one_vm_may_leave_at_a_time(self):
        self.assertIn("v2 is on its way out", self.status("v1", {"v2"}).reasons)
        self.replace("v2", state=VmState.LEAVING)
        self.assertFalse(self.status("v3").may_go)

    def test_a_voter_may_not_be_stopped_if_the_quorum_would_be_lost(self):
        self.replace("v2", state=VmState.GONE)
        self.assertFalse(self.status("v3").may_go)
        self.assertTrue(self.status("v4").may_go)
        reasons = " ".join(self.status("v3").reasons)
        self.assertIn("quorum of 2", reasons)

    def test_the_last_entry_of_a_data_centre_may_not_be_stopped(self):
        self.replace("v4", state=VmState.GONE)
        self.assertEqual(("it is the last entry of b",), self.status("v3").reasons)

    def test_no_vm_may_be_stopped_while_another_one_joins(self):
        self.replace("v4", state=VmState.JOINING)
        self.assertFalse(self.status("v1").may_go)

    def test_a_drained_vm_that_is_gone_does_not_block_others(self):
        self.replace("v4", state=VmState.GONE)
        self.assertTrue(self.status("v1", {"v4"}).may_go)
