"""Numbered log events.

Each package defines its events with `define`, in its own range of numbers.
docs/EVENTS.md lists all events and is checked by a test.

Ranges: 1000 process, 2000 entry, 3000 routing, 4000 targets, 5000
configuration, 6000 control, 7000 membership, 8000 orders and placement.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from endivesill import errors

__all__ = [
    "CATALOGUE",
    "EventKind",
    "define",
    "emit",
    "listen",
    "markdown_catalogue",
    "set_sink",
]


@attrs.frozen
class EventKind:
    """One kind of log event.

    Attributes:
      number: the event's number, unique in the catalogue.
      name: its short name.
      text: its description in the catalogue.
    """

    number: int
    name: str
    text: str


CATALOGUE: dict[int, EventKind] = {}

Sink = Callable[["EventKind", dict[str, Any]], None]


def _eliot_sink(kind: EventKind, fields: dict[str, Any]) -> None:
    # Imported on first use: processes with their own sink do not load eliot.
    import eliot

    eliot.log_message(message_type=kind.name, event=kind.number, **fields)


_sink: Sink = _eliot_sink
_listeners: list[Callable[[EventKind, dict[str, Any]], None]] = []


def define(number: int, name: str, text: str) -> EventKind:
    """Add a kind of event to the catalogue.

    Raises:
      EndivesillError: the number is already in use.
    """
    if number in CATALOGUE:
        raise errors.EndivesillError(f"event {number} is defined twice")
    kind = EventKind(number, name, text)
    CATALOGUE[number] = kind
    return kind


def emit(kind: EventKind, **fields: Any) -> None:
    """Pass one event to the sink and to all listeners."""
    _sink(kind, fields)
    for listener in _listeners:
        listener(kind, fields)


def set_sink(sink: Sink) -> None:
    """Replace the sink of all events, by default eliot."""
    global _sink
    _sink = sink


def listen(listener: Callable[[EventKind, dict[str, Any]], None]) -> Callable[[], None]:
    """Call a listener for each event; return a function that removes it."""
    _listeners.append(listener)
    return lambda: _listeners.remove(listener)


def markdown_catalogue() -> str:
    """Return the catalogue as the table of docs/EVENTS.md."""
    rows = ["| number | name | meaning |", "| --- | --- | --- |"]
    for number in sorted(CATALOGUE):
        kind = CATALOGUE[number]
        rows.append(f"| {number} | {kind.name} | {kind.text} |")
    return "\n".join(rows) + "\n"


PROCESS_STARTED = define(1001, "process-started", "The daemon has started.")
PROCESS_STOPPING = define(1002, "process-stopping", "A planned stop has begun.")
PROCESS_STOPPED = define(1003, "process-stopped", "The daemon has stopped.")
SERVICE_STOPPED = define(1005, "service-stopped", "A service of the kernel stopped.")
TASK_FAILED = define(1004, "task-failed", "A background task failed; it restarts.")
