"""A disk in memory that can lose, tear and reorder what was not synced."""

from __future__ import annotations

import random

import attrs

from endivesill import errors
from endivesill.control.disk import TEMPORARY_SUFFIX, Disk

__all__ = ["MemoryDisk"]

SECTOR_BYTES = 32


@attrs.define
class _File:
    """A file's content, and what of it would survive a crash."""

    data: bytearray = attrs.Factory(bytearray)
    durable: bytes = b""


class MemoryDisk(Disk):
    """A disk for tests.

    Every operation that changes the disk is a write boundary with a number. A
    disk that stops at a boundary does not do that operation, or does a part of
    it, and refuses all that follow.

    Args:
      files: the first content, by name.

    Attributes:
      boundaries: how many operations were begun.
      stop_at: the number of the operation at which to stop, or None.
      full: whether writes fail for want of space.
      syncs: how many syncs were done.
    """

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self._files = {
            name: _File(bytearray(data), data) for name, data in (files or {}).items()
        }
        self._durable_names: dict[str, _File] = dict(self._files)
        self._stopped = False
        self.boundaries = 0
        self.stop_at: int | None = None
        self.full = False
        self.syncs = 0

    def crash(self, seed: int | None = None) -> MemoryDisk:
        """Stop this disk and return what is found after the restart.

        Args:
          seed: chooses which sectors that were not synced survive; without it
            none does.
        """
        self._stopped = True
        chooser = random.Random(seed) if seed is not None else None
        # A name that was not synced may have survived as well.
        names = self._durable_names
        if chooser is not None and chooser.random() < 0.5:
            names = self._files
        return MemoryDisk({name: _survivor(f, chooser) for name, f in names.items()})

    def damage(self, name: str, offset: int) -> None:
        """Flip one durable byte."""
        file = self._files[name]
        file.data[offset] ^= 0xFF
        file.durable = bytes(file.data)

    def names(self) -> list[str]:
        """Return the files' names; see the base class."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Read a file; see the base class."""
        if name not in self._files:
            raise errors.StorageError(f"{name}: no such file")
        return bytes(self._files[name].data)

    def append(self, name: str, data: bytes) -> None:
        """Write at the end; see the base class."""
        file = self._open(name)
        if not self._begin():
            file.data += data[: len(data) // 2]
            raise self._stop_error()
        if self.full:
            file.data += data[: len(data) // 2]
            raise errors.DiskFullError(f"{name}: no space")
        file.data += data

    async def create(self, name: str) -> None:
        """Create a file; see the base class."""
        self._check_space(name)
        self._open(name)
        self._sync_names()

    async def sync(self, name: str) -> None:
        """Sync a file; see the base class."""
        if not self._begin():
            raise self._stop_error()
        self.syncs += 1
        file = self._open(name)
        file.durable = bytes(file.data)

    async def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file; see the base class."""
        if not self._begin():
            raise self._stop_error()
        file = self._open(name)
        del file.data[size_bytes:]
        await self.sync(name)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file in four steps, each a boundary."""
        self._check_space(name)
        temporary = name + TEMPORARY_SUFFIX
        self._files.pop(temporary, None)
        self.append(temporary, data)
        await self.sync(temporary)
        if not self._begin():
            raise self._stop_error()
        self._files[name] = self._files.pop(temporary)
        self._sync_names()

    async def remove(self, name: str) -> None:
        """Remove a file; see the base class."""
        if not self._begin():
            raise self._stop_error()
        self._files.pop(name, None)
        self._sync_names()

    def _open(self, name: str) -> _File:
        return self._files.setdefault(name, _File())

    def _check_space(self, name: str) -> None:
        if self.full:
            raise errors.DiskFullError(f"{name}: no space")

    def _sync_names(self) -> None:
        if not self._begin():
            raise self._stop_error()
        self._durable_names = dict(self._files)

    def _begin(self) -> bool:
        """Count a boundary; return whether its operation is to be done."""
        if self._stopped:
            raise self._stop_error()
        self.boundaries += 1
        if self.boundaries == self.stop_at:
            self._stopped = True
        return not self._stopped

    def _stop_error(self) -> errors.StorageError:
        return errors.StorageError("the disk has stopped")


def _survivor(file: _File, chooser: random.Random | None) -> bytes:
    """Return a file after a crash: what was synced and some sectors more."""
    if chooser is None or bytes(file.data) == file.durable:
        return file.durable
    if len(file.data) < len(file.durable):
        return chooser.choice([bytes(file.data), file.durable])
    end = chooser.randint(len(file.durable), len(file.data))
    survivor = bytearray(file.data[:end])
    for start in range(len(file.durable), end, SECTOR_BYTES):
        if chooser.random() < 0.5:
            stop = min(start + SECTOR_BYTES, end)
            survivor[start:stop] = bytes(stop - start)
    return bytes(survivor)
