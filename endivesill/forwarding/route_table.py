"""Looks up the route of a request and the organisation of an API key."""

from __future__ import annotations

import random

from endivesill.fleet.model import FleetConfiguration, Organisation, Route

__all__ = ["RouteTable"]


class RouteTable:
    """Look-up tables of one configuration.

    Args:
      configuration: the configuration.
    """

    def __init__(self, configuration: FleetConfiguration) -> None:
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route
        self._organisation_by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests to routes that are not public need an API key."""
        return self.configuration.needs_keys

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        routes = self._hosts.get(host)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def organisation_of(self, key: str | None) -> Organisation | None:
        """Return the organisation of an API key; None without one that holds it."""
        return None if key is None else self._organisation_by_key.get(key)


def pick_service(route: Route, random_source: random.Random) -> str:
    """Choose one of a route's services at random, by weight."""
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    weights = [weighted.weight for weighted in route.weighted_services]
    return random_source.choices(route.weighted_services, weights)[0].service
