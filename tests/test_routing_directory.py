"""Tests of the subset of targets that an entry uses."""

import unittest

from endivesill.configuration.model import Configuration, DataCentre, Service, Target
from endivesill.routing.directory import NEAR_SIZE, SUBSET_SIZE, TargetDirectory

REGIONS = {"a": "north", "b": "north", "c": "south"}


def make_configuration(taken_out=""):
    targets = {
        f"{place}{n}": Target(
            f"{place}{n}", service="s", url="http://t", data_centre=place
        )
        for place in REGIONS
        for n in range(20)
    }
    return Configuration(
        1,
        data_centres={
            name: DataCentre(name, region=region, taken_out=name == taken_out)
            for name, region in REGIONS.items()
        },
        services={"s": Service("s", protocol="engine")},
        targets=targets,
    )


class SubsetTest(unittest.TestCase):
    def names(self, entry, taken_out=""):
        configuration = make_configuration(taken_out)
        directory = TargetDirectory(
            lambda: configuration, entry, lambda name: False, "a"
        )
        return {c.target.name for c in directory.candidates("s", 0.0)}

    def test_targets_of_the_own_data_centre_come_first(self):
        names = self.names("vm-1")
        places = [name[0] for name in names]
        self.assertEqual(SUBSET_SIZE, len(names))
        self.assertEqual(NEAR_SIZE, places.count("a"))
        self.assertEqual(SUBSET_SIZE - NEAR_SIZE, places.count("b"))

    def test_entries_spread_over_the_targets(self):
        self.assertNotEqual(self.names("vm-1"), self.names("vm-2"))

    def test_the_own_region_follows_when_the_data_centre_is_taken_out(self):
        names = self.names("vm-1", taken_out="a")
        self.assertEqual({"b"}, {name[0] for name in names})
