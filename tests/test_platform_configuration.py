"""Tests of decoding and validation of configuration documents."""

import copy
import unittest

from endivesill import errors
from endivesill.fleet.model import RequestKind
from endivesill.forwarding.placement import capacity_problem, engine_time_s
from endivesill.forwarding.route_table import RouteTable
from endivesill.forwarding.targets import ResourceDemand
from endivesill.platform.configuration import decode_configuration, encode_for_entries
from endivesill.platform.engines import PlatformProtocol
from endivesill.timer import ManualTimer
from tests.forwarding_fakes import engine as engine_info
from tests.forwarding_fakes import make_table

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
    def test_a_document_is_decoded(self):
        configuration = decode_configuration(DOCUMENT)
        streaming, weighted = configuration.routes
        self.assertEqual(RequestKind.STREAMING, streaming.kind)
        self.assertEqual("x.example", streaming.host)
        self.assertEqual(
            (6.0, 1.5, 0.18),
            (streaming.timeout_s, streaming.target_latency_s, streaming.gap_target_s),
        )
        self.assertEqual(
            [90, 10], [share.weight for share in weighted.weighted_services]
        )
        self.assertEqual(24, configuration.services["llm"].model_engine.slots)
        self.assertIsNone(configuration.services["app"].model_engine)
        self.assertEqual(("k1", "k2"), configuration.organisations[0].keys)
        self.assertEqual(100, configuration.header_bytes)


class FigureTest(unittest.TestCase):
    """Figures that are absent, null or zero."""

    def decode(self, edit):
        document = copy.deepcopy(DOCUMENT)
        edit(document)
        return decode_configuration(document)

    def test_a_target_latency_of_zero_is_none(self):
        """Guards against targets that are ejected since no response is on time."""
        for value in (0, -5, None):
            route = self.decode(
                lambda d, value=value: d["routes"][0].update(target_latency_ms=value)
            ).routes[0]
            self.assertEqual(route.timeout_s, route.target_latency_s)

    def test_an_unknown_capacity_bounds_nothing(self):
        """Guards against generations that no engine gets."""
        for engine in ({}, {"kv_capacity_tokens": None}):
            configuration = self.decode(
                lambda d, engine=engine: d["services"][0].update(engine=engine)
            )
            service = configuration.services["llm"]
            target = make_table(ManualTimer(), engine_info("e1")).find_all(["e1@1"])[0]
            demand = ResourceDemand(1_000, 2_000)
            self.assertEqual("", capacity_problem(target, service, demand, 0))
            self.assertEqual(0.0, engine_time_s(service, demand))

    def test_an_engine_without_memory_takes_nothing(self):
        configuration = self.decode(
            lambda d: d["services"][0]["engine"].update(kv_capacity_tokens=0)
        )
        target = make_table(ManualTimer(), engine_info("e1")).find_all(["e1@1"])[0]
        service, demand = configuration.services["llm"], ResourceDemand(1, 2)
        self.assertTrue(capacity_problem(target, service, demand, 0))


class TenantsTest(unittest.TestCase):
    """Which states need keys, and whose."""

    def route_table(self, **fields):
        document = copy.deepcopy(DOCUMENT)
        del document["tenants"]
        return RouteTable(decode_configuration({**document, **fields}))

    def test_a_state_that_contains_tenants_needs_keys(self):
        """Guards against an empty list of tenants that opens all routes."""
        for tenants in ([], None, [{"name": "o"}], [{"name": "o", "api_keys": []}]):
            table = self.route_table(tenants=tenants)
            self.assertTrue(table.needs_keys, tenants)
            for key in ("k1", ""):
                self.assertIsNone(table.organisation_of(key), tenants)

    def test_an_empty_key_lets_nobody_in(self):
        """Guards against callers without a key that pass as holders of an empty one."""
        tenants = [{"name": "o", "api_keys": ["", "k1"]}]
        table = self.route_table(tenants=tenants)
        protocol = PlatformProtocol()
        for headers in ([], [(b"Api-Key", b"")], [(b"Api-Key", b"k1")] * 2):
            key = protocol.decode_request(headers).key
            self.assertIsNone(table.organisation_of(key), headers)
        key = protocol.decode_request([(b"Api-Key", b"k1")]).key
        self.assertIsNotNone(table.organisation_of(key))

    def test_a_state_without_tenants_needs_no_keys(self):
        self.assertFalse(self.route_table().needs_keys)


class EarlierBuildTest(unittest.TestCase):
    """What entries of builds that ask for the truth of the list make of a state."""

    def organisation_of(self, key, document):
        """Return the organisation's name, or None if the request is refused."""
        received = encode_for_entries(document)
        tenants = received.get("tenants")
        if not tenants:
            return "any"
        names = {key: t["name"] for t in tenants for key in t.get("api_keys", [])}
        return names.get(key)

    def test_a_state_that_contains_tenants_lets_in_held_keys_only(self):
        owners = {"name": "o", "api_keys": ["", "k1"], "priority": 1}
        for tenants in ([], None, [{"name": "o", "api_keys": None}], [owners]):
            document = {**DOCUMENT, "tenants": tenants}
            self.assertIsNone(self.organisation_of("", document), tenants)
            self.assertIsNone(self.organisation_of("k2", document), tenants)
        self.assertEqual("o", self.organisation_of("k1", document))

    def test_the_meaning_for_entries_of_this_build_is_the_same(self):
        for tenants in ([], None, [{"name": "o"}], DOCUMENT["tenants"]):
            document = {**DOCUMENT, "tenants": tenants}
            table, received = (
                RouteTable(decode_configuration(form))
                for form in (document, encode_for_entries(document))
            )
            self.assertTrue(received.needs_keys)
            for key in ("k1", "k2", "k3"):
                organisation = table.organisation_of(key)
                self.assertEqual(organisation, received.organisation_of(key))

    def test_a_state_without_tenants_is_sent_as_it_is(self):
        document = copy.deepcopy(DOCUMENT)
        del document["tenants"]
        self.assertIs(document, encode_for_entries(document))


class InvalidTest(unittest.TestCase):
    def assert_rejected(self, edit, text):
        document = copy.deepcopy(DOCUMENT)
        edit(document)
        with self.assertRaises(errors.DocumentError) as caught:
            decode_configuration(document)
        self.assertIn(text, str(caught.exception))

    def test_unknown_service(self):
        self.assert_rejected(
            lambda d: d["routes"][0].update(service="x"), "no service 'x'"
        )

    def test_two_routes_with_the_same_host_and_prefix(self):
        def edit(document):
            document["routes"][1].update(host="X.EXAMPLE", path_prefix="/a/")

        self.assert_rejected(edit, "the place is taken")

    def test_weights_with_a_sum_of_zero(self):
        def edit(document):
            for share in document["routes"][1]["traffic_split"]:
                share["weight"] = 0

        self.assert_rejected(edit, "add up to 0")

    def test_zero_timeout(self):
        self.assert_rejected(
            lambda d: d["routes"][0].update(timeout_ms=0), "the time-out is not over 0"
        )

    def test_key_shared_by_two_organisations(self):
        def edit(document):
            document["tenants"].append({"name": "o2", "api_keys": ["k2"]})

        self.assert_rejected(edit, "share a key")

    def test_missing_or_mistyped_fields(self):
        self.assert_rejected(lambda d: d.pop("version"), "version: missing")
        self.assert_rejected(lambda d: d.update(version="7"), "version")
        self.assert_rejected(lambda d: d.update(version=True), "version")
        self.assert_rejected(lambda d: d.update(routes={}), "routes")
        self.assert_rejected(lambda d: d["routes"][0].update(kind="odd"), "no kind")

    def test_documents_that_are_not_objects(self):
        for document in (None, [], 7, "x"):
            with self.assertRaises(errors.DocumentError):
                decode_configuration(document)
