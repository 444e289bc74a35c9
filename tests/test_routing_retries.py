"""Tests of retry budgets and backoff."""

import random
import unittest

from endivesill.routing.retries import (
    INITIAL_BUDGET,
    MAXIMUM_BACKOFF_S,
    RETRY_RATIO,
    Backoff,
    RetryBudgets,
)


class RetryBudgetsTest(unittest.TestCase):
    def test_retries_stay_a_bounded_fraction_of_the_requests(self):
        budgets = RetryBudgets()
        source = random.Random(7)
        sent = retried = 0
        for number in range(10_000):
            # Everything fails from the middle on.
            failing = number > 5000 or source.random() < 0.01
            sent += 1
            while failing and budgets.take("plan-llm", "o"):
                retried += 1
            if not failing:
                budgets.succeeded("plan-llm", "o")
        self.assertLess(retried, RETRY_RATIO * sent)

    def test_new_organisation_has_the_initial_budget(self):
        budgets = RetryBudgets()
        taken = [budgets.take("plan-llm", "o") for _ in range(10)]
        self.assertEqual(int(INITIAL_BUDGET), sum(taken))

    def test_budgets_of_organisations_are_independent(self):
        budgets = RetryBudgets()
        while budgets.take("plan-llm", "noisy"):
            pass
        self.assertTrue(budgets.take("plan-llm", "quiet"))


class BackoffTest(unittest.TestCase):
    def test_delays_grow_up_to_the_limit_and_differ(self):
        backoff = Backoff(random.Random(1))
        early = [backoff.delay_s(1) for _ in range(200)]
        late = [backoff.delay_s(30) for _ in range(200)]
        self.assertLessEqual(max(early), 0.1)
        self.assertLessEqual(max(late), MAXIMUM_BACKOFF_S)
        self.assertGreater(max(late), 0.9 * MAXIMUM_BACKOFF_S)
        self.assertGreater(len(set(late)), 100)
