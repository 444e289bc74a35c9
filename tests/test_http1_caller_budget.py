"""Tests of the budget for what a process holds for its callers."""

import unittest

from endivesill.http1.caller_budget import MEMORY_FRACTION, CallerBudget
from endivesill.http1.exchange import ConnectionLimits
from endivesill.http1.request_buffer import (
    BODY_COPIES,
    MAX_HEADER_LINES,
    MAX_SMALL_PIECES,
    RequestBuffer,
)
from endivesill.timer import ManualTimer

LIMIT_BYTES = 1_000
LIMITS = ConnectionLimits()


class Holder:
    """A connection whose state is set by the test."""

    def __init__(
        self, budget, address="a", since_s=0.0, idle_since_s=0.0, unread_since_s=None
    ):
        self._budget = budget
        self._address = address
        self.incomplete_since_s = since_s
        self.idle_since_s = idle_since_s
        self.unread_since_s = unread_since_s
        self.held_bytes = 0
        self.is_shed = False
        self.is_aborted = False

    @property
    def is_idle(self):
        return self.incomplete_since_s is None

    def peer_address(self):
        return self._address

    def shed(self):
        self.is_shed = True
        self._budget.update(self, 0)

    def abort(self):
        self.is_aborted = True


class BudgetTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.budget = CallerBudget(self.timer, LIMIT_BYTES / MEMORY_FRACTION, 8)

    def holder(self, held_bytes=0, **fields):
        holder = Holder(self.budget, **fields)
        self.budget.add(holder)
        if held_bytes:
            self.budget.update(holder, held_bytes)
        return holder


class MemoryTest(BudgetTestCase):
    def test_within_the_limit_nothing_is_given_up(self):
        holders = [self.holder(LIMIT_BYTES // 4) for _ in range(4)]
        self.assertFalse(any(holder.is_shed for holder in holders))

    def test_the_largest_incomplete_request_is_given_up(self):
        small, large = self.holder(300), self.holder(600)
        last = self.holder(200)
        self.assertTrue(large.is_shed)
        self.assertFalse(small.is_shed or last.is_shed)
        self.assertEqual(500, self.budget.held_bytes)

    async def test_one_that_is_incomplete_for_long_goes_first(self):
        old = self.holder(300, since_s=self.timer.now_s())
        await self.timer.advance(5.0)
        now_s = self.timer.now_s()
        new = self.holder(600, since_s=now_s)
        self.holder(200, since_s=now_s)
        self.assertTrue(old.is_shed)
        self.assertFalse(new.is_shed)

    def test_a_crowd_from_one_address_does_not_take_the_place_of_others(self):
        ordinary = self.holder(150, address="b")
        crowd = [self.holder(100, address="a") for _ in range(9)]
        self.assertFalse(ordinary.is_shed)
        self.assertTrue(any(holder.is_shed for holder in crowd))

    def test_a_request_that_was_sent_on_is_kept(self):
        sent = [self.holder(600, since_s=None) for _ in range(2)]
        self.assertFalse(any(holder.is_shed for holder in sent))
        new = self.holder(10)
        self.assertTrue(new.is_shed)

    def test_unread_responses_go_after_incomplete_requests(self):
        unread = [self.holder(400, since_s=None, unread_since_s=0.0) for _ in range(2)]
        incomplete = self.holder(300)
        self.assertTrue(incomplete.is_shed)
        self.assertFalse(any(holder.is_aborted for holder in unread))
        reading = self.holder(300, since_s=None)
        self.assertEqual([True, False], sorted(h.is_aborted for h in unread)[::-1])
        self.assertFalse(reading.is_aborted)
        self.assertEqual(700, self.budget.held_bytes)

    def test_a_closed_connection_holds_nothing(self):
        holder = self.holder(700)
        self.budget.remove(holder)
        self.assertEqual(0, self.budget.held_bytes)


class ConnectionTest(BudgetTestCase):
    def test_an_incomplete_request_makes_place(self):
        old = self.holder(since_s=1.0)
        others = [self.holder(since_s=None) for _ in range(3)]
        self.holder(since_s=None)
        self.assertTrue(old.is_aborted)
        self.assertFalse(any(holder.is_aborted for holder in others))

    def test_else_the_one_that_is_idle_for_longest(self):
        idle = [self.holder(since_s=None, idle_since_s=n) for n in range(4)]
        self.holder(since_s=None, idle_since_s=9.0)
        self.assertEqual(
            [True, False, False, False], [holder.is_aborted for holder in idle]
        )


class RequestBufferTest(unittest.TestCase):
    def test_header_lines_are_bounded(self):
        buffer = RequestBuffer()
        for _ in range(MAX_HEADER_LINES):
            self.assertTrue(buffer.add_header(b"a", b"", LIMITS))
        self.assertFalse(buffer.add_header(b"a", b"", LIMITS))

    def test_header_bytes_are_bounded(self):
        buffer = RequestBuffer()
        self.assertTrue(buffer.add_header(b"a", b"v" * 16_000, LIMITS))
        self.assertFalse(buffer.add_header(b"a", b"v" * 400, LIMITS))

    def test_a_body_in_many_tiny_pieces(self):
        buffer = RequestBuffer()
        for _ in range(MAX_SMALL_PIECES):
            self.assertTrue(buffer.add_body(b"xx", LIMITS))
        self.assertFalse(buffer.add_body(b"xx", LIMITS))

    def test_a_body_in_many_pieces_of_ordinary_size(self):
        buffer = RequestBuffer()
        for _ in range(MAX_SMALL_PIECES + 1):
            self.assertTrue(buffer.add_body(b"x" * 64, LIMITS))

    def test_memory_counts_lines_and_copies(self):
        buffer = RequestBuffer()
        buffer.add_header(b"ab", b"", LIMITS)
        self.assertGreater(buffer.memory_bytes, 100)
        head_bytes = buffer.memory_bytes
        buffer.add_body(b"x" * 1_000, LIMITS)
        self.assertEqual(head_bytes + BODY_COPIES * 1_000, buffer.memory_bytes)
