"""Tests of the fair queue."""

import unittest

from endivesill.forwarding.fair_queue import FairQueue, Flow

LARGE = Flow("large", False)
SMALL = Flow("small", False)
LARGE_REFUSED = Flow("large", True)


class FairQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = FairQueue()

    def push(self, flow, value, cost=1.0, priority=1):
        return self.queue.push(priority, flow, cost, value)

    def pop_values(self, count=None):
        count = len(self.queue) if count is None else count
        return [self.queue.pop() for _ in range(count)]

    def test_higher_priority_is_served_first(self):
        self.push(LARGE, "plan")
        self.push(LARGE, "check", cost=9.0, priority=0)
        self.assertEqual(["check", "plan"], self.pop_values())

    def test_a_heavy_organisation_does_not_delay_another(self):
        for number in range(20):
            self.push(LARGE, f"l{number}")
        self.push(SMALL, "s0")
        self.push(SMALL, "s1")
        self.assertEqual(["l0", "s0", "l1", "s1"], self.pop_values(4))

    def test_retries_and_first_attempts_get_equal_shares(self):
        for number in range(4):
            self.push(LARGE, f"first{number}")
        for number in range(4):
            self.push(LARGE_REFUSED, f"back{number}")
        self.assertEqual(["back0", "first0", "back1", "first1"], self.pop_values(4))

    def test_lower_cost_is_served_first(self):
        self.push(LARGE, "long", cost=1.5)
        self.push(SMALL, "short", cost=0.2)
        self.assertEqual(["short", "long"], self.pop_values())

    def test_a_costly_request_does_not_starve(self):
        self.push(LARGE, "long", cost=1.5)
        order = []
        for number in range(40):
            self.push(Flow(f"o{number}", False), f"s{number}", cost=0.2)
            order += self.pop_values(1)
            if order[-1] == "long":
                break
        # It is served once the other flows have used as much engine time.
        self.assertEqual("long", order[-1])
        self.assertLessEqual(len(order), 9)

    def test_an_idle_flow_accumulates_no_credit(self):
        for number in range(6):
            self.push(LARGE, f"l{number}")
        self.pop_values(4)
        for number in range(4):
            self.push(SMALL, f"s{number}")
        self.assertEqual(["l4", "s0", "l5", "s1"], self.pop_values(4))

    def test_an_empty_queue_resets_the_finish_tags(self):
        for number in range(9):
            self.push(LARGE, f"l{number}")
        self.pop_values()
        self.push(LARGE, "l9")
        self.push(SMALL, "s0")
        self.assertEqual(["l9", "s0"], self.pop_values())

    def test_count_of_requests_ahead(self):
        self.push(LARGE, "a")
        self.push(LARGE, "b")
        order = self.queue.sort_key_of(1, SMALL, 1.0)
        self.assertEqual(1, self.queue.count_ahead(order))
        self.assertEqual(
            0, self.queue.count_ahead(self.queue.sort_key_of(0, SMALL, 1.0))
        )

    def test_a_removed_request_is_not_served(self):
        first = self.push(LARGE, "a")
        self.push(LARGE, "b")
        self.queue.remove(first)
        self.queue.remove(first)
        self.assertEqual(["b"], self.pop_values())
