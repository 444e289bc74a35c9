"""Tests of lenders and wallets over the memory network."""

import unittest

from endivesill.membership import StaticMembership, VmRecord
from endivesill.peers import MemoryNetwork
from endivesill.routing import Lender, Wallet
from endivesill.routing.credits import LOAN_LIFE_S, TAKEOVER_S, Use
from endivesill.targets import LoadReport
from endivesill.timer import ManualTimer
from tests.routing_fakes import make_source, make_target


class Vm:
    """One VM's lender and wallet, with work that the test sets."""

    def __init__(self, fleet, name):
        self.name = name
        self.instance = f"{name}-1"
        self.peers = fleet.network.transport(name)
        self.membership = StaticMembership(name, fleet.records, dict(fleet.homes))
        current = fleet.source.current
        self.source = make_source([])
        self.lender = Lender(
            fleet.timer,
            current,
            self.instance,
            self.membership,
            self.peers,
            self.source,
        )
        self.wallet = Wallet(
            fleet.timer,
            current,
            self.instance,
            self.lender,
            self.membership,
            self.peers,
        )
        self.running = 0
        self.recooled = False
        self.uses = 0
        self.wallet.use_of = self.use_of
        self.wallet.running_at = lambda target: self.running

    def use_of(self, target):
        self.uses += 1
        loan = self.wallet.loan(target.name)
        return Use(
            slots=self.running,
            ahead_slots=4,
            serial=loan.serial if loan else 0,
            recooled=self.recooled,
            queued=1,
            least_slots=self.running,
        )


class Fleet:
    """Three VMs and one engine whose home is the first."""

    def __init__(self):
        self.timer = ManualTimer()
        self.network = MemoryNetwork(self.timer)
        self.target = make_target()
        self.source = make_source([self.target])
        self.homes = {"e0": "a"}
        self.records = tuple(
            VmRecord(name, f"{name}-1", name, "dk-west-a", "dk-west") for name in "abc"
        )
        self.a, self.b, self.c = (Vm(self, name) for name in "abc")
        self.vms = (self.a, self.b, self.c)

    async def start(self):
        self.a.lender.ledger(self.target).assume_warm()
        for vm in self.vms:
            await vm.wallet.start()

    async def stop(self):
        for vm in self.vms:
            await vm.wallet.stop()

    async def borrow(self, *vms):
        for vm in vms:
            vm.wallet.need(self.target)
        await self.timer.advance(0.1)

    def slots(self, vm):
        loan = vm.wallet.loan("e0")
        if loan is None or loan.expires_s <= self.timer.now_s():
            return 0
        return loan.slots

    def believe(self, homes, *vms):
        for vm in vms:
            vm.membership.replace(self.records, homes)

    def report(self, vm, running, boot_id="boot"):
        report = LoadReport(boot_id, running, 0, 60_000)
        target = self.source.current().targets["e0"]
        vm.lender.observe_load(target, report)


class CreditExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def test_entry_borrows_from_the_home(self):
        fleet = self.fleet
        await fleet.borrow(fleet.a, fleet.b)
        self.assertEqual([4, 4], [fleet.slots(fleet.a), fleet.slots(fleet.b)])

    async def test_home_dies_and_its_successor_lends_cold_until_loans_expired(self):
        fleet = self.fleet
        await fleet.borrow(fleet.b)
        fleet.b.running = 3
        fleet.network.remove("a")
        fleet.believe({"e0": "c"}, fleet.b, fleet.c)
        self.assertEqual(0, fleet.slots(fleet.b))
        await fleet.borrow(fleet.b, fleet.c)
        self.assertEqual(5, fleet.slots(fleet.b) + fleet.slots(fleet.c))
        for _ in range(int(TAKEOVER_S) + 4):
            fleet.report(fleet.c, 3)
            await fleet.timer.advance(1.0)
        await fleet.borrow(fleet.b, fleet.c)
        self.assertGreaterEqual(fleet.slots(fleet.b), 3)

    async def test_entry_cut_off_from_the_home_stops_when_its_loan_expires(self):
        fleet = self.fleet
        await fleet.borrow(fleet.b)
        fleet.network.cut("a", "b")
        await fleet.timer.advance(LOAN_LIFE_S + 0.1)
        self.assertEqual(0, fleet.slots(fleet.b))
        ledger = fleet.a.lender.ledger(fleet.target)
        self.assertEqual(4, ledger.lent_slots(fleet.timer.now_s()))

    async def test_cut_off_entry_borrows_again_after_the_cut(self):
        fleet = self.fleet
        await fleet.borrow(fleet.b)
        fleet.network.cut("a", "b")
        await fleet.timer.advance(LOAN_LIFE_S + 0.5)
        fleet.network.heal()
        fleet.b.wallet.need(fleet.target)
        await fleet.timer.advance(1.5)
        self.assertEqual(4, fleet.slots(fleet.b))

    async def test_loan_ends_at_the_entry_before_it_ends_at_the_home(self):
        fleet = self.fleet
        fleet.network.delay_s = 0.4
        fleet.b.wallet.need(fleet.target)
        await fleet.timer.advance(0.9)
        held = fleet.b.wallet.loan("e0")
        ledger = fleet.a.lender.ledger(fleet.target)
        fleet.network.cut("a", "b")
        await fleet.timer.advance(held.expires_s - fleet.timer.now_s())
        self.assertEqual(0, fleet.slots(fleet.b))
        self.assertGreater(ledger.lent_slots(fleet.timer.now_s()), 0)

    async def test_home_without_the_lease_lends_nothing(self):
        fleet = self.fleet
        fleet.a.source.lease = False
        await fleet.borrow(fleet.a, fleet.b)
        self.assertEqual([0, 0], [fleet.slots(fleet.a), fleet.slots(fleet.b)])

    async def test_entry_drops_the_loans_of_a_home_it_no_longer_believes_in(self):
        fleet = self.fleet
        await fleet.borrow(fleet.b)
        fleet.believe({"e0": "c"}, fleet.b)
        self.assertEqual(0, fleet.slots(fleet.b))

    async def test_restarted_entry_is_another_borrower_beside_its_old_loan(self):
        fleet = self.fleet
        await fleet.borrow(fleet.b)
        await fleet.b.wallet.stop()
        fleet.b.instance = "b-2"
        reborn = Vm(fleet, "b")
        reborn.wallet._borrower = "b-2"
        fleet.vms = (fleet.a, reborn, fleet.c)
        await reborn.wallet.start()
        await fleet.borrow(reborn)
        ledger = fleet.a.lender.ledger(fleet.target)
        self.assertEqual(4, fleet.slots(reborn))
        self.assertEqual(8, ledger.lent_slots(fleet.timer.now_s()))

    async def test_new_boot_revokes_the_loans_of_all_entries_at_once(self):
        fleet = self.fleet
        fleet.report(fleet.a, 0)
        await fleet.borrow(fleet.a, fleet.b)
        fleet.report(fleet.a, 0, "boot-2")
        await fleet.timer.advance(0.01)
        self.assertEqual([0, 0], [fleet.slots(fleet.a), fleet.slots(fleet.b)])

    async def test_entry_that_runs_most_of_it_has_all_loans_revoked_by_a_jump(self):
        fleet = self.fleet
        fleet.b.running = 3
        await fleet.borrow(fleet.b, fleet.c)
        await self.see_jump(fleet.b)
        self.assertEqual([0, 0], [fleet.slots(fleet.b), fleet.slots(fleet.c)])

    async def test_jump_at_one_entry_of_many_counts_once_another_sees_it(self):
        fleet = self.fleet
        fleet.b.running, fleet.c.running = 1, 5
        await fleet.borrow(fleet.b, fleet.c)
        await self.see_jump(fleet.b)
        ledger = fleet.a.lender.ledger(fleet.target)
        self.assertEqual(14, ledger.allowance_slots())
        self.assertGreater(fleet.slots(fleet.c), 0)
        fleet.c.running = 2
        fleet.b.running = 3
        await self.see_jump(fleet.c)
        self.assertEqual(2, ledger.allowance_slots())

    async def see_jump(self, vm):
        vm.recooled = True
        await self.fleet.timer.advance(0.3)
        await self.fleet.borrow(vm)
        vm.recooled = False

    async def test_target_that_returns_from_outside_service_is_cold(self):
        fleet = self.fleet
        target = make_target(leaving=True)
        fleet.source.replace(make_source([target]).current())
        fleet.report(fleet.a, 0)
        fleet.source.replace(make_source([fleet.target]).current())
        ledger = fleet.a.lender.ledger(fleet.target)
        self.assertEqual(2, ledger.allowance_slots())

    async def test_changed_target_keeps_its_loans_on_the_books(self):
        fleet = self.fleet
        await fleet.borrow(fleet.b)
        changed = make_target(maximum_slots=10)
        fleet.source.replace(make_source([changed]).current())
        ledger = fleet.a.lender.ledger(changed)
        self.assertEqual(4, ledger.lent_slots(fleet.timer.now_s()))
        self.assertEqual(8, ledger.allowance_slots())

    async def test_idle_entries_send_nothing(self):
        fleet = self.fleet
        await fleet.borrow(fleet.b)
        await fleet.timer.advance(30.0)
        before = fleet.network.messages
        await fleet.timer.advance(60.0)
        self.assertEqual(before, fleet.network.messages)

    async def test_use_is_taken_for_asks_only(self):
        fleet = self.fleet
        fleet.b.running = 1
        await fleet.borrow(fleet.b)
        await fleet.timer.advance(60.0)
        asks = fleet.a.lender._asks["b-1"]
        self.assertEqual(asks, fleet.b.uses)

    async def test_busy_entry_asks_a_home_once_a_period(self):
        fleet = self.fleet
        fleet.b.running = 2
        await fleet.borrow(fleet.b)
        before = fleet.network.bytes
        await fleet.timer.advance(60.0)
        # Headers excluded: about 20 exchanges, both ways.
        self.assertLess((fleet.network.bytes - before) / 60.0, 100)
