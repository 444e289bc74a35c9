"""A checker of recorded histories of one register with compare-and-set.

The search of Wing and Gong with the memory of Lowe: an operation may come next
if no other one that is left has ended before it began.
"""

from __future__ import annotations

import math
from typing import Any

import attrs

__all__ = ["Operation", "is_linearizable"]


@attrs.define
class Operation:
    """One call as its client saw it.

    Attributes:
      kind: `put`, `get` or `swap`.
      arguments: what was written, or the old and the new value.
      began_s: when it was called.
      ended_s: when it was answered; infinity if the outcome is unknown.
      result: what was answered; None if the outcome is unknown.
    """

    kind: str
    arguments: tuple[Any, ...]
    began_s: float
    ended_s: float = math.inf
    result: Any = None


def _step(operation: Operation, value: Any) -> tuple[bool, Any]:
    """Return whether the result fits a value, and the value afterwards."""
    known = operation.ended_s != math.inf
    if operation.kind == "get":
        return not known or operation.result == value, value
    if operation.kind == "put":
        return True, operation.arguments[0]
    old, new = operation.arguments
    swapped = value == old
    fits = not known or operation.result == swapped
    return fits, new if swapped else value


def is_linearizable(history: list[Operation], first: Any = None) -> bool:
    """Tell whether some order of the calls explains all answers.

    A call of unknown outcome whose value nobody has seen may never have run;
    without these calls the search is short.
    """
    seen = {o.result for o in history if o.kind == "get"}
    seen |= {o.arguments[0] for o in history if o.kind == "swap"}
    likely = [
        o
        for o in history
        if o.ended_s != math.inf or (o.kind != "get" and o.arguments[-1] in seen)
    ]
    return _search(likely, first) or _search(history, first)


def _search(history: list[Operation], first: Any) -> bool:
    seen: set[tuple[frozenset[int], Any]] = set()
    stack = [(frozenset(range(len(history))), first)]
    while stack:
        left, value = stack.pop()
        if (left, value) in seen:
            continue
        seen.add((left, value))
        if all(history[i].ended_s == math.inf for i in left):
            return True
        earliest_end_s = min(history[i].ended_s for i in left)
        # The stack takes the last one first: calls that ended early go before
        # those whose outcome is unknown.
        for i in sorted(left, key=lambda i: -history[i].ended_s):
            if history[i].began_s > earliest_end_s:
                continue
            fits, after = _step(history[i], value)
            if fits:
                stack.append((left - {i}, after))
    return False
