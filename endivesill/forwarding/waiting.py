"""Requests that wait at this entry for room at a target."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random

import attrs

from endivesill import errors
from endivesill.forwarding.call import Call
from endivesill.forwarding.placement import READ_TOKENS_PER_S, choose_target
from endivesill.forwarding.targets import Target, TargetTable
from endivesill.timer import TimerService

__all__ = ["Admission", "NoRoomError", "latest_start_s", "retry_after_s"]

# Retry-After for a caller whose request found no room: engines give room back
# as generations end, some each second.
RETRY_AFTER_S = 1.0
# Spread of Retry-After, so that refused callers do not return together.
RETRY_SPREAD = 0.5
# Waiting requests for each target, beyond which a new one is refused at once.
WAITERS_PER_TARGET = 16


class NoRoomError(errors.EndivesillError):
    """No target can take the request in its time; it was not sent.

    Attributes:
      reason: why, in a word or two for logs and metrics.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@attrs.define(eq=False)
class _Waiter:
    call: Call
    future: asyncio.Future[Target]


def latest_start_s(call: Call) -> float:
    """Return until when it is worth to wait for a place.

    Answers the pattern of a burst: an answer that begins after its target
    latency helps its caller less than another caller's answer in time, so the
    wait ends when the first answer would be late.
    """
    read_s = call.need.prompt_tokens / READ_TOKENS_PER_S
    latest_s = call.on_time_s - read_s - 0.1 * call.route.target_latency_s
    return min(max(latest_s, call.received_s), call.end_s)


def retry_after_s(spread: float) -> float:
    """Return when a refused caller should come back.

    Args:
      spread: a number from 0 to 1, drawn anew for each caller.
    """
    return RETRY_AFTER_S * (1 + RETRY_SPREAD * spread)


class Admission:
    """Gives each request a target, at once or after a wait.

    Args:
      timer: the timer service.
      table: the targets.
      cold_bounds: factor and slack on the rate that a cold target bears.
    """

    def __init__(
        self,
        timer: TimerService,
        table: TargetTable,
        cold_bounds: tuple[float, float],
        random_source: random.Random,
    ) -> None:
        self._timer = timer
        self._table = table
        self._cold_bounds = cold_bounds
        self._random = random_source
        self._queues: dict[str, list[tuple[int, float, int, _Waiter]]] = {}
        self._numbers = itertools.count()

    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._queues.values()))

    def try_place(self, call: Call) -> Target | None:
        """Reserve a place at a target, if one has room now."""
        service = call.service
        targets = self._table.candidates(service.name, call.excluded)
        if service.cold_requests_per_s > 0:
            allowance = self._table.cold_allowance(service, *self._cold_bounds)
            targets = [t for t in targets if self._table.may_send_now(t, allowance)]
        target = choose_target(
            targets, service, call.need, self._table.data_centre, self._random
        )
        if target is not None:
            reserve(target, call)
        return target

    async def place(self, call: Call) -> Target:
        """Return a target with a place reserved for a request.

        Raises:
          NoRoomError: none will have room in time.
        """
        queue = self._queues.setdefault(call.service.name, [])
        if not queue or call.priority < queue[0][0]:
            target = self.try_place(call)
            if target is not None:
                return target
        began_s = self._timer.now_s()
        left_s = latest_start_s(call) - began_s
        if left_s <= 0:
            raise NoRoomError("no room in time")
        if not self._table.has_targets(call.service.name):
            left_s = min(left_s, call.route.target_latency_s / 8)
        count = len(self._table.candidates(call.service.name, ()))
        if len(queue) >= WAITERS_PER_TARGET * max(1, count):
            raise NoRoomError("queue full")
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(call, future)
        heapq.heappush(
            queue, (call.priority, call.on_time_s, next(self._numbers), waiter)
        )
        try:
            return await self._timer.wait_for(asyncio.shield(future), left_s)
        except errors.DeadlineExceededError:
            if future.done():
                return future.result()
            raise NoRoomError("waited in vain") from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                release(future.result(), call)
            raise
        finally:
            call.waited_s += self._timer.now_s() - began_s
            if not future.done():
                future.cancel()
            self._queues[call.service.name] = [
                item
                for item in self._queues[call.service.name]
                if item[3] is not waiter
            ]
            heapq.heapify(self._queues[call.service.name])

    def serve_waiters(self) -> None:
        """Give places to waiting requests, the most urgent first."""
        for queue in self._queues.values():
            for item in sorted(queue):
                waiter = item[3]
                if waiter.future.done():
                    continue
                target = self.try_place(waiter.call)
                if target is None:
                    break
                waiter.future.set_result(target)


def reserve(target: Target, call: Call) -> None:
    """Count a request as under way at a target."""
    target.requests += 1
    target.reserved_tokens += call.need.memory_tokens
    target.unread_tokens += call.need.prompt_tokens


def note_first_event(target: Target, call: Call) -> None:
    """Count the prompt of a request as read."""
    target.unread_tokens -= call.need.prompt_tokens


def release(target: Target, call: Call, *, read: bool = False) -> None:
    """Count a request as no longer under way.

    Args:
      target: where it was.
      call: the request.
      read: whether its prompt was counted as read.
    """
    target.requests -= 1
    target.reserved_tokens -= call.need.memory_tokens
    if not read:
        target.unread_tokens -= call.need.prompt_tokens
