"""Logs each decision about a request and counts it in the statistics."""

from __future__ import annotations

import math
from collections.abc import Callable

from endivesill import events
from endivesill.forwarding.call import Call
from endivesill.forwarding.events import (
    ATTEMPT_FAILED,
    REQUEST_ENDED,
    REQUEST_PLACED,
    REQUEST_REFUSED,
)
from endivesill.forwarding.placer import Placement
from endivesill.forwarding.protocol import RequestInfo
from endivesill.forwarding.statistics import Statistics
from endivesill.forwarding.targets import Target
from endivesill.timer import TimerService

__all__ = ["CallLog"]


class CallLog:
    """Logs one line for each decision about a request.

    Args:
      timer: the timer service.
      statistics: counts outcomes.
      view_age_s: returns the age of the view of the fleet; infinite before there is
        one.

    Attributes:
      version: version of the configuration in force; None before there is one.
    """

    def __init__(
        self,
        timer: TimerService,
        statistics: Statistics,
        view_age_s: Callable[[], float],
    ) -> None:
        self._timer = timer
        self._statistics = statistics
        self._view_age_s = view_age_s
        self.version: int | None = None

    def _age_s(self) -> float | None:
        age_s = self._view_age_s()
        return None if math.isinf(age_s) else round(age_s, 3)

    def refused(
        self,
        info: RequestInfo,
        status: int,
        reason: str,
        retry_after_s: float | None,
        queue_length: int,
        call: Call | None = None,
    ) -> None:
        """Log a request that was refused without being run."""
        self._statistics.refused(reason, status)
        events.emit(
            REQUEST_REFUSED,
            request_id=info.attempt_id,
            status=status,
            reason=reason,
            retry_after_s=round(retry_after_s, 3)
            if retry_after_s is not None
            else None,
            version=self.version,
            age_s=self._age_s(),
            route=call.route.name if call else None,
            waited_s=round(call.waited_s, 4) if call else 0.0,
            waiting=queue_length,
        )

    def placed(self, call: Call, placement: Placement) -> None:
        """Log a placement and the load that it was based on."""
        target = placement.target
        self._statistics.placed(call.route.kind.value, call.waited_s)
        events.emit(
            REQUEST_PLACED,
            request_id=call.info.attempt_id,
            route=call.route.name,
            route_kind=call.route.kind.value,
            version=self.version,
            age_s=self._age_s(),
            target=target.info.identity,
            backup=placement.backup.info.identity if placement.backup else None,
            by_leader=placement.by_leader,
            sends=call.sends,
            waited_s=round(call.waited_s, 4),
            requests=target.total_requests,
            reserved_tokens=target.total_reserved_tokens,
            unread_tokens=target.total_prefill_tokens,
            request_digest=_request_digest(call),
        )

    def attempt_failed(self, call: Call, target: Target, reason: str) -> None:
        """Log an attempt without a usable response."""
        self._statistics.attempt_failed(reason)
        events.emit(
            ATTEMPT_FAILED,
            request_id=call.info.attempt_id,
            target=target.info.identity,
            reason=reason,
            sends=call.sends,
            runs=call.runs,
            request_digest=_request_digest(call),
        )

    def ended(self, call: Call, outcome: str, reason: str, **fields: float) -> None:
        """Log the end of a request that was not refused."""
        elapsed_s = self._timer.now_s() - call.received_s
        self._statistics.ended(call.route.kind.value, outcome, elapsed_s)
        events.emit(
            REQUEST_ENDED,
            request_id=call.info.attempt_id,
            route=call.route.name,
            outcome=outcome,
            reason=reason,
            elapsed_s=round(elapsed_s, 4),
            sends=call.sends,
            connection_age_s=round(call.connection_age_s, 3),
            **fields,
        )


def _request_digest(call: Call) -> str | None:
    """Return what a request has in common with others of its caller that are alike."""
    return call.causes[-1] if call.causes else None
