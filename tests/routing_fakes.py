"""Builders of configuration objects and requests for the routing tests."""

from endivesill.configuration.model import (
    Configuration,
    DataCentre,
    Organisation,
    Service,
    Target,
)
from endivesill.configuration.source import FixedConfiguration
from endivesill.routing import RouteRequest

HASH = "0" * 64


def make_target(name="e0", **values):
    fields = {
        "service": "plan-llm",
        "url": "http://fake",
        "data_centre": "dk-west-a",
        "cold_slots": 2,
        "maximum_slots": 16,
        "memory_tokens": 60_000,
    }
    return Target(name, **{**fields, **values})


def make_service(**values):
    fields = {
        "protocol": "engine",
        "routing_policy": "credit",
        "deadline_s": 10.0,
    }
    return Service("plan-llm", **{**fields, **values})


def make_configuration(targets, service=None, taken_out=()):
    centres = {
        name: DataCentre(name, region="dk-west", taken_out=name in taken_out)
        for name in ("dk-west-a", "dk-west-b")
    }
    return Configuration(
        1,
        data_centres=centres,
        services={"plan-llm": service or make_service()},
        targets={target.name: target for target in targets},
    )


def make_source(targets, service=None):
    return FixedConfiguration(make_configuration(targets, service))


def make_organisation(name="o", weight=1.0):
    return Organisation(name, key_sha256=HASH, weight=weight)


def make_request(number=0, service=None, organisation="o", **values):
    fields = {"prompt_tokens": 200, "deadline_s": 1e9}
    return RouteRequest(
        f"r{number}",
        service or make_service(),
        make_organisation(organisation),
        **{**fields, **values},
    )
