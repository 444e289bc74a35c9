"""Tests of the operators' configuration: what is refused, what is decoded."""

import copy
import unittest

from endivesill import errors
from endivesill.fleet.model import RequestKind
from endivesill.platform.configuration import decode_configuration

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "X.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 6000,
            "target_latency_ms": 1500,
            "priority": 0,
            "service": "llm",
            "max_attempts": 1,
            "gap_target_ms": 180,
        },
        {
            "name": "r2",
            "host": "x.example",
            "path_prefix": "/b/",
            "kind": "unsafe",
            "timeout_ms": 600,
            "traffic_split": [
                {"service": "llm", "weight": 90},
                {"service": "app", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "llm",
            "max_connections": 232,
            "cold_per_s": 39.0,
            "engine": {"slots": 24, "kv_capacity_tokens": 34325, "backups": True},
        },
        {"name": "app"},
    ],
    "limits": {"max_header_bytes": 100},
    "tenants": [{"name": "o1", "api_keys": ["k1", "k2"], "priority": 1}],
}


class DecodeTest(unittest.TestCase):
    def test_names_become_the_projects(self):
        state = decode_configuration(DOCUMENT)
        stream, split = state.routes
        self.assertEqual(RequestKind.STREAMING, stream.kind)
        self.assertEqual("x.example", stream.host)
        self.assertEqual(
            (6.0, 1.5, 0.18),
            (stream.timeout_s, stream.target_latency_s, stream.gap_target_s),
        )
        self.assertEqual([90, 10], [share.weight for share in split.weighted_services])
        self.assertEqual(24, state.services["llm"].model_engine.slots)
        self.assertIsNone(state.services["app"].model_engine)
        self.assertEqual(("k1", "k2"), state.organisations[0].keys)
        self.assertEqual(100, state.header_bytes)


class InvalidTest(unittest.TestCase):
    def refused(self, change, text):
        document = copy.deepcopy(DOCUMENT)
        change(document)
        with self.assertRaises(errors.DocumentError) as caught:
            decode_configuration(document)
        self.assertIn(text, str(caught.exception))

    def test_an_unknown_service(self):
        self.refused(lambda d: d["routes"][0].update(service="x"), "no service 'x'")

    def test_two_routes_at_one_place(self):
        def change(document):
            document["routes"][1].update(host="X.EXAMPLE", path_prefix="/a/")

        self.refused(change, "the place is taken")

    def test_weights_that_add_up_to_nothing(self):
        def change(document):
            for share in document["routes"][1]["traffic_split"]:
                share["weight"] = 0

        self.refused(change, "add up to 0")

    def test_a_timeout_of_nothing(self):
        self.refused(lambda d: d["routes"][0].update(timeout_ms=0), "timeout_ms")

    def test_a_key_of_two_organisations(self):
        def change(document):
            document["tenants"].append({"name": "o2", "api_keys": ["k2"]})

        self.refused(change, "share a key")

    def test_fields_that_are_missing_or_of_another_type(self):
        self.refused(lambda d: d.pop("version"), "version: missing")
        self.refused(lambda d: d.update(version="7"), "version")
        self.refused(lambda d: d.update(version=True), "version")
        self.refused(lambda d: d.update(routes={}), "routes")
        self.refused(lambda d: d["routes"][0].update(kind="odd"), "no kind")

    def test_what_is_no_object(self):
        for document in (None, [], 7, "x"):
            with self.assertRaises(errors.DocumentError):
                decode_configuration(document)
