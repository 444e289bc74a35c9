"""Tests of the credit allocator."""

import random
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from endivesill.routing.credits import (
    ALLOCATION_LIFETIME_S,
    TAKEOVER_S,
    CreditAllocator,
    Usage,
)
from tests.routing_fakes import make_target

MAXIMUM_SLOTS = 16
COLD_SLOTS = 2


def make_allocator(now_s=0.0, warm=True):
    allocator = CreditAllocator(make_target(), 71.0, 880.0, now_s)
    if warm:
        allocator.assume_warm()
    return allocator


class CreditAllocatorTest(unittest.TestCase):
    def test_cold_target_gets_only_the_cold_allowance(self):
        allocator = make_allocator(warm=False)
        now_s = TAKEOVER_S + 1
        usage = Usage(headroom_slots=9, queued=9)
        allocations = [allocator.allocate(f"v{n}", usage, now_s) for n in range(5)]
        self.assertEqual(
            COLD_SLOTS, sum(allocation.slots for allocation in allocations)
        )

    def test_new_owner_allocates_running_load_and_the_cold_allowance(self):
        allocator = make_allocator(warm=False)
        first = allocator.allocate("a", Usage(slots=5, headroom_slots=9, queued=1), 0.0)
        second = allocator.allocate(
            "b", Usage(slots=3, headroom_slots=9, queued=1), 0.1
        )
        self.assertEqual(5 + 3 + COLD_SLOTS, first.slots + second.slots)

    def test_new_owner_allocates_the_memory_of_the_slots_that_it_allocates(self):
        allocator = make_allocator(warm=False)
        usage = Usage(
            slots=5, tokens=5_000, headroom_slots=9, headroom_tokens=900, queued=1
        )
        allocation = allocator.allocate("a", usage, 0.0)
        self.assertEqual(5 + COLD_SLOTS, allocation.slots)
        self.assertEqual(5_900, allocation.tokens)

    def test_an_engine_without_free_memory_gives_no_slots(self):
        """An allocation of 0 tokens means to an entry that memory is not limited."""
        allocator = make_allocator()
        usage = Usage(headroom_slots=2, headroom_tokens=100_000, queued=1)
        first = allocator.allocate("a", usage, 0.0)
        self.assertEqual(2, first.slots)
        self.assertEqual(allocator.allowance_tokens(), first.tokens)
        second = allocator.allocate("b", usage, 0.1)
        self.assertEqual((0, 0), (second.slots, second.tokens))

    def test_a_plain_service_gives_slots_without_memory(self):
        target = make_target(memory_tokens=0)
        allocator = CreditAllocator(target, 71.0, 880.0, 0.0)
        allocator.assume_warm()
        usage = Usage(headroom_slots=2, headroom_tokens=4_000, queued=1)
        allocation = allocator.allocate("a", usage, 0.0)
        self.assertEqual((2, 0), (allocation.slots, allocation.tokens))

    def test_takeover_allocation_does_not_grow_with_renewals(self):
        allocator = make_allocator(warm=False)
        allocation = allocator.allocate(
            "a", Usage(slots=5, headroom_slots=9, queued=1), 0.0
        )
        for step in range(1, 4):
            usage = Usage(
                slots=allocation.slots,
                headroom_slots=9,
                queued=1,
                serial=allocation.serial,
            )
            allocation = allocator.allocate("a", usage, float(step))
        self.assertEqual(5 + COLD_SLOTS, allocation.slots)

    def test_slow_start_begins_from_the_load_found_at_the_takeover(self):
        allocator = make_allocator(warm=False)
        allocator.allocate("a", Usage(slots=7), 0.0)
        allocation = allocator.allocate(
            "a", Usage(slots=7, headroom_slots=9, queued=1), TAKEOVER_S + 1
        )
        self.assertEqual(7, allocation.slots)

    def test_smaller_allocation_counts_once_confirmed(self):
        allocator = make_allocator()
        first = allocator.allocate("a", Usage(headroom_slots=14, queued=1), 0.0)
        self.assertEqual(14, first.slots)
        self.assertEqual(
            0, allocator.allocate("b", Usage(headroom_slots=4, queued=1), 0.1).slots
        )
        second = allocator.allocate(
            "a", Usage(headroom_slots=2, queued=1, serial=first.serial), 0.2
        )
        self.assertEqual(
            0, allocator.allocate("b", Usage(headroom_slots=4, queued=1), 0.3).slots
        )
        allocator.allocate(
            "a", Usage(headroom_slots=2, queued=1, serial=second.serial), 0.4
        )
        self.assertEqual(
            4, allocator.allocate("b", Usage(headroom_slots=4, queued=1), 0.5).slots
        )

    def test_residual_load_counts_until_a_load_report_shows_its_end(self):
        allocator = make_allocator()
        allocation = allocator.allocate("a", Usage(headroom_slots=14, queued=1), 0.0)
        allocator.allocate("a", Usage(slots=14, serial=allocation.serial), 0.1)
        allocator.observe_load("boot", 14, 60_000, 0, ALLOCATION_LIFETIME_S + 1)
        self.assertEqual(
            0,
            allocator.allocate(
                "b", Usage(headroom_slots=4, queued=1), ALLOCATION_LIFETIME_S + 2
            ).slots,
        )
        allocator.observe_load("boot", 0, 60_000, 0, ALLOCATION_LIFETIME_S + 8)
        self.assertEqual(
            4,
            allocator.allocate(
                "b", Usage(headroom_slots=4, queued=1), ALLOCATION_LIFETIME_S + 9
            ).slots,
        )

    def test_reboot_resets_to_the_cold_allowance(self):
        allocator = make_allocator()
        allocator.observe_load("boot-1", 0, 60_000, 0, 1.0)
        self.assertTrue(allocator.observe_load("boot-2", 0, 60_000, 0, 2.0))
        self.assertEqual(COLD_SLOTS, allocator.allowance_slots())

    def test_allowance_doubles_on_responses_and_not_on_time(self):
        allocator = make_allocator(warm=False)
        now_s = TAKEOVER_S + 1
        allocator.allocate("a", Usage(), now_s)
        allocator.allocate("a", Usage(), now_s + 500)
        self.assertEqual(2, allocator.allowance_slots())
        allocator.allocate("a", Usage(completed=2, first_token_ms=100.0), now_s + 501)
        self.assertEqual(4, allocator.allowance_slots())
        allocator.allocate("a", Usage(completed=9, first_token_ms=9000.0), now_s + 502)
        self.assertEqual(4, allocator.allowance_slots())

    def test_silent_target_gets_no_slots(self):
        allocator = make_allocator()
        allocator.mark_silent()
        self.assertEqual(
            0, allocator.allocate("a", Usage(headroom_slots=4, queued=1), 1.0).slots
        )

    def test_unattributed_load_reduces_the_allocation(self):
        allocator = make_allocator()
        for second in range(8):
            allocator.observe_load("boot", 10, 60_000, 0, float(second))
        self.assertEqual(
            4, allocator.allocate("a", Usage(headroom_slots=14, queued=1), 8.0).slots
        )

    def test_scarce_slots_go_to_entries_with_a_queue(self):
        allocator = make_allocator(warm=False)
        names = [f"v{n}" for n in range(7)]
        now_s = TAKEOVER_S + 1
        idle = [
            allocator.allocate(name, Usage(headroom_slots=2), now_s) for name in names
        ]
        self.assertLessEqual(sum(allocation.slots for allocation in idle), COLD_SLOTS)
        held = {
            name: allocation.serial
            for name, allocation in zip(names, idle, strict=True)
        }
        for name in names:
            allocator.allocate(name, Usage(serial=held[name]), now_s + 1)
        for name in names:
            allocator.allocate(name, Usage(), now_s + 2)
        queued = [
            allocator.allocate(name, Usage(headroom_slots=3, queued=1), now_s + 3)
            for name in names
        ]
        self.assertEqual(COLD_SLOTS, sum(allocation.slots for allocation in queued))

    def test_cold_target_gives_headroom_while_no_entry_queues(self):
        allocator = make_allocator(warm=False)
        now_s = TAKEOVER_S + 1
        idle = Usage(headroom_slots=2)
        allocations = [
            allocator.allocate(name, idle, now_s) for name in ("a", "b", "c")
        ]
        self.assertEqual([1, 1, 0], [allocation.slots for allocation in allocations])
        waiting = Usage(headroom_slots=2, queued=1)
        allocator.allocate("c", waiting, now_s + 1)
        back = allocator.allocate(
            "a", Usage(headroom_slots=2, serial=allocations[0].serial), now_s + 2
        )
        self.assertEqual(0, back.slots)
        allocator.allocate("a", Usage(headroom_slots=2, serial=back.serial), now_s + 3)
        self.assertEqual(1, allocator.allocate("c", waiting, now_s + 4).slots)

    def test_cold_target_stays_allocated_over_renewals(self):
        allocator = make_allocator(warm=False)
        now_s = TAKEOVER_S + 1
        serials = dict.fromkeys("abc", 0)
        for _ in range(5):
            now_s += 1.0
            allocated = {}
            for name, serial in serials.items():
                usage = Usage(headroom_slots=2, serial=serial)
                allocated[name] = allocator.allocate(name, usage, now_s)
                serials[name] = allocated[name].serial
            self.assertEqual(
                COLD_SLOTS, sum(allocation.slots for allocation in allocated.values())
            )

    def test_owner_without_the_lease_allocates_nothing(self):
        allocator = make_allocator()
        allocation = allocator.allocate(
            "a", Usage(headroom_slots=4, queued=1), 1.0, may_allocate=False
        )
        self.assertEqual(0, allocation.slots)

    def test_contended_target_is_shared_evenly(self):
        allocator = make_allocator()
        allocations = {}
        for _ in range(4):
            for name in ("a", "b"):
                held = allocations.get(name)
                usage = Usage(
                    headroom_slots=40, queued=1, serial=held.serial if held else 0
                )
                allocations[name] = allocator.allocate(name, usage, 1.0)
        self.assertEqual(
            [7, 7], [allocation.slots for allocation in allocations.values()]
        )

    def test_memory_allocations_stay_within_the_engine_memory(self):
        allocator = make_allocator()
        usage = Usage(headroom_slots=4, queued=1, headroom_tokens=50_000)
        allocations = [allocator.allocate(name, usage, 1.0) for name in ("a", "b", "c")]
        self.assertLessEqual(
            sum(allocation.tokens for allocation in allocations), 60_000
        )


class Entry:
    """An entry of the model with its load and its allocation."""

    def __init__(self, name):
        self.name = name
        self.running = 0
        self.minimum = 0
        self.minimum_since_request = 0
        self.allocation = None
        self.expires_s = 0.0

    def usage(self, headroom):
        self.minimum_since_request = self.running
        return Usage(
            slots=self.running,
            headroom_slots=headroom,
            serial=self.allocation.serial if self.allocation else 0,
            completed=1,
            queued=headroom % 3,
            minimum_slots=self.minimum,
        )

    def startable(self, now_s):
        if self.allocation is None or self.expires_s <= now_s:
            return 0
        return max(0, self.allocation.slots - self.running)


class Model:
    """Entries and one target with one or two owners; messages may get lost."""

    def __init__(self, allocators):
        self.now_s = 100.0
        self.allocators = allocators
        self.entries = [Entry(f"v{n}") for n in range(4)]
        self.owners = dict.fromkeys(range(4), 0)
        self.orphans = 0
        self.names = 4

    def step(self, action, index, amount):
        getattr(self, action)(index, amount)
        self.now_s += 0.01
        self.converge()

    def request(self, index, amount):
        entry = self.entries[index]
        allocator = self.allocators[self.owners[index]]
        sent_s = self.now_s
        allocation = allocator.allocate(entry.name, entry.usage(amount), self.now_s)
        if amount % 4:
            entry.allocation = allocation
            entry.minimum = entry.minimum_since_request
            entry.expires_s = sent_s + ALLOCATION_LIFETIME_S

    def start(self, index, amount):
        entry = self.entries[index]
        entry.running += min(amount, entry.startable(self.now_s))

    def end(self, index, amount):
        entry = self.entries[index]
        entry.running = max(0, entry.running - amount)
        entry.minimum = min(entry.minimum, entry.running)
        entry.minimum_since_request = min(entry.minimum_since_request, entry.running)

    def die(self, index, amount):
        """Restart an entry; its requests continue to run at the target."""
        self.orphans += self.entries[index].running
        self.names += 1
        self.entries[index] = Entry(f"v{self.names}")

    def end_orphans(self, index, amount):
        self.orphans = max(0, self.orphans - amount)

    def wait(self, index, amount):
        """Let time pass, with a load report every second."""
        for _ in range(amount):
            self.now_s += 1.0
            self.converge()
            for allocator in self.allocators:
                allocator.observe_load("boot", self.running(), 60_000, 0, self.now_s)

    def partition(self, index, amount):
        """Let time pass without load reports and credit requests."""
        self.now_s += amount

    def switch(self, index, amount):
        """Let an entry switch to the other owner and drop its allocation."""
        self.owners[index] = 1
        self.entries[index].allocation = None

    def converge(self):
        """Let all entries switch within an allocation's lifetime and then request."""
        if len(self.allocators) < 2:
            return
        for index, entry in enumerate(self.entries):
            if self.now_s > 100.0 + ALLOCATION_LIFETIME_S and not self.owners[index]:
                self.switch(index, 0)
            if (
                self.now_s > 100.0 + ALLOCATION_LIFETIME_S + 2
                and entry.allocation is None
            ):
                self.request(index, 1)

    def running(self):
        return self.orphans + sum(entry.running for entry in self.entries)

    def possible_load(self):
        startable = sum(entry.startable(self.now_s) for entry in self.entries)
        return self.running() + startable


ONE_OWNER = {"request": 8, "start": 6, "end": 3, "die": 1, "end_orphans": 1, "wait": 2}
STEPS = 250


def run_schedule(model, seed, weights):
    """Run random steps; return the highest possible load at any time."""
    source = random.Random(seed)
    actions = source.choices(list(weights), list(weights.values()), k=STEPS)
    maximum = 0
    for action in actions:
        model.step(action, source.randrange(4), source.randint(1, MAXIMUM_SLOTS))
        maximum = max(maximum, model.possible_load())
    return maximum


class CreditAllocatorPropertyTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.integers(0, 1 << 30))
    def test_sum_stays_within_the_allowance(self, seed):
        weights = {**ONE_OWNER, "partition": 1}
        maximum = run_schedule(Model([make_allocator()]), seed, weights)
        self.assertLessEqual(maximum, MAXIMUM_SLOTS)

    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.integers(0, 1 << 30))
    @example(293)
    @example(356)
    @example(640)
    @example(5358)
    @example(9939)
    def test_two_simultaneous_owners_stay_within_the_capacity(self, seed):
        allocators = [make_allocator(), make_allocator(now_s=100.0, warm=False)]
        weights = {**ONE_OWNER, "switch": 1}
        maximum = run_schedule(Model(allocators), seed, weights)
        self.assertLessEqual(maximum, MAXIMUM_SLOTS)
