"""What the router keeps of each service."""

from __future__ import annotations

import attrs

from endivesill.routing.policy import Policy
from endivesill.routing.queue import WaitQueue

__all__ = ["ServiceState"]


@attrs.define
class ServiceState:
    """The policy and the queue of one service.

    It is pressing while a request at hand asks for credits; the needed tokens
    are the memory that the last one without a place needs.
    """

    policy: Policy
    queue: WaitQueue
    checking: bool = False
    pressing: bool = False
    needed_tokens: int = 0
