"""The files of a replica, in one data folder.

Data last only once they are synced. `FileDisk` is the real folder; its sibling
for tests, `MemoryDisk`, forgets what was not synced.
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


class Disk:
    """Base of the disks: flat files that are appended to or replaced."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        raise NotImplementedError

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        raise NotImplementedError

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file; it lasts only after `sync`.

        Raises:
          DiskFullError: a part of the data may have been written.
        """
        raise NotImplementedError

    async def create(self, name: str) -> None:
        """Create an empty file that lasts."""
        raise NotImplementedError

    async def sync(self, name: str) -> None:
        """Make all that was written to a file last."""
        raise NotImplementedError

    async def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file to a size, for good."""
        raise NotImplementedError

    async def replace(self, name: str, data: bytes) -> None:
        """Give a file a new content, all of it or none, for good."""
        raise NotImplementedError

    async def remove(self, name: str) -> None:
        """Remove a file, if there is one, for good."""
        raise NotImplementedError

    def close(self) -> None:
        """Release the files."""


class FileDisk(Disk):
    """A folder of the machine; one process at a time.

    Syncs run in a thread of their own, so that they do not hold up the loop.

    Args:
      folder: the data folder; it is made if it is missing.

    Raises:
      StorageError: another process holds the folder.
    """

    def __init__(self, folder: str | os.PathLike[str]) -> None:
        self._folder = pathlib.Path(folder)
        _make_folder(self._folder)
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
        """Return the files' names; see the base class."""
        return sorted(
            path.name
            for path in self._folder.iterdir()
            if path.is_file() and path.name != LOCK_NAME
        )

    def read(self, name: str) -> bytes:
        """Read a file; see the base class."""
        return _checked(name, (self._folder / name).read_bytes)

    def append(self, name: str, data: bytes) -> None:
        """Write at the end; see the base class."""
        _checked(name, lambda: _write_all(self._descriptor(name), data))

    async def create(self, name: str) -> None:
        """Create a file; see the base class."""
        self._descriptor(name)
        await self._run(name, lambda: os.fsync(self._folder_descriptor))

    async def sync(self, name: str) -> None:
        """Sync a file; see the base class."""
        descriptor = self._descriptor(name)
        await self._run(name, lambda: os.fdatasync(descriptor))

    async def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file; see the base class."""
        descriptor = self._descriptor(name)

        def cut() -> None:
            os.ftruncate(descriptor, size_bytes)
            os.fsync(descriptor)

        await self._run(name, cut)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file; see the base class."""
        self._forget(name)
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

        await self._run(name, write)

    async def remove(self, name: str) -> None:
        """Remove a file; see the base class."""
        self._forget(name)

        def remove() -> None:
            (self._folder / name).unlink(missing_ok=True)
            os.fsync(self._folder_descriptor)

        await self._run(name, remove)

    def close(self) -> None:
        """Close all files and let go of the folder."""
        self._executor.shutdown(wait=True)
        for name in list(self._descriptors):
            self._forget(name)
        os.close(self._folder_descriptor)
        os.close(self._lock_descriptor)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            self._descriptors[name] = _checked(
                name, lambda: os.open(self._folder / name, flags, FILE_MODE)
            )
        return self._descriptors[name]

    def _forget(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    async def _run(self, name: str, function: Callable[[], Any]) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, _checked, name, function)


def _make_folder(folder: pathlib.Path) -> None:
    """Make a folder that lasts, with the folders above it."""
    if folder.is_dir():
        return
    _make_folder(folder.absolute().parent)
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


def _checked(name: str, function: Callable[[], T]) -> T:
    """Run a call of the operating system and give its errors their class."""
    try:
        return function()
    except OSError as error:
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            raise errors.DiskFullError(f"{name}: {error}") from error
        raise errors.StorageError(f"{name}: {error}") from error
