"""Log events of the routing."""

from endivesill import events

__all__ = ["ROUTE_CHOSEN", "ROUTE_REFUSED"]

ROUTE_CHOSEN = events.define(3001, "route-chosen", "A request was given a target.")
ROUTE_REFUSED = events.define(3002, "route-refused", "A request was refused.")
