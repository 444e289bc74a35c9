"""State of one service in the router."""

from __future__ import annotations

import attrs

from endivesill.routing.policy import Policy
from endivesill.routing.queue import WaitQueue

__all__ = ["ServiceState"]


@attrs.define
class ServiceState:
    """The policy and the queue of one service.

    Attributes:
      policy: chooses targets.
      queue: the requests that wait for a target.
      check_scheduled: whether the next check of deadlines is scheduled.
      is_requesting_credit: whether credits are being requested for a request that
        may not be queued; it counts as a queued one.
      needed_tokens: memory tokens that the last request without a target needs.
    """

    policy: Policy
    queue: WaitQueue
    check_scheduled: bool = False
    is_requesting_credit: bool = False
    needed_tokens: int = 0
