"""Admission of requests to targets, with a queue for each service."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from endivesill import errors
from endivesill.fleet.model import Service
from endivesill.forwarding.fair_queue import FairQueue, Flow, SortKey
from endivesill.forwarding.limited_targets import LimitedTargets
from endivesill.forwarding.placement import ResourceDemand, choose_target, engine_time_s
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.timer import TimerService

__all__ = ["AdmissionQueue", "NoRoomError", "PlacementRequest"]

ChooseTarget = Callable[
    [Sequence[Target], Service, ResourceDemand, str, random.Random], Target | None
]

# Queued requests per target of a service, beyond which new ones are refused.
MAX_QUEUED_PER_TARGET = 16
# How long a service counts as congested after a request was queued; about the time in
# which half of the running generations end.
CONGESTED_FOR_S = 4.0
# Upper bound of a request's cost in the fair queue, in seconds of one engine. It keeps
# the longest generations from waiting much longer than others; the mean cost is 1 s.
MAX_COST_S = 1.5
# Longest wait while a service has no target at all.
NO_TARGET_WAIT_S = 0.25


class NoRoomError(errors.EndivesillError):
    """No target had capacity in time; the request was not sent.

    Attributes:
      reason: short reason for logs and metrics.
      retry_after_s: when to retry; None if unknown.
    """

    def __init__(self, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


@attrs.define(eq=False)
class PlacementRequest:
    """A request for a placement.

    Attributes:
      service: the service to place it at.
      demand: the resources that it takes.
      priority: 0 is the most urgent.
      wait_until_s: when to stop waiting.
      excluded: targets that must not be chosen.
      was_refused: whether it is a retry after a refusal.
      organisation: the organisation that sends it.
      pool: incarnations that it may be placed at; None for all that get ordinary
        requests.
    """

    service: Service
    demand: ResourceDemand
    priority: int
    wait_until_s: float
    excluded: list[Target] = attrs.Factory(list)
    was_refused: bool = False
    organisation: str = ""
    pool: frozenset[str] | None = None

    @property
    def flow(self) -> Flow:
        """The flow whose share of engine time it uses."""
        return Flow(self.organisation, self.was_refused)

    @property
    def cost(self) -> float:
        """Engine time charged to its flow, in seconds, up to `MAX_COST_S`."""
        return min(MAX_COST_S, engine_time_s(self.service, self.demand))


def no_wait(request: PlacementRequest, ahead: int) -> float:
    """Expect no wait; the default where the rate of placements is not measured."""
    return 0.0


def keep_placement(request: PlacementRequest, target: Target) -> None:
    """Keep an abandoned placement; the default where its load expires by itself."""


@attrs.define(eq=False)
class _Waiter:
    request: PlacementRequest
    future: asyncio.Future[Target]


class AdmissionQueue:
    """Assigns requests to targets, queueing them while no target has capacity.

    Args:
      timer: the timer service.
      table: the targets.
      cold_allowance: returns the requests per second that this process may send to a
        cold target of a service.
      on_placed: called with the request and the target of each placement.
      random_source: breaks ties between targets.
      new_queue: creates the queue of a service.
      on_abandoned: called with the request and the target of a placement whose caller
        was cancelled before it got it.
      choose: chooses among targets; see `choose_target`.

    Attributes:
      expected_wait_s: returns how long a request waits behind some of its priority.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        cold_allowance: Callable[[Service], float],
        on_placed: Callable[[PlacementRequest, Target], None],
        random_source: random.Random,
        new_queue: Callable[[], FairQueue[Any]] = FairQueue,
        on_abandoned: Callable[[PlacementRequest, Target], None] = keep_placement,
        choose: ChooseTarget = choose_target,
    ) -> None:
        self._choose_target = choose
        self._new_queue = new_queue
        self._on_abandoned = on_abandoned
        self._timer = timer
        self._table = table
        self._cold_allowance = cold_allowance
        self._on_placed = on_placed
        self._random = random_source
        self._limited = LimitedTargets(timer, table)
        # By service, and whether the requests wait for permits of targets with a limit
        # while the service has others.
        self._queues: dict[tuple[str, bool], FairQueue[_Waiter]] = {}
        self._last_queued_s: dict[str, float] = {}
        self.expected_wait_s: Callable[[PlacementRequest, int], float] = no_wait
        # Since when a service has had no target, by its name.
        self._no_target_since_s: dict[str, float] = {}

    def is_congested(self, service: str) -> bool:
        """Return whether requests to a service were queued recently."""
        last_queued_s = self._last_queued_s.get(service, float("-inf"))
        return self._timer.now_s() - last_queued_s < CONGESTED_FOR_S

    def count_ahead(self, request: PlacementRequest) -> int:
        """Return how many queued requests would be served before a request."""
        queue = self._queues.get(self._queue_key(request))
        return queue.count_ahead(_sort_key(queue, request)) if queue else 0

    def count_peers_ahead(self, request: PlacementRequest) -> int:
        """Return how many of them have the same priority."""
        queue = self._queues.get(self._queue_key(request))
        return queue.count_peers_ahead(_sort_key(queue, request)) if queue else 0

    def queue_length(self) -> int:
        """Return the number of queued requests of all services."""
        return sum(map(len, self._queues.values()))

    def try_place(self, request: PlacementRequest) -> Target | None:
        """Place a request if a target has capacity now, else return None."""
        service = request.service
        targets = self._table.candidates(service.name, request.excluded, request.pool)
        if service.cold_requests_per_s > 0:
            allowance = self._cold_allowance(service)
            targets = [t for t in targets if self._table.may_send_now(t, allowance)]
        target = self._choose(request, targets)
        if target is None or not self._table.permits.take(target.info.incarnation):
            return None
        self._on_placed(request, target)
        return target

    def _choose(
        self, request: PlacementRequest, targets: list[Target]
    ) -> Target | None:
        """Return the best target that may be sent a request now, or None.

        A permit is requested only where the request would queue otherwise, since a
        permit that is not used is lost.
        """
        service = request.service
        allowed = self._limited.with_permit(targets)
        if len(allowed) < len(targets) and not any(map(_has_free_slot, allowed)):
            limited = self._limited.requestable(service.name, targets)
            best = self._least_cost(request, limited)
            if best is not None:
                count = 1 + len(self._queues.get(self._queue_key(request), ()))
                incarnation = best.info.incarnation
                self._table.permits.request(service.name, incarnation, count)
                return None
        return self._least_cost(request, allowed)

    def _least_cost(
        self, request: PlacementRequest, targets: list[Target]
    ) -> Target | None:
        return self._choose_target(
            targets,
            request.service,
            request.demand,
            self._table.data_centre,
            self._random,
        )

    def try_canary(self, request: PlacementRequest, route: str) -> Target | None:
        """Place a request at a new version if one more may go there; at the leader."""
        versions, service = self._table.versions, request.service.name
        pool = versions.canary_pool(service, route)
        if pool is None:
            return None
        target = self.try_place(attrs.evolve(request, pool=pool))
        if target is not None:
            versions.use_canary(service, route)
        return target

    async def place(self, request: PlacementRequest) -> Target:
        """Place a request, waiting in the queue if necessary.

        Raises:
          NoRoomError: the queue is full, or no target had capacity in time.
          NotLeaderError: `release_waiting` was called meanwhile.
        """
        service = request.service.name
        queue_key = self._queue_key(request)
        queue = self._queues.get(queue_key)
        if queue is None:
            queue = self._queues[queue_key] = self._new_queue()
        sort_key = _sort_key(queue, request)
        if not queue.count_ahead(sort_key):
            target = self.try_place(request)
            if target is not None:
                queue.note_served(sort_key[1])
                return target
        self._refuse_if_paused(request)
        error = self._limit_refusal(request, queue.count_ahead(sort_key))
        if error is not None:
            raise error
        max_wait_s = request.wait_until_s - self._timer.now_s()
        no_target_wait_s = self._no_target_wait_s(service)
        if no_target_wait_s <= 0:
            raise NoRoomError("no target")
        max_wait_s = min(max_wait_s, no_target_wait_s)
        if max_wait_s <= 0:
            raise NoRoomError("no room in time")
        count = len(self._table.candidates(service, ()))
        if len(queue) >= MAX_QUEUED_PER_TARGET * max(1, count):
            raise NoRoomError("queue full")
        self._last_queued_s[service] = self._timer.now_s()
        waiter = _Waiter(request, asyncio.get_running_loop().create_future())
        item = queue.push(request.priority, request.flow, request.cost, waiter)
        try:
            return await self._timer.wait_for(asyncio.shield(waiter.future), max_wait_s)
        except errors.DeadlineExceededError:
            if waiter.future.done():
                return waiter.future.result()
            raise NoRoomError("waited in vain") from None
        except asyncio.CancelledError:
            future = waiter.future
            is_placed = future.done() and not future.cancelled()
            if is_placed and future.exception() is None:
                self._on_abandoned(request, future.result())
            raise
        finally:
            if not waiter.future.done():
                waiter.future.cancel()
            queue.remove(item)

    def _queue_key(self, request: PlacementRequest) -> tuple[str, bool]:
        """Return which queue a request waits in.

        A retry whose targets are limited has a queue of its own, since it would hold up
        requests that other targets can take.
        """
        service = request.service.name
        is_limited = bool(request.excluded) and self._limited.are_limited(
            self._table.candidates(service, request.excluded)
        )
        return service, is_limited

    def _no_target_wait_s(self, service: str) -> float:
        """Return how long to wait for the first target; infinite if there is one.

        When all targets of a service have left or are evacuated, the first requests
        wait for a change of the list that is on its way, and later ones are refused at
        once.
        """
        if self._table.has_targets(service):
            self._no_target_since_s.pop(service, None)
            return float("inf")
        now_s = self._timer.now_s()
        since_s = self._no_target_since_s.setdefault(service, now_s)
        return NO_TARGET_WAIT_S - (now_s - since_s)

    def _refuse_if_paused(self, request: PlacementRequest) -> None:
        """Refuse a request if all targets want none for longer than it can wait."""
        pause_end_s = self._table.pause_end_s(request.service.name)
        if pause_end_s is not None and pause_end_s > request.wait_until_s:
            raise NoRoomError("all targets paused", pause_end_s - self._timer.now_s())

    def _limit_refusal(
        self, request: PlacementRequest, ahead: int
    ) -> NoRoomError | None:
        """Return why a request can get no permit in time; None if it may get one.

        Args:
          request: the request.
          ahead: queued requests that get a permit before it.
        """
        service = request.service.name
        targets = self._table.candidates(service, request.excluded)
        wait_s = self._limited.expected_wait_s(targets, ahead)
        now_s = self._timer.now_s()
        if wait_s is None or now_s + wait_s <= request.wait_until_s:
            return None
        pause_ends_s = self._table.pause_ends_s(service)
        if pause_ends_s and min(pause_ends_s) <= request.wait_until_s:
            return None
        after_s = self._limited.return_after_s(service, targets)
        return NoRoomError("all targets limited", after_s)

    def admit_waiting(self) -> None:
        """Place queued requests in order until no target has capacity."""
        for queue in self._queues.values():
            while queue:
                waiter = queue.peek()
                if not waiter.future.done():
                    target = self.try_place(waiter.request)
                    if target is not None:
                        waiter.future.set_result(target)
                    else:
                        error = self._limit_refusal(waiter.request, 0)
                        if error is None:
                            break
                        waiter.future.set_exception(error)
                queue.pop()
            self._refuse_hopeless(queue)

    def _refuse_hopeless(self, queue: FairQueue[_Waiter]) -> None:
        """Refuse queued requests whose turn will come too late, as it is known now.

        Answers the load of a burst during which engines are taken away: turns come
        later than expected when the requests were queued. The first of each priority
        keeps its place.
        """
        now_s = self._timer.now_s()
        ahead: dict[int, int] = {}
        for waiter in queue.in_order():
            request = waiter.request
            if waiter.future.done():
                continue
            peers = ahead.get(request.priority, 0)
            ahead[request.priority] = peers + 1
            wait_s = self.expected_wait_s(request, peers)
            if peers and now_s + wait_s > request.wait_until_s:
                waiter.future.set_exception(NoRoomError("would wait in vain"))
                ahead[request.priority] = peers

    def release_waiting(self) -> None:
        """End the wait of all queued requests, which another VM can place."""
        for queue in self._queues.values():
            while queue:
                waiter = queue.pop()
                if not waiter.future.done():
                    waiter.future.set_exception(errors.NotLeaderError())


def _has_free_slot(target: Target) -> bool:
    return target.total_requests < target.info.slots


def _sort_key(queue: FairQueue[_Waiter], request: PlacementRequest) -> SortKey:
    return queue.sort_key_of(request.priority, request.flow, request.cost)
