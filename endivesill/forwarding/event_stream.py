"""Splits a byte stream of server-sent events into events."""

from __future__ import annotations

import attrs

from endivesill.http1 import UpstreamError

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "StreamEvent"]

END = b"\n\n"
# Longest event; engines send a few tokens with each.
MAX_EVENT_BYTES = 262_144


@attrs.frozen
class StreamEvent:
    """One server-sent event.

    Attributes:
      event_id: its numeric id; None without one.
      data: its bytes, including the empty line at its end.
    """

    event_id: int | None
    data: bytes


class EventSplitter:
    """Incremental splitter of a byte stream.

    Attributes:
      remainder: bytes of the last, incomplete event.
    """

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises:
          UpstreamError: an event is longer than `MAX_EVENT_BYTES`.
        """
        *complete, self.remainder = (self.remainder + data).split(END)
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise UpstreamError("an event is too long", sent=True)
        return [StreamEvent(_event_id(block), block + END) for block in complete]


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
