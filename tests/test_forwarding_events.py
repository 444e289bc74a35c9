"""Tests of the splitter of server-sent events."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivesill.forwarding.event_stream import MAX_EVENT_BYTES, EventSplitter
from endivesill.http1 import UpstreamError

STREAM = b"id: 1\ndata: a\n\nversions: 2\nid: 2\ndata: b\n\ndata: no id\n\nid: 3\n\n"


class EventSplitterTest(unittest.TestCase):
    def test_event_ids_are_parsed(self):
        found = EventSplitter().feed(STREAM)
        self.assertEqual([1, 2, None, 3], [event.event_id for event in found])

    def test_an_incomplete_event_is_buffered(self):
        splitter = EventSplitter()
        self.assertEqual(1, len(splitter.feed(b"id: 1\n\nid: 2\nda")))
        self.assertEqual(b"id: 2\nda", splitter.remainder)
        self.assertEqual([2], [e.event_id for e in splitter.feed(b"ta: x\n\n")])
        self.assertEqual(b"", splitter.remainder)

    def test_an_event_without_end_is_an_error(self):
        splitter = EventSplitter()
        with self.assertRaises(UpstreamError):
            for _ in range(1_000):
                splitter.feed(b"data: " + b"a" * 65_536)
        self.assertLess(len(splitter.remainder), 2 * MAX_EVENT_BYTES)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, len(STREAM))))
    def test_splitting_does_not_depend_on_chunk_boundaries(self, cuts):
        offsets = [0, *sorted(cuts), len(STREAM)]
        splitter = EventSplitter()
        found = []
        for start, end in itertools.pairwise(offsets):
            found += splitter.feed(STREAM[start:end])
        self.assertEqual(STREAM, b"".join(event.data for event in found))
        self.assertEqual([1, 2, None, 3], [event.event_id for event in found])
