"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

END = b"\n\n"


@attrs.frozen
class StreamEvent:
    """One event.

    Attributes:
      event_id: its id; None if it has none.
      data: all its bytes, with the empty line.
    """

    event_id: int | None
    data: bytes


class EventSplitter:
    """Takes bytes and gives whole events.

    Attributes:
      remainder: the bytes of an event that is not complete.
    """

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with these bytes."""
        *complete, self.remainder = (self.remainder + data).split(END)
        return [StreamEvent(_event_id(block), block + END) for block in complete]


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
