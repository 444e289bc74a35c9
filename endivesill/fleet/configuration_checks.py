"""Checks of the content of configurations."""

from __future__ import annotations

from endivesill import errors
from endivesill.fleet.model import FleetConfiguration, Organisation, Route, Service

__all__ = ["check_configuration"]


def check_configuration(configuration: FleetConfiguration) -> None:
    """Check that a configuration can be in force.

    Raises:
      DocumentError: it cannot; the text names the route or the organisations.
    """
    for route in configuration.routes:
        _check_route(route, configuration.services)
    _check_unique_matches(configuration.routes)
    _check_unique_keys(configuration.organisations)


def _check_route(route: Route, services: dict[str, Service]) -> None:
    if route.timeout_s <= 0:
        raise errors.DocumentError(f"route {route.name}: the time-out is not over 0")
    for weighted in route.weighted_services:
        if weighted.service not in services:
            raise errors.DocumentError(
                f"route {route.name}: no service {weighted.service!r}"
            )
    weights = [weighted.weight for weighted in route.weighted_services]
    if any(weight < 0 for weight in weights) or not any(weights):
        raise errors.DocumentError(f"route {route.name}: the weights add up to 0")


def _check_unique_matches(routes: tuple[Route, ...]) -> None:
    matches = set()
    for route in routes:
        match_key = (route.host, route.path_prefix)
        if match_key in matches:
            raise errors.DocumentError(f"route {route.name}: the place is taken")
        matches.add(match_key)


def _check_unique_keys(organisations: tuple[Organisation, ...]) -> None:
    owner_by_key: dict[str, str] = {}
    for organisation in organisations:
        for key in organisation.keys:
            owner = owner_by_key.setdefault(key, organisation.name)
            if owner != organisation.name:
                raise errors.DocumentError(
                    f"tenants {owner} and {organisation.name} share a key"
                )
