"""Tests of length estimates, adaptive limits and slow start."""

import random
import unittest

from endivesill.routing.lengths import LengthEstimator, LengthHistogram
from endivesill.routing.limits import DecodeLimit, MemoryLimit, PrefillLimit
from endivesill.routing.slow_start import SlowdownDetector, SlowStart
from tests.routing_fakes import make_service

SERVICE = make_service(prior_output_tokens=300)


class LengthEstimatorTest(unittest.TestCase):
    def test_initial_estimate_is_the_prior_of_the_service(self):
        mean = LengthEstimator().mean_remaining(SERVICE, "o")
        self.assertAlmostEqual(300, mean, delta=80)

    def test_learns_the_mean(self):
        source = random.Random(3)
        estimator = LengthEstimator()
        for _ in range(3000):
            estimator.record(SERVICE, "o", int(source.expovariate(1 / 1000)) + 1)
        self.assertAlmostEqual(1000, estimator.mean_remaining(SERVICE, "o"), delta=200)

    def test_remaining_length_of_a_heavy_tail_grows_with_the_output(self):
        source = random.Random(4)
        estimator = LengthEstimator()
        for _ in range(3000):
            estimator.record(SERVICE, "o", int(100 * source.paretovariate(1.5)))
        early = estimator.mean_remaining(SERVICE, "o", 100)
        late = estimator.mean_remaining(SERVICE, "o", 1000)
        self.assertGreater(late, 2 * early)

    def test_output_longer_than_all_samples_has_remaining_length(self):
        estimator = LengthEstimator()
        for _ in range(2000):
            estimator.record(SERVICE, "o", 10)
        self.assertGreater(estimator.mean_remaining(SERVICE, "o", 50_000), 0)

    def test_organisations_have_separate_estimates(self):
        estimator = LengthEstimator()
        for _ in range(400):
            estimator.record(SERVICE, "short", 10)
            estimator.record(SERVICE, "long", 2000)
        short = estimator.mean_remaining(SERVICE, "short")
        long = estimator.mean_remaining(SERVICE, "long")
        fresh = estimator.mean_remaining(SERVICE, "fresh")
        self.assertLess(short, fresh)
        self.assertLess(fresh, long)

    def test_old_lengths_decay(self):
        histogram = LengthHistogram()
        for _ in range(2000):
            histogram.add(4000)
        for _ in range(2000):
            histogram.add(10)
        self.assertLess(histogram.quantile(0.9), 20)

    def test_quantile_is_conditional_on_the_output_so_far(self):
        histogram = LengthHistogram()
        for length in (10, 10, 10, 1000):
            histogram.add(length)
        self.assertLess(histogram.quantile(0.5), 20)
        self.assertGreater(histogram.quantile(0.5, produced=100), 500)

    def test_least_recently_used_organisation_is_evicted(self):
        estimator = LengthEstimator(maximum_organisations=2)
        for name in ("a", "b", "a", "c"):
            estimator.record(SERVICE, name, 10)
        names = [name for _, name in estimator._organisations]
        self.assertEqual(["a", "c"], names)


class LimitsTest(unittest.TestCase):
    def test_decode_limit_shrinks_fast_and_grows_slowly(self):
        limit = DecodeLimit(64)
        limit.observe(90.0, 71.0, running=40)
        self.assertEqual(36, limit.slots)
        limit.observe(30.0, 71.0, running=36)
        self.assertEqual(37, limit.slots)

    def test_decode_limit_never_leaves_its_bounds(self):
        limit = DecodeLimit(8)
        for _ in range(100):
            limit.observe(500.0, 71.0, running=8)
        self.assertEqual(1, limit.slots)
        for _ in range(100):
            limit.observe(10.0, 71.0, running=1)
        self.assertEqual(8, limit.slots)

    def test_preemptions_lower_the_overcommit_and_waiting_requests_raise_it(self):
        limit = MemoryLimit()
        limit.observe(0, is_limiting=False)
        limit.observe(3, is_limiting=True)
        self.assertLess(limit.overcommit, 1.0)
        lowered = limit.overcommit
        limit.observe(3, is_limiting=False)
        self.assertEqual(lowered, limit.overcommit)
        limit.observe(3, is_limiting=True)
        self.assertGreater(limit.overcommit, lowered)

    def test_preemptions_of_an_earlier_boot_do_not_count(self):
        limit = MemoryLimit()
        limit.observe(50, is_limiting=False)
        limit.observe(2, is_limiting=False)
        self.assertEqual(1.0, limit.overcommit)

    def test_prefill_limit_follows_the_tail_of_the_gaps(self):
        limit = PrefillLimit()
        before = limit.tokens
        limit.observe(150.0, 71.0)
        self.assertLess(limit.tokens, before)
        for _ in range(1000):
            limit.observe(20.0, 71.0)
        raised = limit.tokens
        limit.observe(20.0, 71.0)
        self.assertEqual(raised, limit.tokens)


class SlowStartTest(unittest.TestCase):
    def test_allowance_doubles_with_timely_responses_up_to_the_maximum(self):
        start = SlowStart(2, 10)
        seen = [start.slots]
        for _ in range(4):
            start.add_completed(start.slots, 100.0, 880.0)
            seen.append(start.slots)
        self.assertEqual([2, 4, 8, 10, 10], seen)

    def test_late_first_tokens_do_not_raise_the_allowance(self):
        start = SlowStart(2, 10)
        start.add_completed(50, 5000.0, 880.0)
        self.assertEqual(2, start.slots)

    def test_reboot_resets_and_the_first_report_does_not(self):
        start = SlowStart(2, 10)
        start.raise_to(10)
        self.assertFalse(start.observe_boot("a"))
        self.assertEqual(10, start.slots)
        self.assertTrue(start.observe_boot("b"))
        self.assertEqual(2, start.slots)

    def test_slowdown_needs_consecutive_slow_samples(self):
        detector = SlowdownDetector()
        for _ in range(50):
            self.assertFalse(detector.observe(20.0, 71.0))
        self.assertFalse(detector.observe(900.0, 71.0))
        self.assertFalse(detector.observe(20.0, 71.0))
        found = [detector.observe(900.0, 71.0) for _ in range(3)]
        self.assertEqual([False, False, True], found)
