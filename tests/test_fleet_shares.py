"""Tests of the shares of the allowances that hold for all entries together."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivesill.fleet.shares import LEASE_DURATION_S, ShareAllocator, ShareLease


class LoanTest(unittest.TestCase):
    def test_a_share_ends_by_itself(self):
        lease = ShareLease(0.5, 10.0)
        self.assertEqual(0.5, lease.share_at(9.9))
        self.assertEqual(0.0, lease.share_at(10.0))


class ShareLedgerTest(unittest.TestCase):
    def test_entries_share_alike_once_earlier_loans_have_ended(self):
        ledger = ShareAllocator(0.0)
        now_s = 2 * LEASE_DURATION_S
        for step in range(20):
            for entry in ("a", "b", "c", "d"):
                share = ledger.renew(entry, 0.0, now_s + step)
        self.assertAlmostEqual(0.25, share)

    def test_a_new_lender_gives_no_more_than_what_is_held(self):
        ledger = ShareAllocator(100.0)
        self.assertEqual(0.3, ledger.renew("a", 0.3, 101.0))
        self.assertEqual(0.0, ledger.renew("new", 0.0, 101.0))

    def test_a_share_that_is_given_back_is_free_at_once(self):
        ledger = ShareAllocator(0.0)
        now_s = 2 * LEASE_DURATION_S
        self.assertEqual(1.0, ledger.renew("a", 0.0, now_s))
        ledger.release("a")
        self.assertEqual(1.0, ledger.renew("b", 0.0, now_s))

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("abcde"), st.floats(0.0, 3.0))))
    def test_the_sum_never_passes_one_whoever_asks_or_falls_silent(self, steps):
        ledger = ShareAllocator(0.0)
        now_s = 2 * LEASE_DURATION_S
        held: dict[str, ShareLease] = {}
        for entry, wait_s in steps:
            now_s += wait_s
            before = held.get(entry, ShareLease(0.0, 0.0)).share_at(now_s)
            share = ledger.renew(entry, before, now_s)
            held[entry] = ShareLease(share, now_s + LEASE_DURATION_S)
            total = sum(lease.share_at(now_s) for lease in held.values())
            self.assertLessEqual(total, 1.0 + 1e-9)
