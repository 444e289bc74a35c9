"""Tests of the subset of targets that an entry may use."""

import unittest

from endivesill.configuration.model import Configuration, DataCentre, Service, Target
from endivesill.routing.directory import LOCAL_SUBSET_SIZE, SUBSET_SIZE, TargetDirectory

REGIONS = {"a": "north", "b": "north", "c": "south"}


def make_configuration(taken_out=""):
    targets = {
        f"{data_centre_name}{n}": Target(
            f"{data_centre_name}{n}",
            service="s",
            url="http://t",
            data_centre=data_centre_name,
        )
        for data_centre_name in REGIONS
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

    def test_targets_of_the_entry_data_centre_come_first(self):
        names = self.names("vm-1")
        target_data_centres = [name[0] for name in names]
        self.assertEqual(SUBSET_SIZE, len(names))
        self.assertEqual(LOCAL_SUBSET_SIZE, target_data_centres.count("a"))
        self.assertEqual(
            SUBSET_SIZE - LOCAL_SUBSET_SIZE, target_data_centres.count("b")
        )

    def test_entries_spread_over_the_targets(self):
        self.assertNotEqual(self.names("vm-1"), self.names("vm-2"))

    def test_targets_of_the_region_replace_a_data_centre_that_is_taken_out(self):
        names = self.names("vm-1", taken_out="a")
        self.assertEqual({"b"}, {name[0] for name in names})
