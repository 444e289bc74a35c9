"""Tests of the order in which waiting requests get their places."""

import unittest

from endivesill.forwarding.fair_queue import FairQueue, Flow

FIRST = Flow("large", False)
OTHER = Flow("small", False)
BACK = Flow("large", True)


class FairQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = FairQueue()

    def push(self, flow, value, cost=1.0, priority=1):
        return self.queue.push(priority, flow, cost, value)

    def taken(self, count=None):
        count = len(self.queue) if count is None else count
        return [self.queue.pop() for _ in range(count)]

    def test_the_more_urgent_goes_first(self):
        self.push(FIRST, "plan")
        self.push(FIRST, "check", cost=9.0, priority=0)
        self.assertEqual(["check", "plan"], self.taken())

    def test_an_organisation_that_sends_much_does_not_delay_another(self):
        for number in range(20):
            self.push(FIRST, f"l{number}")
        self.push(OTHER, "s0")
        self.push(OTHER, "s1")
        self.assertEqual(["l0", "s0", "l1", "s1"], self.taken(4))

    def test_who_comes_back_shares_with_who_comes_first(self):
        for number in range(4):
            self.push(FIRST, f"first{number}")
        for number in range(4):
            self.push(BACK, f"back{number}")
        self.assertEqual(["back0", "first0", "back1", "first1"], self.taken(4))

    def test_what_takes_less_engine_time_goes_before(self):
        self.push(FIRST, "long", cost=1.5)
        self.push(OTHER, "short", cost=0.2)
        self.assertEqual(["short", "long"], self.taken())

    def test_a_long_one_does_not_wait_for_ever(self):
        self.push(FIRST, "long", cost=1.5)
        order = []
        for number in range(40):
            self.push(Flow(f"o{number}", False), f"s{number}", cost=0.2)
            order += self.taken(1)
            if order[-1] == "long":
                break
        # Its turn comes once the others have had the time that it takes.
        self.assertEqual("long", order[-1])
        self.assertLessEqual(len(order), 9)

    def test_a_flow_that_was_idle_has_saved_nothing(self):
        for number in range(6):
            self.push(FIRST, f"l{number}")
        self.taken(4)
        for number in range(4):
            self.push(OTHER, f"s{number}")
        self.assertEqual(["l4", "s0", "l5", "s1"], self.taken(4))

    def test_past_shares_are_forgotten_when_nobody_waits(self):
        for number in range(9):
            self.push(FIRST, f"l{number}")
        self.taken()
        self.push(FIRST, "l9")
        self.push(OTHER, "s0")
        self.assertEqual(["l9", "s0"], self.taken())

    def test_how_many_go_before(self):
        self.push(FIRST, "a")
        self.push(FIRST, "b")
        order = self.queue.sort_key_of(1, OTHER, 1.0)
        self.assertEqual(1, self.queue.count_ahead(order))
        self.assertEqual(
            0, self.queue.count_ahead(self.queue.sort_key_of(0, OTHER, 1.0))
        )

    def test_a_request_that_leaves_frees_the_way(self):
        first = self.push(FIRST, "a")
        self.push(FIRST, "b")
        self.queue.remove(first)
        self.queue.remove(first)
        self.assertEqual(["b"], self.taken())
