"""Tests of credit servers and clients over the memory network."""

import unittest

from endivesill.membership import StaticMembership, VmRecord
from endivesill.peers import MemoryNetwork
from endivesill.routing import CreditClient, CreditServer
from endivesill.routing.credit_server import usage_fields
from endivesill.routing.credits import ALLOCATION_LIFETIME_S, TAKEOVER_S, Usage
from endivesill.targets import LoadReport
from endivesill.timer import ManualTimer
from tests.routing_fakes import make_source, make_target

COLD_SLOTS = 2


class Vm:
    """The credit server and client of one VM, with a load that the test sets."""

    def __init__(self, fleet, name):
        self.name = name
        self.instance = f"{name}-1"
        self.peers = fleet.network.transport(name)
        self.membership = StaticMembership(name, fleet.records, dict(fleet.owners))
        current = fleet.source.current
        self.source = make_source([])
        self.credit_server = CreditServer(
            fleet.timer,
            current,
            self.instance,
            self.membership,
            self.peers,
            self.source,
        )
        self.credit_client = CreditClient(
            fleet.timer,
            current,
            self.instance,
            self.credit_server,
            self.membership,
            self.peers,
        )
        self.running = 0
        self.suspects_cold = False
        self.usages = 0
        self.credit_client.usage_of = self.usage_of
        self.credit_client.running_at = lambda target: self.running

    def usage_of(self, target):
        self.usages += 1
        allocation = self.credit_client.allocation(target.name)
        return Usage(
            slots=self.running,
            headroom_slots=4,
            serial=allocation.serial if allocation else 0,
            suspects_cold=self.suspects_cold,
            queued=1,
            minimum_slots=self.running,
        )


class Fleet:
    """Three VMs and one engine that the first owns."""

    def __init__(self):
        self.timer = ManualTimer()
        self.network = MemoryNetwork(self.timer)
        self.target = make_target()
        self.source = make_source([self.target])
        self.owners = {"e0": "a"}
        self.records = tuple(
            VmRecord(name, f"{name}-1", name, "dk-west-a", "dk-west") for name in "abc"
        )
        self.a, self.b, self.c = (Vm(self, name) for name in "abc")
        self.vms = (self.a, self.b, self.c)

    async def start(self):
        self.a.credit_server.allocator(self.target).assume_warm()
        for vm in self.vms:
            await vm.credit_client.start()

    async def stop(self):
        for vm in self.vms:
            await vm.credit_client.stop()

    async def request_credits(self, *vms):
        for vm in vms:
            vm.credit_client.request_more(self.target)
        await self.timer.advance(0.1)

    def slots(self, vm):
        allocation = vm.credit_client.allocation("e0")
        if allocation is None or allocation.expires_s <= self.timer.now_s():
            return 0
        return allocation.slots

    def set_owners(self, owners, *vms):
        for vm in vms:
            vm.membership.replace(self.records, owners)

    def report(self, vm, running, boot_id="boot"):
        report = LoadReport(boot_id, running, 0, 60_000)
        target = self.source.current().targets["e0"]
        vm.credit_server.observe_load(target, report)


class CreditExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def test_entry_gets_credits_from_the_owner(self):
        fleet = self.fleet
        await fleet.request_credits(fleet.a, fleet.b)
        self.assertEqual([4, 4], [fleet.slots(fleet.a), fleet.slots(fleet.b)])

    async def test_successor_of_a_dead_owner_allocates_cold_until_expiry(self):
        fleet = self.fleet
        await fleet.request_credits(fleet.b)
        fleet.b.running = 3
        fleet.network.remove("a")
        fleet.set_owners({"e0": "c"}, fleet.b, fleet.c)
        self.assertEqual(0, fleet.slots(fleet.b))
        await fleet.request_credits(fleet.b, fleet.c)
        self.assertEqual(5, fleet.slots(fleet.b) + fleet.slots(fleet.c))
        for _ in range(int(TAKEOVER_S) + 4):
            fleet.report(fleet.c, 3)
            await fleet.timer.advance(1.0)
        await fleet.request_credits(fleet.b, fleet.c)
        self.assertGreaterEqual(fleet.slots(fleet.b), 3)

    async def test_partitioned_entry_stops_when_its_allocation_expires(self):
        fleet = self.fleet
        await fleet.request_credits(fleet.b)
        fleet.network.cut("a", "b")
        await fleet.timer.advance(ALLOCATION_LIFETIME_S + 0.1)
        self.assertEqual(0, fleet.slots(fleet.b))
        allocator = fleet.a.credit_server.allocator(fleet.target)
        self.assertEqual(4, allocator.total_committed_slots(fleet.timer.now_s()))

    async def test_entry_gets_credits_again_after_a_partition(self):
        fleet = self.fleet
        await fleet.request_credits(fleet.b)
        fleet.network.cut("a", "b")
        await fleet.timer.advance(ALLOCATION_LIFETIME_S + 0.5)
        fleet.network.heal()
        fleet.b.credit_client.request_more(fleet.target)
        await fleet.timer.advance(1.5)
        self.assertEqual(4, fleet.slots(fleet.b))

    async def test_allocation_expires_at_the_entry_before_it_does_at_the_owner(self):
        fleet = self.fleet
        fleet.network.delay_s = 0.4
        fleet.b.credit_client.request_more(fleet.target)
        await fleet.timer.advance(0.9)
        held = fleet.b.credit_client.allocation("e0")
        allocator = fleet.a.credit_server.allocator(fleet.target)
        fleet.network.cut("a", "b")
        await fleet.timer.advance(held.expires_s - fleet.timer.now_s())
        self.assertEqual(0, fleet.slots(fleet.b))
        self.assertGreater(allocator.total_committed_slots(fleet.timer.now_s()), 0)

    async def test_owner_without_the_lease_allocates_nothing(self):
        fleet = self.fleet
        fleet.a.source.lease = False
        await fleet.request_credits(fleet.a, fleet.b)
        self.assertEqual([0, 0], [fleet.slots(fleet.a), fleet.slots(fleet.b)])

    async def test_entry_drops_the_allocations_of_a_former_owner(self):
        fleet = self.fleet
        await fleet.request_credits(fleet.b)
        fleet.set_owners({"e0": "c"}, fleet.b)
        self.assertEqual(0, fleet.slots(fleet.b))

    async def test_restarted_entry_gets_credits_beside_its_old_allocation(self):
        fleet = self.fleet
        await fleet.request_credits(fleet.b)
        await fleet.b.credit_client.stop()
        fleet.b.instance = "b-2"
        restarted = Vm(fleet, "b")
        restarted.credit_client._entry_id = "b-2"
        fleet.vms = (fleet.a, restarted, fleet.c)
        await restarted.credit_client.start()
        await fleet.request_credits(restarted)
        allocator = fleet.a.credit_server.allocator(fleet.target)
        self.assertEqual(4, fleet.slots(restarted))
        self.assertEqual(8, allocator.total_committed_slots(fleet.timer.now_s()))

    async def test_reboot_revokes_the_credits_of_all_entries_at_once(self):
        fleet = self.fleet
        fleet.report(fleet.a, 0)
        await fleet.request_credits(fleet.a, fleet.b)
        fleet.report(fleet.a, 0, "boot-2")
        await fleet.timer.advance(0.01)
        self.assertEqual([0, 0], [fleet.slots(fleet.a), fleet.slots(fleet.b)])

    async def test_slowdown_at_the_entry_with_most_load_revokes_all_credits(self):
        fleet = self.fleet
        fleet.b.running = 3
        await fleet.request_credits(fleet.b, fleet.c)
        await self.suspect_cold(fleet.b)
        self.assertEqual([0, 0], [fleet.slots(fleet.b), fleet.slots(fleet.c)])

    async def test_slowdown_at_an_entry_with_little_load_needs_a_second_one(self):
        fleet = self.fleet
        fleet.b.running, fleet.c.running = 1, 5
        await fleet.request_credits(fleet.b, fleet.c)
        await self.suspect_cold(fleet.b)
        allocator = fleet.a.credit_server.allocator(fleet.target)
        self.assertEqual(14, allocator.allowance_slots())
        self.assertGreater(fleet.slots(fleet.c), 0)
        fleet.c.running = 2
        fleet.b.running = 3
        await self.suspect_cold(fleet.c)
        self.assertEqual(2, allocator.allowance_slots())

    async def suspect_cold(self, vm):
        vm.suspects_cold = True
        await self.fleet.timer.advance(0.3)
        await self.fleet.request_credits(vm)
        vm.suspects_cold = False

    async def test_a_suspicion_that_did_not_reach_the_owner_is_sent_again(self):
        fleet = self.fleet
        fleet.b.running = 3
        await fleet.request_credits(fleet.b)
        allocator = fleet.a.credit_server.allocator(fleet.target)
        fleet.network.cut("a", "b")
        await self.suspect_cold(fleet.b)
        await fleet.timer.advance(2.0)
        fleet.network.heal()
        self.assertGreater(allocator.slow_start.slots, COLD_SLOTS)
        await fleet.timer.advance(3.0)
        self.assertEqual(COLD_SLOTS, allocator.slow_start.slots)
        allocator.assume_warm()
        await fleet.timer.advance(10.0)
        self.assertGreater(allocator.slow_start.slots, COLD_SLOTS)

    async def test_an_owner_forgets_the_entries_that_have_gone(self):
        fleet = self.fleet
        server = fleet.a.credit_server
        for number in range(2_000):
            message = {
                "from": f"b-{number}",
                "address": "b",
                "number": 1,
                "use": {"e0": usage_fields(Usage(headroom_slots=1))},
            }
            await server._handle_request(message)
            await fleet.timer.advance(1.0)
        self.assertLess(len(server._request_numbers), 100)
        self.assertLess(len(server._entry_addresses["e0"]), 100)

    async def test_target_that_returns_to_service_is_cold(self):
        fleet = self.fleet
        target = make_target(leaving=True)
        fleet.source.replace(make_source([target]).current())
        fleet.report(fleet.a, 0)
        fleet.source.replace(make_source([fleet.target]).current())
        allocator = fleet.a.credit_server.allocator(fleet.target)
        self.assertEqual(2, allocator.allowance_slots())

    async def test_changed_target_keeps_its_allocations(self):
        fleet = self.fleet
        await fleet.request_credits(fleet.b)
        changed = make_target(maximum_slots=10)
        fleet.source.replace(make_source([changed]).current())
        allocator = fleet.a.credit_server.allocator(changed)
        self.assertEqual(4, allocator.total_committed_slots(fleet.timer.now_s()))
        self.assertEqual(8, allocator.allowance_slots())

    async def test_idle_entries_send_nothing(self):
        fleet = self.fleet
        await fleet.request_credits(fleet.b)
        await fleet.timer.advance(30.0)
        before = fleet.network.messages
        await fleet.timer.advance(60.0)
        self.assertEqual(before, fleet.network.messages)

    async def test_usage_is_collected_for_requests_only(self):
        fleet = self.fleet
        fleet.b.running = 1
        await fleet.request_credits(fleet.b)
        await fleet.timer.advance(60.0)
        requests = fleet.a.credit_server._request_numbers["b-1"]
        self.assertEqual(requests, fleet.b.usages)

    async def test_busy_entry_sends_one_request_per_period(self):
        fleet = self.fleet
        fleet.b.running = 2
        await fleet.request_credits(fleet.b)
        before = fleet.network.bytes
        await fleet.timer.advance(60.0)
        # Headers excluded: about 20 exchanges, both ways.
        self.assertLess((fleet.network.bytes - before) / 60.0, 100)
