"""Tests of the splitter of server-sent events."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivesill.forwarding.event_stream import (
    MAX_EVENT_BYTES,
    EventSequence,
    EventSplitter,
)
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
    @given(st.lists(st.integers(0, 2 * len(STREAM))), st.booleans())
    def test_splitting_does_not_depend_on_chunk_boundaries(self, cuts, has_cr):
        stream = STREAM.replace(b"\n", b"\r\n") if has_cr else STREAM
        offsets = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
        splitter = EventSplitter()
        found = []
        for start, end in itertools.pairwise(offsets):
            found += splitter.feed(stream[start:end])
        self.assertEqual(stream, b"".join(event.data for event in found))
        self.assertEqual([1, 2, None, 3], [event.event_id for event in found])
        self.assertEqual(b"", splitter.remainder)

    def test_an_id_of_any_length(self):
        (event,) = EventSplitter().feed(b"id: " + b"9" * 5_000 + b"\n\n")
        self.assertIsNotNone(event.event_id)


class EventSequenceTest(unittest.TestCase):
    def take(self, sequence, *ids):
        """Return the ids of those events that are passed on."""
        stream = b"".join(b"id: %d\n\n" % event_id for event_id in ids)
        found = sequence.take_new(EventSplitter().feed(stream))
        return [event.event_id for event in found]

    def test_events_that_the_caller_has_are_dropped(self):
        sequence = EventSequence(10)
        self.assertEqual([11, 12], self.take(sequence, 9, 10, 11, 12))
        sequence.begin_run()
        self.assertEqual([13], self.take(sequence, 11, 12, 13))

    def test_ids_that_grow_by_more_than_one(self):
        sequence = EventSequence(None)
        self.assertEqual([4, 8, 9], self.take(sequence, 4, 8, 9))
        sequence.begin_run()
        self.assertEqual([13], self.take(sequence, 8, 9, 13))

    def test_a_resumed_run_that_lacks_an_event(self):
        sequence = EventSequence(None)
        self.take(sequence, 1, 2, 3)
        sequence.begin_run()
        with self.assertRaises(UpstreamError):
            self.take(sequence, 5)

    def test_a_first_run_may_begin_anywhere(self):
        self.assertEqual([7, 8], self.take(EventSequence(3), 7, 8))
