"""Settings reload, used by both kinds of process."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable

from endivesill import errors, events
from endivesill.platform.settings import NodeSettings, read_settings
from endivesill.platform.wire import SETTINGS_PATH, SETTINGS_VARIABLE
from endivesill.timer import TimerService

__all__ = ["SettingsWatcher", "settings_path"]

# The platform may replace the settings file without sending a signal.
POLL_PERIOD_S = 1.0

SETTINGS_RELOADED = events.define(
    1051, "settings-reloaded", "The settings file has changed and was read again."
)
SETTINGS_REFUSED = events.define(
    1052,
    "settings-refused",
    "The settings file cannot be read or is invalid; it was ignored.",
)


def settings_path() -> str:
    """Return the path of the settings file, from the environment or the default."""
    return os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)


class SettingsWatcher:
    """Reloads the settings on SIGHUP and when the file changes.

    Args:
      timer: the timer service.
      on_change: called with the new settings if they are valid.
    """

    def __init__(
        self, timer: TimerService, on_change: Callable[[NodeSettings], None]
    ) -> None:
        self._on_change = on_change
        self._path = settings_path()
        # Why the file could not be read, to log each reason once.
        self._problem = ""
        self._file_stamp = self._read_file_stamp()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        timer.call_every(POLL_PERIOD_S, self._poll)

    def _read_file_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError as error:
            if str(error) != self._problem:
                self._problem = str(error)
                events.emit(SETTINGS_REFUSED, reason=self._problem)
            return (0, 0)
        self._problem = ""
        return (status.st_mtime_ns, status.st_size)

    def _poll(self) -> None:
        file_stamp = self._read_file_stamp()
        if file_stamp != self._file_stamp:
            self._file_stamp = file_stamp
            if not self._problem:
                self._reload()

    def _reload(self) -> None:
        self._file_stamp = self._read_file_stamp()
        try:
            settings = read_settings(self._path)
        except errors.FindingsError as error:
            events.emit(SETTINGS_REFUSED, reason=str(error))
            return
        events.emit(SETTINGS_RELOADED, seeds=settings.seeds)
        self._on_change(settings)
