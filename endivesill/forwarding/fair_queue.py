"""Fair queueing of requests that wait for capacity.

Under sustained overload a few organisations may send most of the load, long generations
hold the KV cache many times longer than short ones, and refused callers retry while new
requests arrive. Self-clocked fair queueing gives each flow an equal share of engine
time: a request is tagged with the virtual time at which its flow would finish it. Flows
that use less are served earlier, and no flow starves because the finish tags of all
others keep growing.
"""

from __future__ import annotations

import heapq
import itertools
from typing import Any, Generic, TypeVar

import attrs

__all__ = ["FairQueue", "Flow", "SortKey"]

T = TypeVar("T")
# Priority, finish tag, and whether the request is not a retry after a refusal.
SortKey = tuple[int, float, bool]


@attrs.frozen
class Flow:
    """Requests that together get one share of engine time.

    Attributes:
      organisation: the organisation that sends them.
      was_refused: whether they are retries after a refusal.
    """

    organisation: str
    was_refused: bool


@attrs.define(eq=False)
class _Item(Generic[T]):
    sort_key: SortKey
    sequence: int
    value: T

    def __lt__(self, other: Any) -> bool:
        return (self.sort_key, self.sequence) < (other.sort_key, other.sequence)


class FairQueue(Generic[T]):
    """Queue ordered by priority, then by finish tag."""

    def __init__(self) -> None:
        self._items: list[_Item[T]] = []
        self._sequences = itertools.count()
        self._virtual_time = 0.0
        self._finish_tags: dict[Flow, float] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __bool__(self) -> bool:
        return bool(self._items)

    def sort_key_of(self, priority: int, flow: Flow, cost: float) -> SortKey:
        """Return the sort key that a request would get; the queue is unchanged."""
        finish_tag = max(self._virtual_time, self._finish_tags.get(flow, 0.0)) + cost
        return priority, finish_tag, not flow.was_refused

    def count_ahead(self, sort_key: SortKey) -> int:
        """Return how many queued requests are served before a sort key."""
        return sum(item.sort_key <= sort_key for item in self._items)

    def count_peers_ahead(self, sort_key: SortKey) -> int:
        """Return how many of the same priority are served before a sort key."""
        return sum(
            item.sort_key <= sort_key and item.sort_key[0] == sort_key[0]
            for item in self._items
        )

    def in_order(self) -> list[T]:
        """Return the requests in the order in which they are served."""
        return [item.value for item in sorted(self._items)]

    def push(self, priority: int, flow: Flow, cost: float, value: T) -> _Item[T]:
        """Add a request; return the handle for `remove`."""
        sort_key = self.sort_key_of(priority, flow, cost)
        item = _Item(sort_key, next(self._sequences), value)
        self._finish_tags[flow] = sort_key[1]
        heapq.heappush(self._items, item)
        return item

    def remove(self, item: _Item[T]) -> None:
        """Remove a request that no longer waits; no effect if it is not queued."""
        if item in self._items:
            self._items.remove(item)
            heapq.heapify(self._items)

    def peek(self) -> T:
        """Return the next request without removing it."""
        return self._items[0].value

    def pop(self) -> T:
        """Remove and return the next request, and advance the virtual time."""
        item = heapq.heappop(self._items)
        self.note_served(item.sort_key[1])
        return item.value

    def note_served(self, finish_tag: float) -> None:
        """Advance the virtual time to the finish tag of a served request."""
        self._virtual_time = max(self._virtual_time, finish_tag)
        if not self._items:
            # An empty queue starts anew: earlier service does not count against a flow.
            self._finish_tags.clear()
