"""Tests of the shares of the allowances that hold for all entries together."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivesill.fleet.shares import LOAN_LIFE_S, Loan, ShareLedger


class LoanTest(unittest.TestCase):
    def test_a_share_ends_by_itself(self):
        loan = Loan(0.5, 10.0)
        self.assertEqual(0.5, loan.share_at(9.9))
        self.assertEqual(0.0, loan.share_at(10.0))


class ShareLedgerTest(unittest.TestCase):
    def test_entries_share_alike_once_earlier_loans_have_ended(self):
        ledger = ShareLedger(0.0)
        now_s = 2 * LOAN_LIFE_S
        for step in range(20):
            for entry in ("a", "b", "c", "d"):
                share = ledger.lend(entry, 0.0, now_s + step)
        self.assertAlmostEqual(0.25, share)

    def test_a_new_lender_gives_no_more_than_what_is_held(self):
        ledger = ShareLedger(100.0)
        self.assertEqual(0.3, ledger.lend("a", 0.3, 101.0))
        self.assertEqual(0.0, ledger.lend("new", 0.0, 101.0))

    def test_a_share_that_is_given_back_is_free_at_once(self):
        ledger = ShareLedger(0.0)
        now_s = 2 * LOAN_LIFE_S
        self.assertEqual(1.0, ledger.lend("a", 0.0, now_s))
        ledger.give_back("a")
        self.assertEqual(1.0, ledger.lend("b", 0.0, now_s))

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("abcde"), st.floats(0.0, 3.0))))
    def test_the_sum_never_passes_one_whoever_asks_or_falls_silent(self, steps):
        ledger = ShareLedger(0.0)
        now_s = 2 * LOAN_LIFE_S
        held: dict[str, Loan] = {}
        for entry, wait_s in steps:
            now_s += wait_s
            before = held.get(entry, Loan(0.0, 0.0)).share_at(now_s)
            share = ledger.lend(entry, before, now_s)
            held[entry] = Loan(share, now_s + LOAN_LIFE_S)
            total = sum(loan.share_at(now_s) for loan in held.values())
            self.assertLessEqual(total, 1.0 + 1e-9)
