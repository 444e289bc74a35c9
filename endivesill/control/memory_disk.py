"""An in-memory disk that can lose, tear and reorder unsynced writes."""

from __future__ import annotations

import random

import attrs

from endivesill import errors
from endivesill.control.disk import TEMPORARY_SUFFIX, Disk

__all__ = ["MemoryDisk"]

SECTOR_BYTES = 32


@attrs.define
class _File:
    """A file's current content, and the content that is sure to survive a crash."""

    data: bytearray = attrs.Factory(bytearray)
    durable: bytes = b""


class MemoryDisk(Disk):
    """A disk for tests, with simulated crashes and faults.

    Operations that change the disk are numbered from 1 as write boundaries. A disk
    that stops at a boundary carries out that operation partly or not at all, and
    rejects all later ones.

    Args:
      files: the initial content by file name.

    Attributes:
      boundaries: the number of operations started.
      stop_at_boundary: the boundary at which to stop, or None.
      full: whether writes fail with DiskFullError.
      full_at_sync: whether syncs do, as with space that is allocated late.
      syncs: the number of completed syncs.
    """

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self._files = {
            name: _File(bytearray(data), data) for name, data in (files or {}).items()
        }
        self._durable_names: dict[str, _File] = dict(self._files)
        self._stopped = False
        self.boundaries = 0
        self.stop_at_boundary: int | None = None
        self.full = False
        self.full_at_sync = False
        self.syncs = 0

    def crash(self, seed: int | None = None) -> MemoryDisk:
        """Stop this disk and return a disk with the content after a restart.

        Args:
          seed: selects which unsynced sectors survive; with None, none survive.
        """
        self._stopped = True
        rng = random.Random(seed) if seed is not None else None
        # An unsynced change of the file names may survive as well.
        names = self._durable_names
        if rng is not None and rng.random() < 0.5:
            names = self._files
        return MemoryDisk(
            {name: _content_after_crash(f, rng) for name, f in names.items()}
        )

    def corrupt(self, name: str, offset: int) -> None:
        """Invert one byte of a file, also in its durable content."""
        file = self._files[name]
        file.data[offset] ^= 0xFF
        file.durable = bytes(file.data)

    def names(self) -> list[str]:
        """Return the names of all files; see the base class."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Read a file; see the base class."""
        if name not in self._files:
            raise errors.StorageError(f"{name}: no such file")
        return bytes(self._files[name].data)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, half of the data if it fails; see the base class."""
        file = self._open(name)
        if not self._enter_boundary():
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
        if not self._enter_boundary():
            raise self._stop_error()
        self._check_space_at_sync(name)
        self.syncs += 1
        file = self._open(name)
        file.durable = bytes(file.data)

    async def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file; see the base class."""
        if not self._enter_boundary():
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
        if not self._enter_boundary():
            raise self._stop_error()
        self._files[name] = self._files.pop(temporary)
        self._sync_names()

    async def remove(self, name: str) -> None:
        """Remove a file; see the base class."""
        if not self._enter_boundary():
            raise self._stop_error()
        self._files.pop(name, None)
        self._sync_names()

    def _open(self, name: str) -> _File:
        return self._files.setdefault(name, _File())

    def _check_space(self, name: str) -> None:
        if self.full:
            raise errors.DiskFullError(f"{name}: no space")

    def _check_space_at_sync(self, name: str) -> None:
        if self.full_at_sync:
            raise errors.DiskFullError(f"{name}: no space at the sync")

    def _sync_names(self) -> None:
        if not self._enter_boundary():
            raise self._stop_error()
        self._check_space_at_sync("folder")
        self._durable_names = dict(self._files)

    def _enter_boundary(self) -> bool:
        """Count a boundary; return whether the operation is to be carried out.

        Raises:
          StorageError: the disk stopped at an earlier boundary.
        """
        if self._stopped:
            raise self._stop_error()
        self.boundaries += 1
        if self.boundaries == self.stop_at_boundary:
            self._stopped = True
        return not self._stopped

    def _stop_error(self) -> errors.StorageError:
        return errors.StorageError("the disk has stopped")


def _content_after_crash(file: _File, rng: random.Random | None) -> bytes:
    """Return a file's content after a crash: synced data and some unsynced sectors."""
    if rng is None or bytes(file.data) == file.durable:
        return file.durable
    if len(file.data) < len(file.durable):
        return rng.choice([bytes(file.data), file.durable])
    end = rng.randint(len(file.durable), len(file.data))
    content = bytearray(file.data[:end])
    for start in range(len(file.durable), end, SECTOR_BYTES):
        if rng.random() < 0.5:
            stop = min(start + SECTOR_BYTES, end)
            content[start:stop] = bytes(stop - start)
    return bytes(content)
