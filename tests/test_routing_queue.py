"""Tests of the queues of waiting requests."""

import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from endivesill.routing.queue import AGING_S_PER_LEVEL, FairQueue, FifoQueue, Waiter
from tests.routing_fakes import make_organisation, make_request

MAXIMUM_DELAY_FACTOR = 2.0


def make_waiter(organisation="o", cost=100.0, priority=1, now_s=0.0, weight=1.0):
    request = make_request(priority=priority)
    request = type(request)(
        "r",
        request.service,
        make_organisation(organisation, weight),
        priority=priority,
    )
    return Waiter(request, cost, now_s, None)


def drain(queue, now_s=0.0):
    served = []
    while len(queue):
        head = queue.heads(now_s)[0]
        queue.served(head, now_s)
        served.append(head)
    return served


def names(waiters):
    return [waiter.request.organisation.name for waiter in waiters]


class FairQueueTest(unittest.TestCase):
    def test_large_organisation_delays_a_small_one_by_a_bounded_factor(self):
        queue = FairQueue()
        for _ in range(100):
            queue.push(make_waiter("large"), 1000)
        for _ in range(5):
            queue.push(make_waiter("small"), 1000)
        order = names(drain(queue))
        last_small = len(order) - order[::-1].index("small")
        self.assertLessEqual(last_small, MAXIMUM_DELAY_FACTOR * 5 + 1)

    def test_weights_give_shares_by_token_cost(self):
        queue = FairQueue()
        for _ in range(60):
            queue.push(make_waiter("light", weight=1.0), 1000)
            queue.push(make_waiter("heavy", cost=200.0, weight=4.0), 1000)
        order = names(drain(queue))[:30]
        self.assertAlmostEqual(20, order.count("heavy"), delta=1)

    def test_higher_priority_is_served_first(self):
        queue = FairQueue()
        queue.push(make_waiter("plans", cost=5000.0, priority=1), 10)
        queue.push(make_waiter("checks", cost=50.0, priority=0), 10)
        self.assertEqual(["checks", "plans"], names(drain(queue)))

    def test_aging_prevents_starvation_of_lower_priorities(self):
        queue = FairQueue()
        queue.push(make_waiter("plans", priority=1, now_s=0.0), 10)
        queue.push(make_waiter("checks", priority=0, now_s=2 * AGING_S_PER_LEVEL), 10)
        heads = queue.heads(2 * AGING_S_PER_LEVEL)
        self.assertEqual(["plans", "checks"], names(heads))

    def test_full_queue_rejects_a_waiter_of_the_largest_organisation(self):
        queue = FairQueue()
        for _ in range(10):
            queue.push(make_waiter("large"), 10)
        victim = queue.push(make_waiter("small"), 10)
        self.assertEqual("large", victim.request.organisation.name)
        self.assertEqual(10, len(queue))

    def test_full_queue_rejects_an_arrival_of_the_largest_organisation(self):
        queue = FairQueue()
        for _ in range(10):
            queue.push(make_waiter("large"), 10)
        late = make_waiter("large", now_s=1.0)
        self.assertIs(late, queue.push(late, 10))

    def test_estimate_follows_backlog_and_throughput(self):
        queue = FairQueue()
        for _ in range(50):
            queue.push(make_waiter("large"), 100)
        now_s = 0.0
        for _ in range(30):
            now_s += 0.1
            queue.served(queue.heads(now_s)[0], now_s)
        large = queue.wait_s(make_waiter("large"), now_s)
        small = queue.wait_s(make_waiter("small"), now_s)
        self.assertAlmostEqual(2.0, large, delta=0.4)
        self.assertAlmostEqual(0.1, small, delta=0.05)

    def test_waiters_that_miss_their_deadline_do_not_delay_others(self):
        queue = FairQueue()
        for _ in range(40):
            queue.push(make_waiter(), 100)
        for step in range(1, 31):
            queue.served(queue.heads(0.1 * step)[0], 0.1 * step)
        late, *rest = sorted(queue, key=lambda w: (w.start_tag, w.sequence_number))
        late.request = attrs.evolve(late.request, deadline_s=0.0)
        waits = {id(waiter): wait_s for waiter, wait_s in queue.estimates(3.0)}
        self.assertEqual(0.0, waits[id(rest[0])])
        self.assertAlmostEqual(0.1, waits[id(rest[1])], delta=0.02)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("push", "push", "serve", "remove")),
                st.integers(0, 4),
                st.integers(0, 2),
                st.integers(1, 500),
            ),
            max_size=120,
        )
    )
    def test_every_waiter_is_served_or_removed_exactly_once(self, steps):
        queue = FairQueue()
        waiting = []
        for number, (action, organisation, priority, cost) in enumerate(steps):
            now_s = 0.1 * number
            if action == "push":
                waiter = make_waiter(f"o{organisation}", cost, priority, now_s)
                victim = queue.push(waiter, 20)
                waiting.append(waiter)
                if victim:
                    waiting.remove(victim)
            elif waiting and action == "serve":
                head = queue.heads(now_s)[0]
                queue.served(head, now_s)
                waiting.remove(head)
            elif waiting:
                queue.remove(waiting.pop(organisation % len(waiting)))
            self.assertEqual(len(waiting), len(queue))
        self.assertCountEqual(map(id, waiting), map(id, drain(queue, 100.0)))

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.integers(1, 400), min_size=30, max_size=60))
    def test_backlogged_organisations_get_equal_token_shares(self, costs):
        queue = FairQueue()
        for index, cost in enumerate(costs):
            queue.push(make_waiter(f"o{index % 2}", float(cost)), 1000)
        got = {"o0": 0.0, "o1": 0.0}
        left = {"o0": (len(costs) + 1) // 2, "o1": len(costs) // 2}
        while all(left.values()):
            head = queue.heads(0.0)[0]
            queue.served(head, 0.0)
            name = head.request.organisation.name
            got[name] += head.cost_tokens
            left[name] -= 1
            self.assertLessEqual(abs(got["o0"] - got["o1"]), 2 * 400)


class FifoQueueTest(unittest.TestCase):
    def test_serves_in_order_and_refuses_when_full(self):
        queue = FifoQueue()
        waiters = [make_waiter(str(n)) for n in range(3)]
        refused = [queue.push(waiter, 2) for waiter in waiters]
        self.assertEqual([None, None, waiters[2]], refused)
        self.assertEqual(["0", "1"], names(drain(queue)))
