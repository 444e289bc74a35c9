"""Requests that wait for room at a target."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs

from endivesill import errors
from endivesill.fleet.model import Service
from endivesill.forwarding.fair_queue import FairQueue, Flow, Order
from endivesill.forwarding.placement import Need, choose_target, engine_time_s
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.timer import TimerService

__all__ = ["Admission", "NoRoomError", "PlaceRequest"]

# Waiting requests for each target, beyond which a new one is refused at once.
WAITERS_PER_TARGET = 16
# How long a service counts as busy after a request had to wait; about the time
# in which half of the generations under way end.
BUSY_FOR_S = 4.0
# The longest generations count for no more than this, in seconds of one engine, so
# that they are served about as often as others; a mean one takes 1 s.
COST_LIMIT_S = 1.5
# How long a request waits at most while its service has no target at all.
NO_TARGET_WAIT_S = 0.25


class NoRoomError(errors.EndivesillError):
    """No target can take the request in its time; it was not sent.

    Attributes:
      reason: why, in a few words for logs and metrics.
      retry_after_s: when to come back; None if that is not known.
    """

    def __init__(self, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


@attrs.define(eq=False)
class PlaceRequest:
    """A request for a place at a target.

    Attributes:
      service: the service that it goes to.
      need: what it takes.
      priority: 0 is the most urgent.
      latest_s: until when it is worth to wait.
      excluded: targets that it does not go to.
      comes_back: whether its caller was refused before.
      organisation: who sends it.
    """

    service: Service
    need: Need
    priority: int
    latest_s: float
    excluded: list[Target] = attrs.Factory(list)
    comes_back: bool = False
    organisation: str = ""

    @property
    def flow(self) -> Flow:
        """Whose share of the engine time it takes."""
        return Flow(self.organisation, self.comes_back)

    @property
    def cost(self) -> float:
        """The engine time that counts against its flow."""
        return min(COST_LIMIT_S, engine_time_s(self.service, self.need))


@attrs.define(eq=False)
class _Waiter:
    request: PlaceRequest
    future: asyncio.Future[Target]


class Admission:
    """Gives each request a target, at once or after a wait.

    Args:
      timer: the timer service.
      table: the targets.
      cold_allowance: returns the requests a second that a cold target of a
        service may get from here.
      placed: called with the need and the target of each place that is given.
      random_source: draws among equal targets.
      new_queue: returns the queue of a service.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        cold_allowance: Callable[[Service], float],
        placed: Callable[[PlaceRequest, Target], None],
        random_source: random.Random,
        new_queue: Callable[[], FairQueue[Any]] = FairQueue,
    ) -> None:
        self._new_queue = new_queue
        self._timer = timer
        self._table = table
        self._cold_allowance = cold_allowance
        self._placed = placed
        self._random = random_source
        self._queues: dict[str, FairQueue[_Waiter]] = {}
        self._waited_s: dict[str, float] = {}

    def is_busy(self, service: str) -> bool:
        """Tell whether requests to a service have had to wait lately."""
        waited_s = self._waited_s.get(service, float("-inf"))
        return self._timer.now_s() - waited_s < BUSY_FOR_S

    def ahead_of(self, request: PlaceRequest) -> int:
        """Return how many wait that go before a request."""
        queue = self._queues.get(request.service.name)
        return queue.ahead_of(_order(queue, request)) if queue else 0

    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._queues.values()))

    def try_place(self, request: PlaceRequest) -> Target | None:
        """Give a place at a target, if one has room now."""
        service = request.service
        targets = self._table.candidates(service.name, request.excluded)
        if service.cold_requests_per_s > 0:
            allowance = self._cold_allowance(service)
            targets = [t for t in targets if self._table.may_send_now(t, allowance)]
        target = choose_target(
            targets, service, request.need, self._table.data_centre, self._random
        )
        if target is not None:
            self._placed(request, target)
        return target

    async def place(self, request: PlaceRequest) -> Target:
        """Return a target that has given a place to a request.

        Raises:
          NoRoomError: none will have room in time.
        """
        service = request.service.name
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = self._new_queue()
        order = _order(queue, request)
        if not queue.ahead_of(order):
            target = self.try_place(request)
            if target is not None:
                queue.note_served(order[1])
                return target
        left_s = request.latest_s - self._timer.now_s()
        if not self._table.has_targets(service):
            left_s = min(left_s, NO_TARGET_WAIT_S)
        if left_s <= 0:
            raise NoRoomError("no room in time")
        count = len(self._table.candidates(service, ()))
        if len(queue) >= WAITERS_PER_TARGET * max(1, count):
            raise NoRoomError("queue full")
        self._waited_s[service] = self._timer.now_s()
        waiter = _Waiter(request, asyncio.get_running_loop().create_future())
        item = queue.push(request.priority, request.flow, request.cost, waiter)
        try:
            return await self._timer.wait_for(asyncio.shield(waiter.future), left_s)
        except errors.DeadlineExceededError:
            if waiter.future.done():
                return waiter.future.result()
            raise NoRoomError("waited in vain") from None
        finally:
            if not waiter.future.done():
                waiter.future.cancel()
            queue.remove(item)

    def serve_waiters(self) -> None:
        """Give places to waiting requests, the most urgent first."""
        for queue in self._queues.values():
            while queue:
                waiter = queue.first()
                if not waiter.future.done():
                    target = self.try_place(waiter.request)
                    if target is None:
                        break
                    waiter.future.set_result(target)
                queue.pop()


def _order(queue: FairQueue[_Waiter], request: PlaceRequest) -> Order:
    return queue.order_of(request.priority, request.flow, request.cost)
