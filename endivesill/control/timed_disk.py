"""A folder whose syncs are timed."""

from __future__ import annotations

import os

from endivesill.control.disk import FileDisk
from endivesill.histogram import Histogram
from endivesill.timer import TimerService

__all__ = ["TimedDisk"]

# Upper bounds of the histogram's buckets: from a fast disk to one that stalls.
SYNC_BOUNDS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.5, 2.5)


class TimedDisk(FileDisk):
    """A folder that tells how long its syncs take.

    Args:
      folder: where the files are.
      timer: the timer service.

    Attributes:
      sync_durations: of all syncs, failed ones too.
    """

    def __init__(self, folder: str | os.PathLike[str], timer: TimerService) -> None:
        super().__init__(folder)
        self._timer = timer
        self.sync_durations = Histogram(SYNC_BOUNDS_S)

    async def sync(self, name: str) -> None:
        """Sync a file; see the base class."""
        began_s = self._timer.now_s()
        try:
            await super().sync(name)
        finally:
            self.sync_durations.record_s(self._timer.now_s() - began_s)
