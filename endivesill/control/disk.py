"""File storage of a replica.

Written data are durable only after a sync. `FileDisk` stores files in a folder;
`MemoryDisk`, for tests, can lose unsynced data in a simulated crash.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import errno
import fcntl
import os
import pathlib
from collections.abc import Callable
from typing import Any, TypeVar

from endivesill import errors

__all__ = ["TEMPORARY_SUFFIX", "Disk", "FileDisk"]

T = TypeVar("T")

LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".tmp"
FILE_MODE = 0o600
# No space left, quota used up, and file larger than its limit.
NO_SPACE_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class Disk:
    """Base class of disks: a flat set of files that are appended to or replaced.

    Operations raise StorageError if the file system reports an error.
    """

    def names(self) -> list[str]:
        """Return the names of all files in sorted order."""
        raise NotImplementedError

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        raise NotImplementedError

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file; they are durable only after `sync`.

        Raises:
          DiskFullError: part of the data may have been written.
        """
        raise NotImplementedError

    async def create(self, name: str) -> None:
        """Create an empty file durably."""
        raise NotImplementedError

    async def sync(self, name: str) -> None:
        """Make all data written to a file durable."""
        raise NotImplementedError

    async def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file durably."""
        raise NotImplementedError

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and durably."""
        raise NotImplementedError

    async def remove(self, name: str) -> None:
        """Remove a file durably, if it exists."""
        raise NotImplementedError

    def close(self) -> None:
        """Close all files."""


class FileDisk(Disk):
    """Files in a folder that is locked by one process.

    Syncs run in a separate thread, so that they do not block the event loop.

    Args:
      folder: the data folder; created if it does not exist.

    Raises:
      StorageError: another process has locked the folder.
    """

    def __init__(self, folder: str | os.PathLike[str]) -> None:
        self._folder = pathlib.Path(folder)
        _make_durable_folder(self._folder)
        self._folder_descriptor = os.open(self._folder, os.O_RDONLY)
        self._descriptors: dict[str, int] = {}
        self._lock_descriptor = self._lock()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="control-disk"
        )

    def _lock(self) -> int:
        path = self._folder / LOCK_NAME
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            os.close(self._folder_descriptor)
            raise errors.StorageError(
                f"{self._folder} is in use by another process"
            ) from None
        return descriptor

    def names(self) -> list[str]:
        """Return all file names except the lock file; see the base class."""
        return sorted(
            path.name
            for path in self._folder.iterdir()
            if path.is_file() and path.name != LOCK_NAME
        )

    def read(self, name: str) -> bytes:
        """Read a file; see the base class."""
        return _convert_os_errors(name, (self._folder / name).read_bytes)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, in the calling thread; see the base class."""
        _convert_os_errors(name, lambda: _write_all(self._descriptor(name), data))

    async def create(self, name: str) -> None:
        """Create a file; see the base class."""
        self._descriptor(name)
        await self._run_in_thread(name, lambda: os.fsync(self._folder_descriptor))

    async def sync(self, name: str) -> None:
        """Sync a file; see the base class."""
        descriptor = self._descriptor(name)
        await self._run_in_thread(name, lambda: os.fdatasync(descriptor))

    async def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file; see the base class."""
        descriptor = self._descriptor(name)

        def truncate_file() -> None:
            os.ftruncate(descriptor, size_bytes)
            os.fsync(descriptor)

        await self._run_in_thread(name, truncate_file)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file by a rename; see the base class."""
        self._close_file(name)
        path = self._folder / name
        temporary = self._folder / (name + TEMPORARY_SUFFIX)

        def write() -> None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
            descriptor = os.open(temporary, flags, FILE_MODE)
            try:
                _write_all(descriptor, data)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.rename(temporary, path)
            os.fsync(self._folder_descriptor)

        await self._run_in_thread(name, write)

    async def remove(self, name: str) -> None:
        """Remove a file; see the base class."""
        self._close_file(name)

        def remove() -> None:
            (self._folder / name).unlink(missing_ok=True)
            os.fsync(self._folder_descriptor)

        await self._run_in_thread(name, remove)

    def close(self) -> None:
        """Wait for pending syncs, close all files and unlock the folder."""
        self._executor.shutdown(wait=True)
        for name in list(self._descriptors):
            self._close_file(name)
        os.close(self._folder_descriptor)
        os.close(self._lock_descriptor)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            self._descriptors[name] = _convert_os_errors(
                name, lambda: os.open(self._folder / name, flags, FILE_MODE)
            )
        return self._descriptors[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    async def _run_in_thread(self, name: str, function: Callable[[], Any]) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, _convert_os_errors, name, function)


def _make_durable_folder(folder: pathlib.Path) -> None:
    """Create a folder and its parents durably."""
    if folder.is_dir():
        return
    _make_durable_folder(folder.absolute().parent)
    folder.mkdir(exist_ok=True)
    descriptor = os.open(folder.absolute().parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _convert_os_errors(name: str, function: Callable[[], T]) -> T:
    """Call a function and convert its OSError to a StorageError.

    Raises:
      DiskFullError: there is no space, or a quota or size limit is used up.
      StorageError: any other error of the operating system.
    """
    try:
        return function()
    except OSError as error:
        if error.errno in NO_SPACE_ERRORS:
            raise errors.DiskFullError(f"{name}: {error}") from error
        raise errors.StorageError(f"{name}: {error}") from error
