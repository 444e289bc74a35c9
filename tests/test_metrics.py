"""Tests of the text format of metrics."""

import unittest

from endivesill.metrics import Metrics


class TextTest(unittest.TestCase):
    def test_large_counters_are_exported_with_all_digits(self):
        metrics = Metrics()
        metrics.counter("requests", kind="a").add(12_345_678)
        metrics.counter("seconds").add(1_234_567.25)
        lines = metrics.text().splitlines()
        self.assertIn('endivesill_requests_total{kind="a"} 12345678', lines)
        self.assertIn("endivesill_seconds_total 1234567.25", lines)
