"""Tests of the leases on shares of the fleet-wide limits."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivesill.fleet.shares import LEASE_DURATION_S, ShareAllocator, ShareLease


class ShareLeaseTest(unittest.TestCase):
    def test_a_lease_expires(self):
        lease = ShareLease(0.5, 10.0)
        self.assertEqual(0.5, lease.share_at(9.9))
        self.assertEqual(0.0, lease.share_at(10.0))


class ShareAllocatorTest(unittest.TestCase):
    def test_entries_get_equal_shares_once_earlier_leases_have_expired(self):
        allocator = ShareAllocator(0.0)
        now_s = 2 * LEASE_DURATION_S
        for step in range(20):
            for entry in ("a", "b", "c", "d"):
                share = allocator.renew(entry, 0.0, now_s + step)
        self.assertAlmostEqual(0.25, share)

    def test_a_new_leader_renews_only_the_shares_in_force(self):
        allocator = ShareAllocator(100.0)
        self.assertEqual(0.3, allocator.renew("a", 0.3, 101.0))
        self.assertEqual(0.0, allocator.renew("new", 0.0, 101.0))

    def test_a_released_share_is_available_at_once(self):
        allocator = ShareAllocator(0.0)
        now_s = 2 * LEASE_DURATION_S
        self.assertEqual(1.0, allocator.renew("a", 0.0, now_s))
        allocator.release("a")
        self.assertEqual(1.0, allocator.renew("b", 0.0, now_s))

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("abcde"), st.floats(0.0, 3.0))))
    def test_shares_sum_to_at_most_one(self, steps):
        allocator = ShareAllocator(0.0)
        now_s = 2 * LEASE_DURATION_S
        held: dict[str, ShareLease] = {}
        for entry, wait_s in steps:
            now_s += wait_s
            before = held.get(entry, ShareLease(0.0, 0.0)).share_at(now_s)
            share = allocator.renew(entry, before, now_s)
            held[entry] = ShareLease(share, now_s + LEASE_DURATION_S)
            total = sum(lease.share_at(now_s) for lease in held.values())
            self.assertLessEqual(total, 1.0 + 1e-9)
