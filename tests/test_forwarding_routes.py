"""Tests of the look-up of routes, keys and services."""

import random
import unittest

from endivesill.fleet.model import FleetConfiguration, Organisation, WeightedService
from endivesill.forwarding.route_table import RouteTable, pick_service
from tests.forwarding_fakes import MODEL, PLAIN, route


def configuration(*routes, organisations=(), **fields):
    services = {"app": PLAIN, "llm": MODEL}
    return FleetConfiguration(
        1, routes, services, organisations, 1000, 1000, 3.0, 15.0, **fields
    )


class FindTest(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable(
            configuration(
                route(name="short", path_prefix="/a/"),
                route(name="long", path_prefix="/a/b/"),
                route(name="other", host="y.example", path_prefix="/"),
            )
        )

    def find_name(self, host, path):
        found = self.table.find(host, path)
        return found.name if found else None

    def test_the_longest_prefix_wins(self):
        self.assertEqual("long", self.find_name("x.example", "/a/b/c/d"))
        self.assertEqual("short", self.find_name("x.example", "/a/bc"))

    def test_a_prefix_matches_only_with_its_trailing_slash(self):
        self.assertIsNone(self.find_name("x.example", "/a"))
        self.assertEqual("short", self.find_name("x.example", "/a/b"))

    def test_routes_belong_to_their_host(self):
        self.assertEqual("other", self.find_name("y.example", "/a/b/c"))
        self.assertIsNone(self.find_name("z.example", "/a/"))


class KeyTest(unittest.TestCase):
    def test_organisation_of_a_key(self):
        organisation = Organisation("o", ("k1", "k2"), 0)
        table = RouteTable(configuration(organisations=(organisation,)))
        self.assertTrue(table.needs_keys)
        self.assertEqual(organisation, table.organisation_of("k2"))
        self.assertIsNone(table.organisation_of("k3"))
        self.assertIsNone(table.organisation_of(""))
        self.assertIsNone(table.organisation_of(None))

    def test_keys_are_needed_unless_the_configuration_says_otherwise(self):
        self.assertTrue(RouteTable(configuration()).needs_keys)
        self.assertFalse(RouteTable(configuration(needs_keys=False)).needs_keys)


class WeightTest(unittest.TestCase):
    def test_requests_are_split_by_weight(self):
        shares = (WeightedService("app", 90), WeightedService("llm", 10))
        source = random.Random(1)
        picked = [
            pick_service(route(weighted_services=shares), source) for _ in range(1_000)
        ]
        self.assertTrue(850 < picked.count("app") < 950)

    def test_a_service_of_weight_zero_gets_no_requests(self):
        shares = (WeightedService("app", 0), WeightedService("llm", 10))
        source = random.Random(1)
        picked = {
            pick_service(route(weighted_services=shares), source) for _ in range(200)
        }
        self.assertEqual({"llm"}, picked)
