"""Bounds on waits of streams, with no timer for each token.

A stream notes its steps in a `Progress`; one periodic look over all of them
finds those that have stood still for too long. A bound is kept to within the
period of the look.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from endivesill.timer import TimerHandle, TimerService

__all__ = ["Progress", "Watchdog"]

PERIOD_S = 0.1


class Progress:
    """The waits of one stream for one party, its engine or its caller.

    Args:
      limit_s: how long one wait may last.
      expired: called when a wait has lasted that long.

    Attributes:
      steps: the stream adds 1 after each wait.
      active: whether the stream waits now.
    """

    __slots__ = ("active", "expired", "limit_s", "seen_s", "seen_steps", "steps")

    def __init__(self, limit_s: float, expired: Callable[[], None]) -> None:
        self.limit_s = limit_s
        self.expired = expired
        self.steps = 0
        self.active = False
        self.seen_steps = -1
        self.seen_s = 0.0

    def look(self, now_s: float) -> None:
        """Compare with the last look and expire if it is still the same wait."""
        if not self.active or self.steps != self.seen_steps:
            self.seen_steps = self.steps if self.active else -1
            self.seen_s = now_s
        elif now_s - self.seen_s >= self.limit_s:
            self.seen_s = now_s
            self.expired()


class Watchdog:
    """Looks over all streams once a period.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._watched: set[Progress] = set()
        self._handle: TimerHandle | None = None

    @contextmanager
    def watch(self, limit_s: float, expired: Callable[[], None]) -> Iterator[Progress]:
        """Watch one stream while the context lasts."""
        progress = Progress(limit_s, expired)
        self._watched.add(progress)
        if self._handle is None:
            self._handle = self._timer.call_every(PERIOD_S, self._look)
        try:
            yield progress
        finally:
            self._watched.discard(progress)
            if not self._watched and self._handle is not None:
                self._handle.cancel()
                self._handle = None

    def _look(self) -> None:
        now_s = self._timer.now_s()
        for progress in tuple(self._watched):
            progress.look(now_s)
