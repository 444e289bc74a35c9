"""Tests of the packing of configurations."""

import unittest

from endivesill import errors
from endivesill.fleet.packing import pack_document, unpack_document

# What the smallest link of today's sites carries in half a sync's timeout.
SMALL_LINK_BYTES = 5_000_000 // 8 * 0.45 / 2


class PackingTest(unittest.TestCase):
    def test_a_document_comes_back_as_it_was(self):
        document = {"a": [1, 2.5, None, "ø\n"], "b": {"c": True}}
        self.assertEqual(document, unpack_document(pack_document(document)))

    def test_a_configuration_of_many_routes_fits_the_smallest_link(self):
        """Seen in a hunt: entries never got a change of fourteen hundred routes."""
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
        self.assertLess(len(packed), SMALL_LINK_BYTES)

    def test_what_cannot_be_read(self):
        for text in ("", "!!", pack_document({})[:-6]):
            with self.assertRaises(errors.PeerMessageError):
                unpack_document(text)
