"""Counts the requests that a new version may get before it is known to be good."""

from __future__ import annotations

from endivesill.rollouts.model import ExposureBounds

__all__ = ["USED_FRACTION", "ExposureBudget"]

# Fraction of the bounds that is used. The rest is for requests that the platform counts
# as received by the version and this system does not know of.
USED_FRACTION = 0.8
# Requests by which a committed reservation is extended at a time.
RESERVED_AT_ONCE = 16


class ExposureBudget:
    """Exposure of one roll-out, as one leader counts it.

    Args:
      bounds: the bounds.
      reserved_requests: requests that earlier leaders have reserved; all of them count.
      requests: requests to the service that earlier leaders have counted.

    Attributes:
      used: requests that the new version has got or may get.
      reserved_requests: requests that a committed reservation covers.
      requests: requests to the service.
    """

    def __init__(
        self, bounds: ExposureBounds, reserved_requests: int, requests: int
    ) -> None:
        self._bounds = bounds
        self.used = reserved_requests
        self.reserved_requests = reserved_requests
        self.requests = requests

    def allowed(self, elapsed_fraction: float) -> int:
        """Return how many requests the new version may have got by now.

        Args:
          elapsed_fraction: elapsed part of the time over which the slack is spread.
        """
        slack = self._bounds.slack_requests * min(1.0, elapsed_fraction)
        return int(USED_FRACTION * (slack + self._bounds.share * self.requests))

    def room(self, elapsed_fraction: float) -> int:
        """Return how many more requests may be given out now."""
        allowed = min(self.allowed(elapsed_fraction), self.reserved_requests)
        return max(0, allowed - self.used)

    def next_reservation(self, elapsed_fraction: float) -> int | None:
        """Return up to which number to reserve; None if that is far enough."""
        if self.allowed(elapsed_fraction) <= self.reserved_requests:
            return None
        if self.reserved_requests - self.used >= RESERVED_AT_ONCE / 2:
            return None
        return self.used + RESERVED_AT_ONCE
