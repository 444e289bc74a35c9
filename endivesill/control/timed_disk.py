"""A file disk that measures its sync durations."""

from __future__ import annotations

import os

from endivesill.control.disk import FileDisk
from endivesill.histogram import Histogram
from endivesill.timer import TimerService

__all__ = ["TimedDisk"]

# Upper bounds of the histogram buckets, from a fast disk to a stalled one.
SYNC_BUCKET_BOUNDS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.5, 2.5)


class TimedDisk(FileDisk):
    """A file disk that records the duration of each sync.

    Args:
      folder: the data folder.
      timer: the timer service.

    Attributes:
      sync_durations: histogram of all sync durations, including failed syncs.
    """

    def __init__(self, folder: str | os.PathLike[str], timer: TimerService) -> None:
        super().__init__(folder)
        self._timer = timer
        self.sync_durations = Histogram(SYNC_BUCKET_BOUNDS_S)

    async def sync(self, name: str) -> None:
        """Sync a file and record the duration; see the base class."""
        started_s = self._timer.now_s()
        try:
            await super().sync(name)
        finally:
            self.sync_durations.record_s(self._timer.now_s() - started_s)
