"""Stall detection for streams without a timer per token.

A stream updates its `WaitTracker`s, and one periodic check finds those that have
waited for too long. Limits are accurate to within the check period.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from endivesill.timer import TimerHandle, TimerService

__all__ = ["WaitTracker", "Watchdog"]

CHECK_PERIOD_S = 0.1


class WaitTracker:
    """Tracks the waits of one stream for its engine or its caller.

    Args:
      limit_s: the time limit of one wait.
      on_expired: called when a wait exceeds the limit.

    Attributes:
      steps: the number of completed waits, counted by the stream.
      active: whether the stream is waiting now.
    """

    __slots__ = (
        "active",
        "checked_s",
        "checked_steps",
        "limit_s",
        "on_expired",
        "steps",
    )

    def __init__(self, limit_s: float, on_expired: Callable[[], None]) -> None:
        self.limit_s = limit_s
        self.on_expired = on_expired
        self.steps = 0
        self.active = False
        self.checked_steps = -1
        self.checked_s = 0.0

    def check(self, now_s: float) -> None:
        """Call `on_expired` if the same wait has lasted beyond the limit."""
        if not self.active or self.steps != self.checked_steps:
            self.checked_steps = self.steps if self.active else -1
            self.checked_s = now_s
        elif now_s - self.checked_s >= self.limit_s:
            self.checked_s = now_s
            self.on_expired()


class Watchdog:
    """Checks all watched waits periodically.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._watched: set[WaitTracker] = set()
        self._handle: TimerHandle | None = None

    @contextmanager
    def watch(
        self, limit_s: float, on_expired: Callable[[], None]
    ) -> Iterator[WaitTracker]:
        """Watch the waits of one stream until the context exits."""
        tracker = WaitTracker(limit_s, on_expired)
        self._watched.add(tracker)
        if self._handle is None:
            self._handle = self._timer.call_every(CHECK_PERIOD_S, self._check_all)
        try:
            yield tracker
        finally:
            self._watched.discard(tracker)
            if not self._watched and self._handle is not None:
                self._handle.cancel()
                self._handle = None

    def _check_all(self) -> None:
        now_s = self._timer.now_s()
        for tracker in tuple(self._watched):
            tracker.check(now_s)
