"""Log lines as JSON on standard output, bounded and without blocking.

The nearest kin of eliot for processes with little memory: the same fields
(`message_type`, `event`, `timestamp`), one object a line.
"""

from __future__ import annotations

import collections
import json
import os
from typing import Any

from endivesill import events
from endivesill.timer import TimerService

__all__ = ["JsonLog"]

# Lines kept while the reader of the output is slow.
BUFFER_LINES = 2_000
# Lines of one kind in a second; further ones are counted. A failed request's
# lines have the budget of their own kind, so that served ones do not use it up.
KIND_BUDGET_PER_S = 200
FLUSH_S = 0.1
WRITE_LINES = 200

LINES_DROPPED = events.define(
    1040, "log-lines-dropped", "Log lines were left out: over budget or no reader."
)


class JsonLog:
    """A sink for events.

    Args:
      timer: the timer service.
      process: names the process in each line.
      descriptor: the file descriptor that is written to.
    """

    def __init__(self, timer: TimerService, process: str, descriptor: int = 1) -> None:
        self._timer = timer
        self._process = process
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._window_s = 0.0
        self._used: collections.Counter[int] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Take all events and write them in the background."""
        os.set_blocking(self._descriptor, False)
        events.write_to(self.write)
        self._timer.call_every(FLUSH_S, self.flush)

    def write(self, kind: events.EventKind, fields: dict[str, Any]) -> None:
        """Queue the line of one event, or count it as dropped."""
        now_s = self._timer.now_s()
        if now_s - self._window_s >= 1.0:
            self._begin_window(now_s)
        self._used[kind.number] += 1
        if (
            self._used[kind.number] > KIND_BUDGET_PER_S
            or len(self._lines) >= BUFFER_LINES
        ):
            self._dropped[kind.name] += 1
        else:
            self._lines.append(self._encode(kind, fields))

    def _begin_window(self, now_s: float) -> None:
        self._window_s = now_s
        self._used.clear()
        if self._dropped and len(self._lines) < BUFFER_LINES:
            counts = dict(self._dropped)
            self._dropped.clear()
            self._lines.append(self._encode(LINES_DROPPED, {"counts": counts}))

    def _encode(self, kind: events.EventKind, fields: dict[str, Any]) -> bytes:
        line = {
            "timestamp": round(self._timer.wall_time_s(), 4),
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
