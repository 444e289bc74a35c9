"""Tests of engine list pages, reports, and request and response heads."""

import json
import math
import unittest

from endivesill import errors
from endivesill.forwarding.placement import estimate_demand
from endivesill.forwarding.protocol import Dispatch
from endivesill.http1 import ResponseHead
from endivesill.http1.numbers import LARGEST_INTEGER
from endivesill.platform.engines import PlatformProtocol, decode_list_page
from endivesill.platform.reports import decode_report
from tests.forwarding_fakes import MODEL

ENTRY = {
    "id": "i-1",
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "born": 1700,
}


class EngineListPageTest(unittest.TestCase):
    def page(self, *entries, **fields):
        document = {"instances": list(entries), "next": None, **fields}
        return decode_list_page(json.dumps(document).encode())

    def test_an_entry_is_decoded(self):
        page = self.page(ENTRY, next="p-50")
        (engine,) = page.engines
        self.assertEqual("i-1@1700", engine.incarnation)
        self.assertEqual((1.5, False), (engine.cold_s, engine.is_draining))
        self.assertEqual("p-50", page.next_token)

    def test_a_restarted_engine_has_another_incarnation(self):
        page = self.page(ENTRY, {**ENTRY, "born": 1800})
        self.assertEqual(2, len({engine.incarnation for engine in page.engines}))

    def test_invalid_entries_are_skipped(self):
        invalid = [
            7,
            None,
            {},
            {**ENTRY, "state": "odd"},
            {**ENTRY, "address": "nowhere"},
            {**ENTRY, "slots": "24"},
            {**ENTRY, "id": 1},
            {**ENTRY, "born": None},
            {**ENTRY, "born": -1},
        ]
        page = self.page(*invalid, ENTRY)
        self.assertEqual(["i-1"], [engine.identity for engine in page.engines])
        self.assertEqual(len(invalid), len(page.skipped))

    def test_a_list_without_starts(self):
        entry = {name: value for name, value in ENTRY.items() if name != "born"}
        (engine,) = self.page(entry).engines
        self.assertEqual("i-1@0", engine.incarnation)

    def test_an_invalid_page_is_rejected(self):
        for body in (b"", b"[", b"[]", b"7", b"{}", b'{"instances": {}}'):
            with self.assertRaises(errors.DocumentError):
                decode_list_page(body)


class ReportTest(unittest.TestCase):
    def test_a_report_is_decoded(self):
        body = b'{"kv_used": 41000, "queued_requests": 1, "state": "draining"}'
        report = decode_report(body, 5.0)
        self.assertEqual(
            (41_000, 1, True, False),
            (
                report.used_tokens,
                report.queued_requests,
                report.is_leaving,
                report.has_notice,
            ),
        )

    def test_notice_is_a_known_time_of_departure(self):
        body = b'{"kv_used": 1, "queued_requests": 0, "state": "draining"%s}'
        self.assertFalse(decode_report(body % b"", 5.0).has_notice)
        self.assertTrue(decode_report(body % b', "leaves_ms": 900', 5.0).has_notice)

    def test_an_invalid_report_is_rejected(self):
        for body in (b"", b"{}", b"[]"):
            with self.assertRaises(errors.DocumentError):
                decode_report(body, 0.0)


class CopyNameTest(unittest.TestCase):
    """Guards against the name of a copy that adds lines to a later request."""

    def decode(self, name):
        return PlatformProtocol().decode_copy_name(
            json.dumps({"handle": name}).encode()
        )

    def test_a_name_is_decoded(self):
        self.assertEqual("h-1/2", self.decode("h-1/2"))

    def test_names_that_cannot_be_sent_on(self):
        for name in ("", "h\r\nX-Other: 1", "h 1", "h\x00", "h" * 300, "\ud800", 7):
            self.assertEqual("", self.decode(name))


class AnnouncementTest(unittest.TestCase):
    def decode(self, status, *headers):
        return PlatformProtocol().decode_response(ResponseHead(status, headers, True))

    def test_a_departure_is_decoded_from_any_response(self):
        for status in (200, 404, 503):
            self.assertTrue(
                self.decode(status, (b"server-leaving", b"1")).is_leaving, status
            )
        self.assertFalse(self.decode(200, (b"Server-Leaving", b"0")).is_leaving)
        self.assertFalse(self.decode(200).is_leaving)

    def test_a_pause_is_decoded_from_a_503(self):
        for value, pause_s in ((b"2", 2.0), (b"0.25", 0.25), (b"-1", -1.0)):
            self.assertEqual(pause_s, self.decode(503, (b"Retry-After", value)).pause_s)
        self.assertIsNone(self.decode(503).pause_s)
        self.assertIsNone(self.decode(200, (b"Retry-After", b"2")).pause_s)

    def test_a_pause_that_is_no_number_of_seconds_is_marked(self):
        date = b"Fri, 04 Dec 2026 10:00:00 GMT"
        for value in (date, b"soon", b"1e9", b"inf", b"9" * 400, b"\xff"):
            pause_s = self.decode(503, (b"Retry-After", value)).pause_s
            self.assertTrue(math.isnan(pause_s), value)


class RequestTest(unittest.TestCase):
    def setUp(self):
        self.protocol = PlatformProtocol()

    def test_routing_properties_are_decoded(self):
        info = self.protocol.decode_request(
            [
                (b"x-endivesill-request-attempt-id", b"a1"),
                (b"X-Endivesill-Deadline-Remaining", b"1500"),
                (b"X-Endivesill-Token-Counts", b"1460, 80"),
                (b"X-Endivesill-Length-Hint", b"60"),
                (b"X-Endivesill-Prompt-Prefix", b"5c:800, 91:410"),
            ]
        )
        self.assertEqual(("a1", 1.5), (info.attempt_id, info.remaining_s))
        self.assertEqual(
            (1_460, 80, 60),
            (
                info.prompt_tokens,
                info.maximum_output_tokens,
                info.expected_output_tokens,
            ),
        )
        self.assertEqual((("5c", 800), ("91", 410)), info.prefix)
        self.assertEqual("91", info.session)

    def test_invalid_values_count_as_absent(self):
        info = self.protocol.decode_request(
            [
                (b"X-Endivesill-Deadline-Remaining", b"soon"),
                (b"X-Endivesill-Token-Counts", b"-1,x"),
                (b"X-Endivesill-Prompt-Prefix", b"5c:800,91"),
            ]
        )
        self.assertIsNone(info.remaining_s)
        self.assertEqual(0, info.prompt_tokens)
        self.assertEqual((("5c", 800),), info.prefix)

    def test_numbers_of_any_length(self):
        """Guards against requests that end with an error for a long number."""
        for digits in (b"9" * 400, b"9" * 5_000, b"0" * 5_000 + b"9" * 16):
            info = self.protocol.decode_request(
                [
                    (b"X-Endivesill-Deadline-Remaining", digits),
                    (b"X-Endivesill-Token-Counts", digits + b"," + digits),
                    (b"X-Endivesill-Length-Hint", digits),
                    (b"X-Endivesill-Prompt-Prefix", b"5c:" + digits),
                ]
            )
            self.assertEqual(LARGEST_INTEGER / 1_000, info.remaining_s)
            self.assertEqual((("5c", LARGEST_INTEGER),), info.prefix)
            tokens = estimate_demand(info, MODEL).memory_tokens
            self.assertTrue(LARGEST_INTEGER < tokens < 2**53)

    def test_leading_zeros(self):
        header = (b"X-Endivesill-Deadline-Remaining", b"0" * 40 + b"1500")
        self.assertEqual(1.5, self.protocol.decode_request([header]).remaining_s)

    def test_a_repeated_key_header_counts_as_no_key(self):
        info = self.protocol.decode_request([(b"Api-Key", b"a"), (b"Api-Key", b"b")])
        self.assertIsNone(info.key)

    def test_a_resumed_run_has_one_last_event_id(self):
        dispatch = Dispatch("i-1", 1.0, resume_from="10.0.0.1:1/a1", last_event_id="3")
        head = self.protocol.encode_request(
            "POST", b"/x", [(b"Last-Event-Id", b"99")], dispatch
        )
        self.assertEqual(1, head.lower().count(b"last-event-id"))
        self.assertIn(b"Last-Event-Id: 3\r\n", head)


class ResponseTest(unittest.TestCase):
    def decode(self, status, *headers):
        head = ResponseHead(status, list(headers), True)
        return PlatformProtocol().decode_response(head)

    def test_only_the_engine_reports_that_a_request_was_not_run(self):
        self.assertFalse(self.decode(503).not_run)
        self.assertFalse(self.decode(500).not_run)
        self.assertTrue(self.decode(421).not_run)
        not_executed = (b"X-Endivesill-Not-Executed", b"1")
        self.assertTrue(self.decode(503, not_executed).not_run)
