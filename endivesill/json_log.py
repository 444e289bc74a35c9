"""A bounded, non-blocking log of JSON lines on standard output.

A replacement of eliot for processes with little memory. It writes one object per
line with the same fields (`message_type`, `event`, `timestamp`).
"""

from __future__ import annotations

import collections
import json
import os
from collections.abc import Callable
from typing import Any

from endivesill import events
from endivesill.timer import TimerService

__all__ = ["JsonLog"]

# Lines that are buffered while the reader of the output is slow.
MAX_BUFFERED_LINES = 2_000
# Rate limit per kind of event; lines beyond it are held or dropped. Lines that report
# a failure have a separate limit.
MAX_KIND_LINES_PER_S = 200
# Fraction of the buffer that is reserved for lines that report a failure.
FAILURE_RESERVE_FRACTION = 0.25
# Lines over the rate limit that are held in case their request fails.
MAX_HELD_LINES = 2_000
# Longer than a request is in progress.
HELD_RETENTION_S = 45.0
FLUSH_PERIOD_S = 0.1
MAX_LINES_PER_WRITE = 200

LINES_DROPPED = events.define(
    1040,
    "log-lines-dropped",
    "Log lines were dropped: over the rate limit, or the output was not read.",
)


Fields = dict[str, Any]


# Returns whether an event means that its request failed (True), completed (False) or
# neither (None).
FailureClassifier = Callable[[events.EventKind, Fields], bool | None]
# A held line: the timer's time at which it was held, its wall time, the kind of event
# and its fields.
_HeldLine = tuple[float, float, events.EventKind, Fields]


def _unclassified(kind: events.EventKind, fields: Fields) -> bool | None:
    return None


class JsonLog:
    """An event sink that prefers the lines of failed requests.

    Lines over the rate limit are held for a limited time. If their request fails,
    they are written; otherwise they are dropped and counted.

    Args:
      timer: the timer service.
      process: the name of the process, part of each line.
      descriptor: the file descriptor to write to.
      classify: returns whether an event means that its request failed (True),
        completed (False) or is still in progress (None).
    """

    def __init__(
        self,
        timer: TimerService,
        process: str,
        descriptor: int = 1,
        classify: FailureClassifier = _unclassified,
    ) -> None:
        self._timer = timer
        self._process = process
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._window_start_s = 0.0
        # Lines in the current second by event number, negated for lines that report a
        # failure.
        self._line_counts: dict[int, int] = {}
        self._classify = classify
        # By request id, in order of the first held line.
        self._held: dict[str, list[_HeldLine]] = {}
        self._held_lines = 0
        self._dropped: dict[str, int] = {}

    def start(self) -> None:
        """Install this log as the event sink and flush it periodically."""
        os.set_blocking(self._descriptor, False)
        events.set_sink(self.write)
        self._timer.call_every(FLUSH_PERIOD_S, self.flush)

    def write(self, kind: events.EventKind, fields: Fields) -> None:
        """Buffer the line of one event, hold it, or drop and count it."""
        now_s = self._timer.now_s()
        if now_s - self._window_start_s >= 1.0:
            self._begin_window(now_s)
        failed = self._classify(kind, fields)
        if failed:
            self._buffer_held(fields.get("request_id", ""))
        key = -kind.number if failed else kind.number
        line_count = self._line_counts[key] = self._line_counts.get(key, 0) + 1
        if line_count <= MAX_KIND_LINES_PER_S:
            wall_time_s = self._timer.wall_time_s()
            self._buffer(kind, fields, wall_time_s, is_failure=bool(failed))
        elif failed is None and "request_id" in fields:
            self._hold(
                fields["request_id"], (now_s, self._timer.wall_time_s(), kind, fields)
            )
        else:
            self._count_dropped(kind)
        if failed is False:
            self._discard_held(fields.get("request_id", ""))

    def _count_dropped(self, kind: events.EventKind) -> None:
        self._dropped[kind.name] = self._dropped.get(kind.name, 0) + 1

    def _buffer(
        self,
        kind: events.EventKind,
        fields: Fields,
        wall_time_s: float,
        *,
        is_failure: bool,
    ) -> None:
        fraction = 1.0 if is_failure else 1.0 - FAILURE_RESERVE_FRACTION
        if len(self._lines) < fraction * MAX_BUFFERED_LINES:
            self._lines.append(self._encode(kind, fields, wall_time_s))
        else:
            self._count_dropped(kind)

    def _hold(self, request_id: str, held: _HeldLine) -> None:
        self._held.setdefault(request_id, []).append(held)
        self._held_lines += 1
        while self._held_lines > MAX_HELD_LINES:
            self._discard_held(next(iter(self._held)))

    def _discard_held(self, request_id: str) -> None:
        held_lines = self._held.pop(request_id, ())
        self._held_lines -= len(held_lines)
        for _, _, kind, _ in held_lines:
            self._count_dropped(kind)

    def _buffer_held(self, request_id: str) -> None:
        """Buffer the held lines of a request that has failed."""
        held_lines = self._held.pop(request_id, ())
        self._held_lines -= len(held_lines)
        for _, wall_time_s, kind, fields in held_lines:
            self._buffer(kind, fields, wall_time_s, is_failure=True)

    def _begin_window(self, now_s: float) -> None:
        self._window_start_s = now_s
        self._line_counts.clear()
        for request_id, held_lines in list(self._held.items()):
            held_s = held_lines[0][0]
            if now_s - held_s < HELD_RETENTION_S:
                break
            self._discard_held(request_id)
        if self._dropped and len(self._lines) < MAX_BUFFERED_LINES:
            counts = dict(self._dropped)
            self._dropped.clear()
            wall_time_s = self._timer.wall_time_s()
            line = self._encode(LINES_DROPPED, {"counts": counts}, wall_time_s)
            self._lines.append(line)

    def _encode(
        self, kind: events.EventKind, fields: Fields, wall_time_s: float
    ) -> bytes:
        line = {
            "timestamp": round(wall_time_s, 4),
            "process": self._process,
            "message_type": kind.name,
            "event": kind.number,
            **fields,
        }
        return json.dumps(line, separators=(",", ":"), default=str).encode() + b"\n"

    def flush(self) -> None:
        """Write as much as the output accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                count = min(len(self._lines), MAX_LINES_PER_WRITE)
                self._unwritten = b"".join(self._lines.popleft() for _ in range(count))
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the output, so the error cannot be logged.
                self._unwritten = b""
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]
