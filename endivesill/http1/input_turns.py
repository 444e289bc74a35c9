"""Shares a listener's time among connections whose input is costly to parse."""

from __future__ import annotations

import asyncio
import collections
from typing import Protocol

__all__ = ["InputTurns", "TurnTaker"]


class TurnTaker(Protocol):
    """A connection that waits to go on with its input."""

    def take_turn(self) -> None:
        """Handle the next part of the input."""


class InputTurns:
    """Connections that go on with their input, one in each turn of the event loop.

    Requests in very many pieces cost far more time for each byte than others. Without
    turns, a few of them would hold up all other connections of the process.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[TurnTaker] = collections.deque()

    def wait(self, connection: TurnTaker) -> None:
        """Call `take_turn` of a connection when it is its turn."""
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._take_next)

    def _take_next(self) -> None:
        connection = self._waiting[0]
        try:
            connection.take_turn()
        finally:
            self._waiting.popleft()
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._take_next)
