"""Finds the route of a request and the organisation of a key."""

from __future__ import annotations

import random

from endivesill.fleet.model import FleetConfiguration, Organisation, Route

__all__ = ["RouteTable"]


class RouteTable:
    """One configuration, prepared for look-ups.

    Args:
      state: the configuration.
    """

    def __init__(self, state: FleetConfiguration) -> None:
        self.state = state
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in state.routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route
        self._holders = {
            key: organisation
            for organisation in state.organisations
            for key in organisation.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests of routes that are not public need a key."""
        return bool(self.state.organisations)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        routes = self._hosts.get(host)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def holder(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._holders.get(key)


def pick_service(route: Route, random_source: random.Random) -> str:
    """Return one of a route's services, by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random_source.choices(route.shares, weights)[0].service
