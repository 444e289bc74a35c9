"""What a stopping entry can still finish."""

from __future__ import annotations

import math

from endivesill.fleet.model import RequestKind
from endivesill.forwarding.call import Call
from endivesill.forwarding.placement import run_time_s
from endivesill.timer import TimerService

__all__ = ["StopDeadline"]

# Time kept for a plain request, where its route allows more. Most take much less, and
# one that does not end in time still gets a response.
MAX_PLAIN_TIME_S = 1.0


class StopDeadline:
    """When this process ends its requests because it stops.

    Args:
      timer: the timer service.

    Attributes:
      end_s: when it ends them; infinite while it does not stop.
      refuses_streams: whether no generation is started any more.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self.end_s = math.inf
        self.refuses_streams = False

    def remaining_s(self) -> float:
        """Return the time until the end; infinite while the process does not stop."""
        return max(0.0, self.end_s - self._timer.now_s())

    def leaves_time_for(self, call: Call) -> bool:
        """Return whether a request that is sent now is expected to end in time."""
        if self.refuses_streams and call.route.kind is RequestKind.STREAMING:
            return False
        return _expected_time_s(call) < self.remaining_s()


def _expected_time_s(call: Call) -> float:
    if call.route.kind is RequestKind.STREAMING:
        return run_time_s(call.demand)
    return min(call.route.target_latency_s, MAX_PLAIN_TIME_S)
