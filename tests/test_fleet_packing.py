"""Tests of compressed configurations."""

import unittest

from endivesill import errors
from endivesill.fleet.packing import pack_document, unpack_document

# Bytes that a link of 5 Mbit/s carries in half of a sync's time-out.
SLOWEST_LINK_BYTES = 5_000_000 // 8 * 0.45 / 2


class PackingTest(unittest.TestCase):
    def test_round_trip(self):
        document = {"a": [1, 2.5, None, "ø\n"], "b": {"c": True}}
        self.assertEqual(document, unpack_document(pack_document(document)))

    def test_a_large_configuration_fits_the_slowest_link(self):
        """Guards against syncs that time out: entries never received 1,400 routes."""
        routes = [
            {
                "name": f"r-{number * 7919 % 100_003:x}",
                "host": f"h{number % 17}.example",
                "path_prefix": f"/p{number * 104_729 % 1_000_003:x}/",
                "kind": "unsafe",
                "timeout_ms": 600,
                "target_latency_ms": 125,
                "priority": 2,
                "service": "huvo11a",
                "max_attempts": 1,
                "public": False,
                "session_affinity": False,
            }
            for number in range(1_400)
        ]
        packed = pack_document({"version": 7, "routes": routes})
        self.assertLess(len(packed), SLOWEST_LINK_BYTES)

    def test_invalid_texts_are_rejected(self):
        for text in ("", "!!", pack_document({})[:-6]):
            with self.assertRaises(errors.PeerMessageError):
                unpack_document(text)
