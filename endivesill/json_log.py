"""Log lines as JSON on standard output, bounded and without blocking.

The nearest kin of eliot for processes with little memory: the same fields
(`message_type`, `event`, `timestamp`), one object a line.
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

# Lines kept while the reader of the output is slow.
BUFFER_LINES = 2_000
# Lines of one kind in a second; further ones are held or counted. Lines that tell
# of a failure have a budget of their own.
KIND_BUDGET_PER_S = 200
# Share of the buffer that is left to lines that tell of a failure.
FAILURE_SHARE = 0.25
# Lines over budget that are held until their request has failed or is forgotten.
HELD_LINES = 2_000
# Longer than a request is under way.
HELD_LIFE_S = 45.0
FLUSH_S = 0.1
WRITE_LINES = 200

LINES_DROPPED = events.define(
    1040, "log-lines-dropped", "Log lines were left out: over budget or no reader."
)


Fields = dict[str, Any]


# Whether an event means that its request has failed, that it was served, or neither.
FailureClassifier = Callable[[events.EventKind, Fields], bool | None]
# A line over budget whose request may still fail: since when it is held, its time
# of day, and the event.
_Held = tuple[float, float, events.EventKind, Fields]


def _unclassified(kind: events.EventKind, fields: Fields) -> bool | None:
    return None


class JsonLog:
    """A sink for events.

    Lines of a failed request are written before those of served ones: what is
    over budget is held for a time, and a failure brings out what is held of its
    request.

    Args:
      timer: the timer service.
      process: names the process in each line.
      descriptor: the file descriptor that is written to.
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
        self._rest = b""
        self._window_s = 0.0
        # By number of the kind, negative for lines that tell of a failure.
        self._used: dict[int, int] = {}
        self._classify = classify
        # By request, in order of the first line.
        self._held: dict[str, list[_Held]] = {}
        self._held_lines = 0
        self._dropped: dict[str, int] = {}

    def start(self) -> None:
        """Take all events and write them in the background."""
        os.set_blocking(self._descriptor, False)
        events.set_sink(self.write)
        self._timer.call_every(FLUSH_S, self.flush)

    def write(self, kind: events.EventKind, fields: Fields) -> None:
        """Queue the line of one event, hold it, or count it as dropped."""
        now_s = self._timer.now_s()
        if now_s - self._window_s >= 1.0:
            self._begin_window(now_s)
        failed = self._classify(kind, fields)
        if failed:
            self._release(fields.get("request_id", ""))
        key = -kind.number if failed else kind.number
        used = self._used[key] = self._used.get(key, 0) + 1
        if used <= KIND_BUDGET_PER_S:
            wall_time_s = self._timer.wall_time_s()
            self._queue(kind, fields, wall_time_s, is_failure=bool(failed))
        elif failed is None and "request_id" in fields:
            self._hold(
                fields["request_id"], (now_s, self._timer.wall_time_s(), kind, fields)
            )
        else:
            self._drop(kind)
        if failed is False:
            self._forget(fields.get("request_id", ""))

    def _drop(self, kind: events.EventKind) -> None:
        self._dropped[kind.name] = self._dropped.get(kind.name, 0) + 1

    def _queue(
        self,
        kind: events.EventKind,
        fields: Fields,
        wall_time_s: float,
        *,
        is_failure: bool,
    ) -> None:
        share = 1.0 if is_failure else 1.0 - FAILURE_SHARE
        if len(self._lines) < share * BUFFER_LINES:
            self._lines.append(self._encode(kind, fields, wall_time_s))
        else:
            self._drop(kind)

    def _hold(self, request_id: str, held: _Held) -> None:
        self._held.setdefault(request_id, []).append(held)
        self._held_lines += 1
        while self._held_lines > HELD_LINES:
            self._forget(next(iter(self._held)))

    def _forget(self, request_id: str) -> None:
        lines = self._held.pop(request_id, ())
        self._held_lines -= len(lines)
        for _, _, kind, _ in lines:
            self._drop(kind)

    def _release(self, request_id: str) -> None:
        """Queue what is held of a request that has failed."""
        lines = self._held.pop(request_id, ())
        self._held_lines -= len(lines)
        for _, wall_time_s, kind, fields in lines:
            self._queue(kind, fields, wall_time_s, is_failure=True)

    def _begin_window(self, now_s: float) -> None:
        self._window_s = now_s
        self._used.clear()
        for request_id, lines in list(self._held.items()):
            held_s = lines[0][0]
            if now_s - held_s < HELD_LIFE_S:
                break
            self._forget(request_id)
        if self._dropped and len(self._lines) < BUFFER_LINES:
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
        """Write what the output takes now; the rest stays in the bounded buffer."""
        while self._rest or self._lines:
            if not self._rest:
                count = min(len(self._lines), WRITE_LINES)
                self._rest = b"".join(self._lines.popleft() for _ in range(count))
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more; there is nowhere to say so.
                self._rest = b""
                self._lines.clear()
                return
            self._rest = self._rest[written:]
