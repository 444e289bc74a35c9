"""Tests of request traces assembled from log lines."""

import json
import unittest

from endivesill.explain import explain, format_json, format_text


def line(time_s, name, **fields):
    document = {"timestamp": time_s, "event": 1, "message_type": name, **fields}
    return json.dumps({**document, "task_uuid": "u", "task_level": [1]})


FIRST_ENTRY_LINES = [
    line(10.0, "request-received", request_id="r", organisation="farriers"),
    line(
        10.1,
        "route-chosen",
        request_id="r",
        target="e1",
        rejected={"cold": 2, "limit": 1},
    ),
    line(10.2, "generation-started", request_id="r", generation_id="g", target="e1"),
    line(11.0, "request-received", request_id="other"),
    "not a log line",
    line(12.0, "stream-broken", request_id="r", generation_id="g", error="gone"),
    line(12.1, "request-ended", request_id="r", status=200),
]
SECOND_ENTRY_LINES = [
    line(13.0, "stream-reconnected", request_id="s", generation_id="g", target="e1")
]


class ExplainTest(unittest.TestCase):
    def test_a_trace_has_the_events_of_all_entries(self):
        trace = explain(SECOND_ENTRY_LINES + FIRST_ENTRY_LINES, "r")
        self.assertEqual("farriers", trace.organisation)
        self.assertEqual(
            (("e1",), "stream-broken: gone"), (trace.targets, trace.ending)
        )
        self.assertEqual("stream-reconnected", trace.steps[-1].name)
        self.assertEqual(6, len(trace.steps))

    def test_the_text_counts_rejected_targets_by_reason(self):
        text = format_text(explain(FIRST_ENTRY_LINES, "r"))
        self.assertIn("chosen       e1\n  rejected 2: cold\n", text)
        self.assertIn("+2.000 s  stream-broken        generation_id=g error=gone", text)

    def test_the_json_form_can_be_serialised(self):
        document = json.loads(json.dumps(format_json(explain(FIRST_ENTRY_LINES, "r"))))
        self.assertEqual("r", document["request_id"])

    def test_an_unknown_request_has_no_trace(self):
        self.assertIsNone(explain(FIRST_ENTRY_LINES, "nobody"))
