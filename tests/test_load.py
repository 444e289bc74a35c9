"""Tests of the load generator."""

import unittest

from endivesill import errors
from endivesill.load import LoadRunner, RequestRecord, parse_experiment, summarize
from endivesill.timer import ManualTimer

EXPERIMENT = """
[load]
addresses = 127.0.0.1:1 127.0.0.1:2
rate_per_s = 50
duration_s = 10
seed = 7
[organisation small]
key = k1
[organisation large]
key = k2
share = 9
[stream plans]
model = llm
length = pareto
"""


class ExperimentTest(unittest.TestCase):
    def test_every_finding_is_reported_with_its_line(self):
        text = "[load]\nrate_per_s = fast\n[stream s]\nlength = odd\n[what]\n"
        with self.assertRaises(errors.FindingsError) as caught:
            parse_experiment(text, "x.ini")
        locations = [
            (finding.line, finding.text) for finding in caught.exception.findings
        ]
        self.assertEqual([1, 2, 4, 5], [line for line, _ in locations])

    def test_the_same_seed_gives_the_same_arrivals(self):
        experiment = parse_experiment(EXPERIMENT, "x.ini")
        first = LoadRunner(experiment, ManualTimer()).arrivals()
        second = LoadRunner(experiment, ManualTimer()).arrivals()
        self.assertEqual(first, second)
        self.assertAlmostEqual(500, len(first), delta=100)
        large = sum(a.organisation.name == "large" for a in first)
        self.assertGreater(large, 0.8 * len(first))


class SummaryTest(unittest.TestCase):
    def test_latency_counts_from_the_scheduled_time(self):
        record = RequestRecord(0, "s", "o", scheduled_s=1.0, first_s=3.0, end_s=5.0)
        record.complete = True
        record.tokens = 10
        record.gaps_s = [0.5, 1.5]
        summary = summarize([record], 10.0, stall_threshold_s=1.0)
        self.assertAlmostEqual(2000, summary.first_ms["p50"], delta=2)
        self.assertAlmostEqual(0.5, summary.stall_s)
        self.assertEqual(1.0, summary.goodput_tokens_per_s)

    def test_refused_requests_are_not_counted_as_broken(self):
        refused = RequestRecord(0, "s", "o", status=503, reason="full", run="not-run")
        broken = RequestRecord(1, "s", "o", status=200, reason="ClientPayloadError")
        summary = summarize([refused, broken], 1.0, 1.0)
        self.assertEqual({"full (not-run)": 1}, summary.refused)
        self.assertEqual({"ClientPayloadError": 1}, summary.broken)

    def test_a_duplicated_token_counts_as_disorder(self):
        record = RequestRecord(0, "s", "o")
        for event in (b"id: g:0\ndata: {}", b"id: g:0\ndata: {}"):
            LoadRunner._record_event(event, record)
        self.assertEqual(1, record.disorder)
