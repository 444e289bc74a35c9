"""The order in which waiting requests get their places.

Answers the pattern of an overload that lasts: some organisations send most of the
load, long generations hold an engine's memory many times longer than short ones, and
callers who were refused come back while others keep coming. Self-clocked fair
queueing gives each flow the same share of engine time: a request's tag is what its
flow will have taken once it is served. A flow that asks for less goes first, and no
flow waits for ever, since the tags of all others grow.
"""

from __future__ import annotations

import heapq
import itertools
from typing import Any, Generic, TypeVar

import attrs

__all__ = ["FairQueue", "Flow", "SortKey"]

T = TypeVar("T")
# The priority, the tag, and whether the caller comes for the first time.
SortKey = tuple[int, float, bool]


@attrs.frozen
class Flow:
    """Requests that share one part of the engine time.

    Attributes:
      organisation: who sends them.
      was_refused: whether their callers were refused before.
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
    """Waiting requests: the more urgent first, then by the tags of their flows."""

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
        """Return where a request would stand: its priority, its tag, its past."""
        finish_tag = max(self._virtual_time, self._finish_tags.get(flow, 0.0)) + cost
        return priority, finish_tag, not flow.was_refused

    def count_ahead(self, sort_key: SortKey) -> int:
        """Return how many go before a request with an order."""
        return sum(item.sort_key <= sort_key for item in self._items)

    def push(self, priority: int, flow: Flow, cost: float, value: T) -> _Item[T]:
        """Add a request; return what `remove` takes."""
        sort_key = self.sort_key_of(priority, flow, cost)
        item = _Item(sort_key, next(self._sequences), value)
        self._finish_tags[flow] = sort_key[1]
        heapq.heappush(self._items, item)
        return item

    def remove(self, item: _Item[T]) -> None:
        """Drop a request that waits no longer."""
        if item in self._items:
            self._items.remove(item)
            heapq.heapify(self._items)

    def peek(self) -> T:
        """Return the request that is next."""
        return self._items[0].value

    def pop(self) -> T:
        """Take the request that is next; it is served now."""
        item = heapq.heappop(self._items)
        self.note_served(item.sort_key[1])
        return item.value

    def note_served(self, finish_tag: float) -> None:
        """Move the clock on to the tag of a request that is served."""
        self._virtual_time = max(self._virtual_time, finish_tag)
        if not self._items:
            # Nobody waits: past shares do not count against anybody.
            self._finish_tags.clear()
