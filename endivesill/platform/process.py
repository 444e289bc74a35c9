"""What both kinds of process share: signals and changes of the settings."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable

from endivesill import errors, events
from endivesill.platform.settings import NodeSettings, read_settings
from endivesill.platform.wire import SETTINGS_PATH, SETTINGS_VARIABLE
from endivesill.timer import TimerService

__all__ = ["SettingsWatch", "StopSignal", "settings_path"]

# The settings file may change without a signal.
POLL_S = 1.0

SETTINGS_RELOADED = events.define(
    1051, "settings-reloaded", "The settings file has changed and was read again."
)
SETTINGS_REFUSED = events.define(
    1052, "settings-refused", "The changed settings file cannot be used; it is not."
)


def settings_path() -> str:
    """Return the path of this process's settings file."""
    return os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)


class StopSignal:
    """Waits for SIGTERM.

    Args:
      settings: the process's settings.
      timer: the timer service.
    """

    def __init__(self, settings: NodeSettings, timer: TimerService) -> None:
        self._event = asyncio.Event()
        self._timer = timer
        self.since_s = 0.0
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._note)

    def _note(self) -> None:
        self.since_s = self._timer.now_s()
        self._event.set()

    async def wait(self) -> None:
        """Wait for the signal."""
        await self._event.wait()


class SettingsWatch:
    """Reads the settings again on SIGHUP and when the file changes.

    Args:
      timer: the timer service.
      changed: called with the new settings.
    """

    def __init__(
        self, timer: TimerService, changed: Callable[[NodeSettings], None]
    ) -> None:
        self._changed = changed
        self._path = settings_path()
        self._stamp = self._read_stamp()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        timer.call_every(POLL_S, self._poll)

    def _read_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError as error:
            events.emit(SETTINGS_REFUSED, reason=str(error))
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def _poll(self) -> None:
        if self._read_stamp() != self._stamp:
            self._reload()

    def _reload(self) -> None:
        self._stamp = self._read_stamp()
        try:
            settings = read_settings(self._path)
        except errors.FindingsError as error:
            events.emit(SETTINGS_REFUSED, reason=str(error))
            return
        events.emit(SETTINGS_RELOADED, seeds=settings.seeds)
        self._changed(settings)
