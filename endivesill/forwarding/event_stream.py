"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

END = b"\n\n"


@attrs.frozen
class StreamEvent:
    """One event.

    Attributes:
      number: its id; None if it has none.
      data: all its bytes, with the empty line.
    """

    number: int | None
    data: bytes


class EventSplitter:
    """Takes bytes and gives whole events.

    Attributes:
      rest: the bytes of an event that is not complete.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with these bytes."""
        *whole, self.rest = (self.rest + data).split(END)
        return [StreamEvent(_number(block), block + END) for block in whole]


def _number(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
