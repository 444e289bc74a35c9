"""Splits a byte stream of server-sent events into events."""

from __future__ import annotations

import re

import attrs

from endivesill.http1 import UpstreamError
from endivesill.http1.numbers import bounded_integer

__all__ = ["MAX_EVENT_BYTES", "EventSequence", "EventSplitter", "StreamEvent"]

# An empty line; lines may end with CR LF.
END = re.compile(rb"\n\r?\n")
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
        buffer = self.remainder + data
        start, complete = 0, []
        for match in END.finditer(buffer):
            block = buffer[start : match.end()]
            complete.append(StreamEvent(_event_id(block), block))
            start = match.end()
        self.remainder = buffer[start:]
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise UpstreamError("an event is too long", sent=True)
        return complete


class EventSequence:
    """The events of one stream in order, over several runs.

    Args:
      floor: id of the last event that the caller has from before; None for none. Events
        up to it are never passed on.

    Attributes:
      last_id: the id of the last event; None before the first one with an id.
    """

    def __init__(self, floor: int | None) -> None:
        self.last_id = floor
        # Whether ids have grown by one so far; None until two of them are known.
        self._is_consecutive: bool | None = None
        self._begins_run = True
        self._is_first_run = True

    def begin_run(self) -> None:
        """Continue with the events of another run."""
        self._begins_run = True
        self._is_first_run = False

    def take_new(self, events_read: list[StreamEvent]) -> list[StreamEvent]:
        """Return the events that have not been read before, and advance past them.

        Ids increase, by more than one if the engine wants it so.

        Raises:
          UpstreamError: a resumed run lacks an event.
        """
        new_events = []
        for event in events_read:
            if event.event_id is not None:
                if self.last_id is not None and event.event_id <= self.last_id:
                    continue
                self._note_step(event.event_id)
                self.last_id = event.event_id
            new_events.append(event)
        return new_events

    def _note_step(self, event_id: int) -> None:
        begins_run, self._begins_run = self._begins_run, False
        if self.last_id is None or (begins_run and self._is_first_run):
            return
        is_next = event_id == self.last_id + 1
        if begins_run and self._is_consecutive and not is_next:
            detail = f"event {event_id} follows {self.last_id}"
            raise UpstreamError(detail, sent=True)
        self._is_consecutive = is_next and self._is_consecutive is not False


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and value.strip().isdigit():
            return bounded_integer(value.strip())
    return None
