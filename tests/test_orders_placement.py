"""Tests of placement: decisions, hysteresis and their execution."""

import asyncio
import unittest

import attrs

from bench.order_engines import OrderEngines, orders_configuration
from endivesill import errors, events
from endivesill.configuration.source import FixedConfiguration
from endivesill.control import LocalControl
from endivesill.kernel import Kernel
from endivesill.membership import StaticMembership, VmRecord
from endivesill.orders import (
    OrderKind,
    OrderRecord,
    OrderRequest,
    OrderService,
    OrderSettings,
    OrderState,
    PlacementLoop,
    ServiceDemand,
)
from endivesill.orders.events import PLACEMENT_DECIDED
from endivesill.orders.plan import PlacedEngine, plan_move, plan_role
from endivesill.peers import MemoryNetwork
from endivesill.targets.messages import LoadReport
from endivesill.timer import ManualTimer


def make_engines(**counts):
    return [
        PlacedEngine(f"{service}-{number}", service)
        for service, count in counts.items()
        for number in range(count)
    ]


class PlanMoveTest(unittest.TestCase):
    def plan(self, placed, **demands):
        wanted = {name: ServiceDemand(value) for name, value in demands.items()}
        return plan_move(placed, wanted)

    def test_idle_engine_moves_from_the_donor_to_the_overloaded_service(self):
        placed = [*make_engines(x=2, y=3), PlacedEngine("busy", "y", running=9)]
        decision = self.plan(placed, x=2.5, y=1.0)
        self.assertEqual(("y-0", "x"), (decision.target, decision.subject))
        self.assertIn("x needs 2.5 engines and has 2", decision.reason)

    def test_nothing_moves_within_the_thresholds(self):
        self.assertIsNone(self.plan(make_engines(x=3, y=3), x=2.5, y=2.0))
        self.assertIsNone(self.plan(make_engines(x=2, y=3), x=2.5, y=1.5))

    def test_last_engine_of_a_service_stays(self):
        self.assertIsNone(self.plan(make_engines(x=2, y=1), x=9.0, y=0.0))

    def test_move_is_not_reversed_immediately(self):
        for tenths in range(60):
            placed = make_engines(x=3, y=3)
            demand = {"x": tenths / 10, "y": 1.0}
            decision = self.plan(placed, **demand)
            if decision is None:
                continue
            moved = [
                attrs.evolve(e, service=decision.subject)
                if e.target == decision.target
                else e
                for e in placed
            ]
            next_decision = self.plan(moved, **demand)
            self.assertTrue(
                next_decision is None or next_decision.subject == decision.subject
            )


class PlanRoleTest(unittest.TestCase):
    def plan(self, roles, share):
        placed = [PlacedEngine(f"e{n}", "x", role) for n, role in enumerate(roles)]
        return plan_role(placed, {"x": ServiceDemand(1.0, prefill_share=share)})

    def test_role_follows_the_share(self):
        self.assertEqual("prefill", self.plan(["mixed"] * 4, 0.5).subject)
        decision = self.plan(["prefill", "prefill", "prefill", "decode"], 0.2)
        self.assertEqual("decode", decision.subject)

    def test_role_stays_within_tolerance_and_the_last_of_a_role_stays(self):
        self.assertIsNone(self.plan(["prefill", "decode", "decode", "decode"], 0.35))
        self.assertIsNone(self.plan(["prefill", "decode"], 1.0))


class PlacementLoopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.token = 7
        self.issued = []
        self.withheld = []
        self.logged = []
        self.addCleanup(events.listen(lambda kind, f: self.logged.append((kind, f))))
        self.reports = {
            name: LoadReport("b", model=model)
            for name, model in zip(
                ("fencing-0", "fencing-1", "plain-0", "plain-1"), "xyyy", strict=True
            )
        }
        self.demand = {"x": ServiceDemand(1.9, version="v2"), "y": ServiceDemand(0.5)}
        configuration = orders_configuration()
        self.loop = PlacementLoop(
            self.timer,
            "a",
            lambda: configuration,
            lambda: self.demand,
            lambda: self.reports,
            self.issue,
            self.withhold_new_work,
            lambda: self.token,
            OrderSettings(),
        )
        self.task = asyncio.ensure_future(self.loop.run())

    async def asyncTearDown(self):
        self.task.cancel()

    async def issue(self, request):
        self.issued.append(request)
        return OrderRecord(request, self.token, OrderState.DONE)

    async def withhold_new_work(self, target, withheld):
        self.withheld.append((target, withheld))

    async def test_persistent_shift_moves_one_engine_and_logs_the_reason(self):
        await self.timer.advance(75.0)
        expected = OrderRequest("a-7-1", "fencing-1", OrderKind.LOAD_MODEL, "x", "v2")
        self.assertEqual([expected], self.issued)
        self.assertEqual([("fencing-1", True), ("fencing-1", False)], self.withheld)
        reasons = [f["reason"] for kind, f in self.logged if kind is PLACEMENT_DECIDED]
        self.assertEqual(1, len(reasons))
        self.assertIn("y needs 0.5 and has 3", reasons[0])

    async def test_transient_shift_moves_nothing(self):
        for _ in range(10):
            await self.timer.advance(50.0)
            shifted, self.demand = self.demand, {"x": ServiceDemand(0.1)}
            await self.timer.advance(10.0)
            self.demand = shifted
        self.assertEqual([], self.issued)

    async def test_busy_engine_is_drained_first(self):
        for name in self.reports:
            self.reports[name] = attrs.evolve(self.reports[name], running=1)
        await self.timer.advance(200.0)
        self.assertEqual([("fencing-1", True)], self.withheld)
        self.assertEqual([], self.issued)
        report = attrs.evolve(self.reports["fencing-1"], running=0)
        self.reports["fencing-1"] = report
        await self.timer.advance(5.0)
        self.assertEqual(1, len(self.issued))

    async def test_orderer_that_loses_its_lease_meanwhile_issues_no_order(self):
        self.reports["fencing-1"] = attrs.evolve(self.reports["fencing-1"], running=1)
        self.reports["plain-0"] = attrs.evolve(self.reports["plain-0"], running=2)
        self.reports["plain-1"] = attrs.evolve(self.reports["plain-1"], running=2)
        await self.timer.advance(75.0)
        self.token = 0
        report = attrs.evolve(self.reports["fencing-1"], running=0)
        self.reports["fencing-1"] = report
        await self.timer.advance(10.0)
        self.assertEqual([], self.issued)
        self.assertEqual(("fencing-1", False), self.withheld[-1])

    async def test_leaving_engine_is_not_moved(self):
        report = attrs.evolve(self.reports["fencing-1"], leaving_in_s=30.0)
        self.reports["fencing-1"] = report
        await self.timer.advance(75.0)
        self.assertEqual(["plain-0"], [request.target for request in self.issued])


class OrderServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.control = LocalControl(self.timer)
        self.configuration = orders_configuration()
        self.engines = OrderEngines(self.timer, self.configuration)
        network = MemoryNetwork(self.timer)
        self.vms = tuple(
            VmRecord(name, "i", f"{name}:1", "a", "r") for name in ("v1", "v2")
        )
        self.kernels = {}
        self.views = {}
        self.services = {}
        for vm in self.vms:
            kernel = self.kernels[vm.name] = Kernel(self.timer)
            view = StaticMembership(vm.name, self.vms, {"orderer/a": "v1"})
            self.views[vm.name] = view
            service = OrderService(
                kernel,
                vm.name,
                "i",
                OrderSettings(),
                self.control,
                view,
                FixedConfiguration(self.configuration),
                network.transport(vm.address),
                self.engines,
            )
            self.services[vm.name] = service
            await service.start()
        await self.timer.advance(2.0)

    async def asyncTearDown(self):
        for name, kernel in self.kernels.items():
            await self.services[name].stop()
            await kernel.stop()

    async def issue(self, name, order_id):
        request = OrderRequest(order_id, "plain-0", OrderKind.CHANGE_ROLE, "decode")
        task = asyncio.ensure_future(self.services[name].issue(request))
        await self.timer.advance(5.0)
        return task.result()

    async def test_order_issued_at_any_vm_reaches_the_orderer(self):
        for name in ("v1", "v2"):
            record = await self.issue(name, f"o-{name}")
            self.assertIs(OrderState.DONE, record.state)
        self.assertIsNotNone(self.services["v1"].orderer("a"))
        self.assertIsNone(self.services["v2"].orderer("a"))

    async def test_a_rejected_order_is_rejected_at_any_vm(self):
        for name in ("v1", "v2"):
            await self.issue(name, "o-1")
            request = OrderRequest("o-1", "plain-0", OrderKind.CHANGE_ROLE, "prefill")
            task = asyncio.ensure_future(self.services[name].issue(request))
            await self.timer.advance(5.0)
            self.assertIsInstance(task.exception(), errors.OrderError, name)

    async def test_a_data_centre_may_have_any_name(self):
        centre = attrs.evolve(self.configuration.data_centres["a"], name="watch")
        configuration = attrs.evolve(self.configuration, data_centres={"watch": centre})
        self.services["v1"]._configuration = FixedConfiguration(configuration)
        self.views["v1"].replace(self.vms, {"orderer/watch": "v1"})
        await self.timer.advance(3.0)
        self.assertIsNotNone(self.services["v1"].orderer("watch"))

    async def test_hand_over_releases_the_lease_to_the_next_orderer(self):
        for view in self.views.values():
            view.replace(self.vms, {"orderer/a": "v2"})
        task = asyncio.ensure_future(self.services["v1"].hand_over())
        await self.timer.advance(5.0)
        self.assertTrue(task.done())
        self.assertIsNotNone(self.services["v2"].orderer("a"))
        self.assertIsNone(self.services["v1"].orderer("a"))

    async def test_failed_orderer_is_replaced_after_its_lease_expires(self):
        await self.services["v1"].stop()
        for view in self.views.values():
            view.replace(self.vms, {"orderer/a": "v2"})
        await self.timer.advance(10.0)
        self.assertIsNone(self.services["v2"].orderer("a"))
        await self.timer.advance(5.0)
        self.assertIsNotNone(self.services["v2"].orderer("a"))

    async def test_a_lease_that_comes_after_the_hand_over_is_released(self):
        """A VM that stops would otherwise accept orders while it resolves others."""
        for view in self.views.values():
            view.replace(self.vms, {"orderer/a": "v2"})
        await self.timer.advance(15.0)
        self.assertIsNotNone(self.services["v2"].orderer("a"))
        self.engines.lose_orders = True
        pending = asyncio.ensure_future(
            self.services["v2"].issue(
                OrderRequest("o-1", "plain-0", OrderKind.CHANGE_ROLE, "decode")
            )
        )
        await self.timer.advance(5.0)
        self.assertFalse(pending.done())
        await self.services["v2"].stop()
        await asyncio.gather(pending, return_exceptions=True)
        for view in self.views.values():
            view.replace(self.vms, {"orderer/a": "v1"})
        await self.timer.advance(5.0)
        hand_over = asyncio.ensure_future(self.services["v1"].hand_over())
        await self.timer.advance(2.0)
        self.assertTrue(hand_over.done())
        for _ in range(20):
            await self.timer.advance(1.0)
            self.assertIsNone(self.services["v1"].orderer("a"))
        lease = self.control.state.section("orderers")["a"]
        self.assertEqual("", lease["holder"])
