"""Splits a byte stream of server-sent events into events."""

from __future__ import annotations

import attrs

from endivesill.http1 import UpstreamError

__all__ = ["MAX_EVENT_BYTES", "EventSequence", "EventSplitter", "StreamEvent"]

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


class EventSequence:
    """The events of one stream in order, over several runs.

    Attributes:
      last_id: the id of the last event; None before the first one with an id.
    """

    def __init__(self) -> None:
        self.last_id: int | None = None

    def take_new(self, events_read: list[StreamEvent]) -> list[StreamEvent]:
        """Return the events that have not been read before, and advance past them.

        Raises:
          UpstreamError: an event is missing.
        """
        new_events = []
        for event in events_read:
            last = self.last_id
            if event.event_id is not None:
                if last is not None and event.event_id <= last:
                    continue
                if last is not None and event.event_id != last + 1:
                    raise UpstreamError(
                        f"event {event.event_id} follows {last}", sent=True
                    )
                self.last_id = event.event_id
            new_events.append(event)
        return new_events


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
