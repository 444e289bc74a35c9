"""The router of an entry: gives requests leave to start at a target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from endivesill import errors, events
from endivesill.configuration.model import Configuration, Target
from endivesill.kernel import Service
from endivesill.routing.events import ROUTE_CHOSEN, ROUTE_REFUSED
from endivesill.routing.messages import Grant, Outcome, RouteRequest
from endivesill.routing.policy import POLICIES, Candidate
from endivesill.timer import TimerService

__all__ = ["Router"]

RETRY_AFTER_S = 1.0


class CountedGrant(Grant):
    """A grant that counts as outstanding at its target until it is finished."""

    def __init__(
        self, request: RouteRequest, target: Target, release: Callable[[], None]
    ) -> None:
        super().__init__(request, target)
        self._release = release

    def finished(self, outcome: Outcome) -> None:
        """Free the place at the target."""
        self._release()


class Router(Service):
    """Chooses targets and lets requests wait for a free one.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
    """

    def __init__(
        self, timer: TimerService, configuration: Callable[[], Configuration]
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._outstanding: dict[str, int] = {}
        self._waiters: list[asyncio.Future[None]] = []

    async def acquire(self, request: RouteRequest) -> Grant:
        """Return leave to start an attempt, waiting up to the deadline.

        Raises:
          RefusedError: there is no target, or none in time; it has not run.
        """
        policy = POLICIES[request.service.routing_policy]()
        while True:
            candidates = self._candidates(request)
            if not candidates:
                raise self._refusal(request, "no-target")
            chosen = policy.choose(request, candidates)
            if chosen is not None:
                return self._grant(request, chosen)
            await self._wait(request)

    def _candidates(self, request: RouteRequest) -> list[Candidate]:
        configuration = self._configuration()
        return [
            Candidate(target, self._outstanding.get(target.name, 0))
            for target in configuration.targets.values()
            if target.service == request.service.name
            and target.name not in request.excluded
            and configuration.takes_new_work(target)
        ]

    def _grant(self, request: RouteRequest, chosen: Candidate) -> Grant:
        name = chosen.target.name
        self._outstanding[name] = self._outstanding.get(name, 0) + 1
        events.emit(
            ROUTE_CHOSEN,
            request_id=request.request_id,
            target=name,
            outstanding=chosen.outstanding,
        )
        return CountedGrant(request, chosen.target, lambda: self._release(name))

    def _release(self, name: str) -> None:
        self._outstanding[name] -= 1
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _wait(self, request: RouteRequest) -> None:
        left_s = request.deadline_s - self._timer.now_s()
        if left_s <= 0 or len(self._waiters) >= request.service.queue_limit:
            raise self._refusal(request, "queue-full")
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await self._timer.wait_for(waiter, left_s)
        except errors.DeadlineExceededError:
            raise self._refusal(request, "deadline") from None

    def _refusal(self, request: RouteRequest, reason: str) -> errors.RefusedError:
        events.emit(ROUTE_REFUSED, request_id=request.request_id, reason=reason)
        return errors.RefusedError(reason, retry_after_s=RETRY_AFTER_S)
