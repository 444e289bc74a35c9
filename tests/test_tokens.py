"""Tests of the token scanner."""

import unittest

from endivesill import errors
from endivesill.targets import TokenScanner


def event(index, generation="g"):
    return b"id: %s:%d\ndata: {}\n\n" % (generation.encode(), index)


class TokenScannerTest(unittest.TestCase):
    def test_every_split_of_a_stream_gives_the_same_tokens(self):
        stream = b"".join(event(index) for index in range(12)) + b"data: [DONE]\n\n"
        for size in range(1, len(stream)):
            scanner = TokenScanner("g")
            blocks = [
                scanner.scan(stream[start : start + size])
                for start in range(0, len(stream), size)
            ]
            self.assertEqual(
                stream[: -len(b"data: [DONE]\n\n")],
                b"".join(block.data for block in blocks),
            )
            self.assertEqual(12, sum(block.tokens for block in blocks))
            self.assertTrue(scanner.done)

    def test_a_gap_is_an_error(self):
        with self.assertRaises(errors.TargetError):
            TokenScanner("g").scan(event(0) + event(2))

    def test_another_generation_is_an_error(self):
        with self.assertRaises(errors.TargetError):
            TokenScanner("g").scan(event(0) + event(1, "h"))

    def test_tokens_repeated_after_a_resume_are_dropped(self):
        scanner = TokenScanner("g")
        scanner.scan(event(0) + event(1))
        block = scanner.scan(event(0) + event(1) + event(2))
        self.assertEqual(event(2), block.data)
        self.assertEqual(1, block.tokens)

    def test_a_stream_that_ends_after_a_gap_is_not_done(self):
        scanner = TokenScanner("g")
        with self.assertRaises(errors.TargetError):
            scanner.scan(event(1) + b"data: [DONE]\n\n")
        self.assertFalse(scanner.done)

    def test_an_incomplete_event_can_be_discarded(self):
        scanner = TokenScanner("g")
        scanner.scan(event(0) + event(1)[:7])
        scanner.discard_incomplete()
        self.assertEqual(event(1), scanner.scan(event(1)).data)
