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

__all__ = ["FairQueue", "Flow", "Order"]

T = TypeVar("T")
# The priority, the tag, and whether the caller comes for the first time.
Order = tuple[int, float, bool]


@attrs.frozen
class Flow:
    """Requests that share one part of the engine time.

    Attributes:
      organisation: who sends them.
      comes_back: whether their callers were refused before.
    """

    organisation: str
    comes_back: bool


@attrs.define(eq=False)
class _Item(Generic[T]):
    order: Order
    number: int
    value: T

    def __lt__(self, other: Any) -> bool:
        return (self.order, self.number) < (other.order, other.number)


class FairQueue(Generic[T]):
    """Waiting requests: the more urgent first, then by the tags of their flows."""

    def __init__(self) -> None:
        self._items: list[_Item[T]] = []
        self._numbers = itertools.count()
        self._clock = 0.0
        self._tags: dict[Flow, float] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __bool__(self) -> bool:
        return bool(self._items)

    def order_of(self, priority: int, flow: Flow, cost: float) -> Order:
        """Return where a request would stand: its priority, its tag, its past."""
        tag = max(self._clock, self._tags.get(flow, 0.0)) + cost
        return priority, tag, not flow.comes_back

    def ahead_of(self, order: Order) -> int:
        """Return how many go before a request with an order."""
        return sum(item.order <= order for item in self._items)

    def push(self, priority: int, flow: Flow, cost: float, value: T) -> _Item[T]:
        """Add a request; return what `remove` takes."""
        order = self.order_of(priority, flow, cost)
        item = _Item(order, next(self._numbers), value)
        self._tags[flow] = order[1]
        heapq.heappush(self._items, item)
        return item

    def remove(self, item: _Item[T]) -> None:
        """Drop a request that waits no longer."""
        if item in self._items:
            self._items.remove(item)
            heapq.heapify(self._items)

    def first(self) -> T:
        """Return the request that is next."""
        return self._items[0].value

    def pop(self) -> T:
        """Take the request that is next; it is served now."""
        item = heapq.heappop(self._items)
        self.note_served(item.order[1])
        return item.value

    def note_served(self, tag: float) -> None:
        """Move the clock on to the tag of a request that is served."""
        self._clock = max(self._clock, tag)
        if not self._items:
            # Nobody waits: past shares do not count against anybody.
            self._tags.clear()
