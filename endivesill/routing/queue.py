"""Queues of requests that wait for a target, with estimates of the wait.

`FairQueue` shares the capacity between organisations by token cost and weight
(start-time fair queuing within each priority) and ages waiting requests so that
lower priorities are not starved. `FifoQueue` is the baseline.
"""

from __future__ import annotations

import asyncio
import collections
import heapq
import itertools
import math
from collections.abc import Iterator

import attrs

from endivesill.routing.messages import Grant, RouteRequest

__all__ = ["BacklogThroughput", "FairQueue", "FifoQueue", "Waiter", "WaitQueue"]

AGING_S_PER_LEVEL = 2.0
THROUGHPUT_WINDOW_S = 10.0
THROUGHPUT_MINIMUM_S = 2.0


@attrs.define(eq=False)
class Waiter:
    """A waiting request.

    Attributes:
      request: the request.
      cost_tokens: its cost in the queue.
      enqueued_s: when it arrived.
      future: resolved with the grant or the refusal.
      start_tag: its virtual start time in start-time fair queuing.
      sequence_number: its order of arrival in the queue.
      refused_s: when it was refused.
      queued: whether it is in a fair queue.
    """

    request: RouteRequest
    cost_tokens: float
    enqueued_s: float
    future: asyncio.Future[Grant]
    start_tag: float = 0.0
    sequence_number: int = 0
    refused_s: float = 0.0
    queued: bool = False


class BacklogThroughput:
    """Recent throughput while requests were waiting, with exponential decay."""

    def __init__(self) -> None:
        self._cost_tokens = 0.0
        self._busy_s = 0.0

    def observe(self, cost_tokens: float, busy_s: float) -> None:
        """Record the cost served during a time in which requests were waiting."""
        if busy_s > 0:
            decay = math.exp(-busy_s / THROUGHPUT_WINDOW_S)
            self._cost_tokens *= decay
            self._busy_s = self._busy_s * decay + busy_s
        self._cost_tokens += cost_tokens

    def tokens_per_s(self, next_tokens: float) -> float | None:
        """Return the throughput, or None without enough observations.

        Args:
          next_tokens: cost of the request to be served next. It counts as served,
            so that a short stall does not bring the estimate down to zero.
        """
        if self._busy_s < THROUGHPUT_MINIMUM_S:
            return None
        return (self._cost_tokens + next_tokens) / self._busy_s


class WaitQueue:
    """Base of the queues; waits cannot be estimated unless a queue overrides it."""

    def __len__(self) -> int:
        """Return the number of waiters."""
        raise NotImplementedError

    def push(self, waiter: Waiter, limit: int) -> Waiter | None:
        """Add a waiter; return the one that is rejected if the queue is full."""
        raise NotImplementedError

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter, if it is queued."""
        raise NotImplementedError

    def heads(self, now_s: float) -> list[Waiter]:
        """Return the waiters that may be served next, in order."""
        raise NotImplementedError

    def served(self, waiter: Waiter, now_s: float) -> None:
        """Remove a waiter that is being served."""
        raise NotImplementedError

    def wait_s(self, waiter: Waiter, now_s: float) -> float | None:
        """Estimate the wait of a waiter that arrives; None if unknown."""
        return None

    def estimates(self, now_s: float) -> list[tuple[Waiter, float | None]]:
        """Return all waiters with their estimated waits; None if unknown.

        A waiter that would miss its deadline does not delay those behind it.
        """
        return [(waiter, None) for waiter in self]

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over all waiters."""
        raise NotImplementedError


class FifoQueue(WaitQueue):
    """First in, first out; makes no estimates."""

    def __init__(self) -> None:
        self._waiters: collections.OrderedDict[int, Waiter] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over all waiters."""
        return iter(list(self._waiters.values()))

    def push(self, waiter: Waiter, limit: int) -> Waiter | None:
        """Add a waiter unless the queue is full."""
        if len(self._waiters) >= limit:
            return waiter
        self._waiters[id(waiter)] = waiter
        return None

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter."""
        self._waiters.pop(id(waiter), None)

    def heads(self, now_s: float) -> list[Waiter]:
        """Return the oldest waiter."""
        return [next(iter(self._waiters.values()))] if self._waiters else []

    def served(self, waiter: Waiter, now_s: float) -> None:
        """Remove the waiter."""
        self.remove(waiter)


class _PriorityLevel:
    """The waiters of one priority."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Waiter]] = []
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.backlogs: dict[str, float] = {}
        self.throughput = BacklogThroughput()
        self.count = 0
        self.observed_s = 0.0

    def head(self) -> Waiter | None:
        while self.heap and not self.heap[0][2].queued:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class FairQueue(WaitQueue):
    """Fair queue over organisations, with priority aging.

    When it is full, the newest waiter of lowest priority of the organisation with
    the largest weighted backlog is rejected.
    """

    def __init__(self) -> None:
        self._levels: dict[int, _PriorityLevel] = {}
        self._sequence_numbers = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of waiters."""
        return self._count

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over all waiters."""
        for level in self._levels.values():
            yield from [w for _, _, w in level.heap if w.queued]

    def push(self, waiter: Waiter, limit: int) -> Waiter | None:
        """Add a waiter; return the one that is rejected if the queue is full."""
        victim = None
        if self._count >= limit:
            victim = self._victim(waiter)
            if victim is waiter:
                return waiter
            self.remove(victim)
        self._add(waiter)
        return victim

    def _add(self, waiter: Waiter) -> None:
        level = self._levels.setdefault(waiter.request.priority, _PriorityLevel())
        name = waiter.request.organisation.name
        weight = waiter.request.organisation.weight
        if not level.count:
            level.observed_s = waiter.enqueued_s
            level.finish_tags.clear()
        start = max(level.virtual_time, level.finish_tags.get(name, 0.0))
        level.finish_tags[name] = start + waiter.cost_tokens / weight
        waiter.start_tag = start
        waiter.sequence_number = next(self._sequence_numbers)
        waiter.queued = True
        heapq.heappush(level.heap, (start, waiter.sequence_number, waiter))
        level.backlogs[name] = level.backlogs.get(name, 0.0) + waiter.cost_tokens
        level.count += 1
        self._count += 1

    def _victim(self, waiter: Waiter) -> Waiter:
        shares: dict[str, float] = {}
        weights = {waiter.request.organisation.name: waiter.request.organisation.weight}
        waiters = [*self, waiter]
        for other in waiters:
            organisation = other.request.organisation
            weights[organisation.name] = organisation.weight
            share = other.cost_tokens / organisation.weight
            shares[organisation.name] = shares.get(organisation.name, 0.0) + share
        largest = max(shares, key=lambda name: (shares[name], name))
        own = [w for w in waiters if w.request.organisation.name == largest]
        return max(
            own, key=lambda w: (w.request.priority, w.enqueued_s, w.sequence_number)
        )

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that was not served; its cost is not charged."""
        if not waiter.queued:
            return
        name = waiter.request.organisation.name
        level = self._levels[waiter.request.priority]
        weight = waiter.request.organisation.weight
        level.finish_tags[name] -= waiter.cost_tokens / weight
        self._discard(level, waiter)

    def _discard(self, level: _PriorityLevel, waiter: Waiter) -> None:
        waiter.queued = False
        self._count -= 1
        level.count -= 1
        name = waiter.request.organisation.name
        level.backlogs[name] -= waiter.cost_tokens
        if level.backlogs[name] <= 1e-6:
            del level.backlogs[name]
        if len(level.heap) > 2 * level.count + 16:
            level.heap = [entry for entry in level.heap if entry[2].queued]
            heapq.heapify(level.heap)

    def heads(self, now_s: float) -> list[Waiter]:
        """Return the head of each priority, ordered by priority less aging."""
        found = []
        for priority, level in self._levels.items():
            head = level.head()
            if head is not None:
                aged = priority - (now_s - head.enqueued_s) / AGING_S_PER_LEVEL
                found.append((aged, priority, head))
        found.sort(key=lambda entry: entry[:2])
        return [head for _, _, head in found]

    def served(self, waiter: Waiter, now_s: float) -> None:
        """Remove a waiter that is being served and advance the virtual time."""
        level = self._levels[waiter.request.priority]
        level.virtual_time = max(level.virtual_time, waiter.start_tag)
        level.throughput.observe(waiter.cost_tokens, now_s - level.observed_s)
        level.observed_s = now_s
        self._discard(level, waiter)

    def wait_s(self, waiter: Waiter, now_s: float) -> float | None:
        """Estimate the wait of a request that arrives.

        Of each organisation's backlog, at most as much counts as the request's own
        organisation has queued, this request included.
        """
        level = self._levels.get(waiter.request.priority)
        if level is None or not level.count:
            return 0.0
        throughput = self._tokens_per_s(level, now_s, waiter.cost_tokens)
        if throughput is None:
            return None
        own = level.backlogs.get(waiter.request.organisation.name, 0.0)
        bound = own + waiter.cost_tokens
        ahead = sum(min(backlog, bound) for backlog in level.backlogs.values())
        return ahead / throughput

    def estimates(self, now_s: float) -> list[tuple[Waiter, float | None]]:
        """Return all waiters with their estimated waits."""
        found: list[tuple[Waiter, float | None]] = []
        for level in self._levels.values():
            if not level.count:
                continue
            ahead = 0.0
            for _, _, waiter in sorted(level.heap, key=lambda entry: entry[:2]):
                if not waiter.queued:
                    continue
                throughput = self._tokens_per_s(level, now_s, waiter.cost_tokens)
                wait_s = None if throughput is None else ahead / throughput
                found.append((waiter, wait_s))
                if wait_s is None or now_s + wait_s <= waiter.request.deadline_s:
                    ahead += waiter.cost_tokens
        return found

    def _tokens_per_s(
        self, level: _PriorityLevel, now_s: float, next_tokens: float
    ) -> float | None:
        level.throughput.observe(0.0, now_s - level.observed_s)
        level.observed_s = now_s
        return level.throughput.tokens_per_s(next_tokens)
