"""Linearizability checker for histories of one register with compare-and-swap.

Wing and Gong's search with Lowe's memoization: an operation may be linearized next
if no remaining operation ended before it started.
"""

from __future__ import annotations

import math
from typing import Any

import attrs

__all__ = ["Operation", "is_linearizable"]


@attrs.define
class Operation:
    """One call as observed by its client.

    Attributes:
      kind: `put`, `get` or `swap`.
      arguments: the value of a put, the old and new values of a swap.
      started_s: time of the call.
      ended_s: time of the response; infinity if the outcome is unknown.
      result: the response; None if the outcome is unknown.
    """

    kind: str
    arguments: tuple[Any, ...]
    started_s: float
    ended_s: float = math.inf
    result: Any = None


def _apply(operation: Operation, value: Any) -> tuple[bool, Any]:
    """Return whether the result is consistent with a value, and the new value."""
    is_known = operation.ended_s != math.inf
    if operation.kind == "get":
        return not is_known or operation.result == value, value
    if operation.kind == "put":
        return True, operation.arguments[0]
    old, new = operation.arguments
    swapped = value == old
    is_consistent = not is_known or operation.result == swapped
    return is_consistent, new if swapped else value


def is_linearizable(history: list[Operation], initial: Any = None) -> bool:
    """Return whether some sequential order of the calls explains all results.

    The search is first tried without calls of unknown outcome whose value was never
    observed, as it is much shorter; they need not have run.
    """
    observed = {op.result for op in history if op.kind == "get"}
    observed |= {op.arguments[0] for op in history if op.kind == "swap"}
    effective = [
        op
        for op in history
        if op.ended_s != math.inf or (op.kind != "get" and op.arguments[-1] in observed)
    ]
    return _search(effective, initial) or _search(history, initial)


def _search(history: list[Operation], initial: Any) -> bool:
    visited: set[tuple[frozenset[int], Any]] = set()
    stack = [(frozenset(range(len(history))), initial)]
    while stack:
        remaining, value = stack.pop()
        if (remaining, value) in visited:
            continue
        visited.add((remaining, value))
        if all(history[i].ended_s == math.inf for i in remaining):
            return True
        earliest_end_s = min(history[i].ended_s for i in remaining)
        # Calls are pushed in reverse order of their end, so that those that ended
        # early are tried before those of unknown outcome.
        for i in sorted(remaining, key=lambda i: -history[i].ended_s):
            if history[i].started_s > earliest_end_s:
                continue
            is_consistent, new_value = _apply(history[i], value)
            if is_consistent:
                stack.append((remaining - {i}, new_value))
    return False
