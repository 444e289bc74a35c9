"""Log events of the routing."""

from endivesill import events

__all__ = [
    "CREDITS_REVOKED",
    "HOME_TAKEN",
    "ROUTE_CHOSEN",
    "ROUTE_REFUSED",
    "TARGET_RECOOLED",
]

ROUTE_CHOSEN = events.define(3001, "route-chosen", "A request was given a target.")
ROUTE_REFUSED = events.define(3002, "route-refused", "A request was refused.")
CREDITS_REVOKED = events.define(
    3010, "credits-revoked", "A home took back all credits of a target."
)
HOME_TAKEN = events.define(
    3011, "home-taken", "This VM began to lend the credits of a target."
)
TARGET_RECOOLED = events.define(
    3012, "target-recooled", "An entry saw a target become slow all at once."
)
