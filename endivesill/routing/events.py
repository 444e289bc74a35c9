"""Log events of routing and credits."""

from endivesill import events

__all__ = [
    "CREDITS_REVOKED",
    "OWNERSHIP_TAKEN",
    "ROUTE_CHOSEN",
    "ROUTE_REFUSED",
    "TARGET_RECOOLED",
]

ROUTE_CHOSEN = events.define(3001, "route-chosen", "A request was granted a target.")
ROUTE_REFUSED = events.define(3002, "route-refused", "A request was refused.")
CREDITS_REVOKED = events.define(
    3010, "credits-revoked", "The owner of a target revoked all its credits."
)
OWNERSHIP_TAKEN = events.define(
    3011, "home-taken", "This VM began to allocate the credits of a target."
)
TARGET_RECOOLED = events.define(
    3012, "target-recooled", "An entry suspects that a target has become cold."
)
