"""Queues of requests that wait for a target, with an estimate of the wait.

`FairQueue` is fair between organisations by token cost and weight (start-time
fair queuing in each priority) and lets long waits overtake higher priorities.
`FifoQueue` is the baseline.
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

__all__ = ["DrainRate", "FairQueue", "FifoQueue", "Waiter", "WaitQueue"]

AGING_S = 2.0
DRAIN_WINDOW_S = 10.0
DRAIN_MINIMUM_S = 2.0


@attrs.define(eq=False)
class Waiter:
    """A request that waits.

    Attributes:
      request: what is asked.
      cost_tokens: what it counts for in the queue.
      enqueued_s: when it began to wait.
      future: resolved with the grant, or with the refusal.
      decided_s: when it was refused.
    """

    request: RouteRequest
    cost_tokens: float
    enqueued_s: float
    future: asyncio.Future[Grant]
    start_tag: float = 0.0
    number: int = 0
    decided_s: float = 0.0
    queued: bool = False


class DrainRate:
    """The rate at which a backlog has been served lately."""

    def __init__(self) -> None:
        self._cost_tokens = 0.0
        self._busy_s = 0.0

    def observe(self, cost_tokens: float, busy_s: float) -> None:
        """Count what was served while a backlog stood for a time."""
        if busy_s > 0:
            fade = math.exp(-busy_s / DRAIN_WINDOW_S)
            self._cost_tokens *= fade
            self._busy_s = self._busy_s * fade + busy_s
        self._cost_tokens += cost_tokens

    def tokens_per_s(self, next_tokens: float) -> float | None:
        """Return the rate, or None while too little was seen.

        Args:
          next_tokens: what will be served next; it counts as if served now, so
            that a short standstill is not taken for an end of all service.
        """
        if self._busy_s < DRAIN_MINIMUM_S:
            return None
        return (self._cost_tokens + next_tokens) / self._busy_s


class WaitQueue:
    """Base of the queues."""

    def __len__(self) -> int:
        """Return how many wait."""
        raise NotImplementedError

    def push(self, waiter: Waiter, limit: int) -> Waiter | None:
        """Add a waiter; return the one that found no place, if any."""
        raise NotImplementedError

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out; nothing happens if it is not there."""
        raise NotImplementedError

    def heads(self, now_s: float) -> list[Waiter]:
        """Return who may be served next, the first first."""
        raise NotImplementedError

    def served(self, waiter: Waiter, now_s: float) -> None:
        """Take out a waiter that is served."""
        raise NotImplementedError

    def wait_s(self, waiter: Waiter, now_s: float) -> float | None:
        """Estimate how long a waiter, queued or not, would still wait."""
        return None

    def estimates(self, now_s: float) -> list[tuple[Waiter, float | None]]:
        """Return all waiters with their estimated waits.

        A waiter that would miss its deadline does not count for those behind.
        """
        return [(waiter, None) for waiter in self]

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over all waiters."""
        raise NotImplementedError


class FifoQueue(WaitQueue):
    """First come, first served; it estimates nothing."""

    def __init__(self) -> None:
        self._waiters: collections.OrderedDict[int, Waiter] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return how many wait."""
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
        """Take a waiter out."""
        self._waiters.pop(id(waiter), None)

    def heads(self, now_s: float) -> list[Waiter]:
        """Return the oldest waiter."""
        return [next(iter(self._waiters.values()))] if self._waiters else []

    def served(self, waiter: Waiter, now_s: float) -> None:
        """Take out the waiter."""
        self.remove(waiter)


class _Level:
    """The waiters of one priority."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Waiter]] = []
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.backlogs: dict[str, float] = {}
        self.rate = DrainRate()
        self.count = 0
        self.seen_s = 0.0

    def head(self) -> Waiter | None:
        while self.heap and not self.heap[0][2].queued:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class FairQueue(WaitQueue):
    """Fair between organisations, with priorities that age.

    When it is full, the newest waiter of the organisation with the largest
    backlog for its weight gives way to a smaller one.
    """

    def __init__(self) -> None:
        self._levels: dict[int, _Level] = {}
        self._numbers = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        """Return how many wait."""
        return self._count

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over all waiters."""
        for level in self._levels.values():
            yield from [w for _, _, w in level.heap if w.queued]

    def push(self, waiter: Waiter, limit: int) -> Waiter | None:
        """Add a waiter; return the one that has to go if the queue is full."""
        victim = None
        if self._count >= limit:
            victim = self._victim(waiter)
            if victim is waiter:
                return waiter
            self.remove(victim)
        self._add(waiter)
        return victim

    def _add(self, waiter: Waiter) -> None:
        level = self._levels.setdefault(waiter.request.priority, _Level())
        name = waiter.request.organisation.name
        weight = waiter.request.organisation.weight
        if not level.count:
            level.seen_s = waiter.enqueued_s
            level.finish_tags.clear()
        start = max(level.virtual_time, level.finish_tags.get(name, 0.0))
        level.finish_tags[name] = start + waiter.cost_tokens / weight
        waiter.start_tag = start
        waiter.number = next(self._numbers)
        waiter.queued = True
        heapq.heappush(level.heap, (start, waiter.number, waiter))
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
        return max(own, key=lambda w: (w.request.priority, w.enqueued_s, w.number))

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out and give its organisation's share back."""
        if not waiter.queued:
            return
        name = waiter.request.organisation.name
        level = self._levels[waiter.request.priority]
        weight = waiter.request.organisation.weight
        level.finish_tags[name] -= waiter.cost_tokens / weight
        self._drop(level, waiter)

    def _drop(self, level: _Level, waiter: Waiter) -> None:
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
        """Return the head of each priority, by priority and time waited."""
        found = []
        for priority, level in self._levels.items():
            head = level.head()
            if head is not None:
                aged = priority - (now_s - head.enqueued_s) / AGING_S
                found.append((aged, priority, head))
        found.sort(key=lambda entry: entry[:2])
        return [head for _, _, head in found]

    def served(self, waiter: Waiter, now_s: float) -> None:
        """Take out a waiter that is served and move the virtual time on."""
        level = self._levels[waiter.request.priority]
        level.virtual_time = max(level.virtual_time, waiter.start_tag)
        level.rate.observe(waiter.cost_tokens, now_s - level.seen_s)
        level.seen_s = now_s
        self._drop(level, waiter)

    def wait_s(self, waiter: Waiter, now_s: float) -> float | None:
        """Estimate the wait of a request that arrives.

        An organisation's backlog is ahead only as far as its share goes.
        """
        level = self._levels.get(waiter.request.priority)
        if level is None or not level.count:
            return 0.0
        rate = self._rate(level, now_s, waiter.cost_tokens)
        if rate is None:
            return None
        own = level.backlogs.get(waiter.request.organisation.name, 0.0)
        bound = own + waiter.cost_tokens
        ahead = sum(min(backlog, bound) for backlog in level.backlogs.values())
        return ahead / rate

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
                rate = self._rate(level, now_s, waiter.cost_tokens)
                wait_s = None if rate is None else ahead / rate
                found.append((waiter, wait_s))
                if wait_s is None or now_s + wait_s <= waiter.request.deadline_s:
                    ahead += waiter.cost_tokens
        return found

    def _rate(self, level: _Level, now_s: float, next_tokens: float) -> float | None:
        level.rate.observe(0.0, now_s - level.seen_s)
        level.seen_s = now_s
        return level.rate.tokens_per_s(next_tokens)
