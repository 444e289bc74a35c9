"""The replicated log of one replica, in memory and in segment files.

Entries are appended in memory at once. One task writes them to disk; it syncs all
entries appended since the previous sync together (group commit).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import attrs

from endivesill import errors, events
from endivesill.control.disk import Disk
from endivesill.control.entries import LogEntry
from endivesill.control.events import DISK_FAILED
from endivesill.control.records import encode_record, read_records
from endivesill.signals import Signal

__all__ = ["Log"]

SEGMENT_PREFIX = "log-"
INDEX_DIGITS = 20


@attrs.define
class _Segment:
    """One segment file of the log.

    Attributes:
      first_index: index of the first entry; part of the file name.
      size_bytes: size of the synced part.
      offsets: byte offset of each entry's record.
    """

    first_index: int
    size_bytes: int = 0
    offsets: list[int] = attrs.Factory(list)

    @property
    def name(self) -> str:
        """The file name, which sorts by index."""
        return f"{SEGMENT_PREFIX}{self.first_index:0{INDEX_DIGITS}d}"

    @property
    def last_index(self) -> int:
        """Index of the last entry; first_index - 1 if the segment is empty."""
        return self.first_index + len(self.offsets) - 1


class Log:
    """The retained entries of the replicated log, in memory and on disk.

    Args:
      disk: the storage of the segment files.
      segment_bytes: size at which a new segment is started.

    Attributes:
      base_index: the index before the first retained entry.
      base_term: the term of the entry at base_index.
      synced_index: the last index that is synced to disk.
      fatal_error: the error after which the state of the files is unknown and
        nothing is written any more, or None.
      last_error: the error of the last sync, or None if it succeeded.
      appended: notified after each append.
    """

    def __init__(self, disk: Disk, segment_bytes: int) -> None:
        self._disk = disk
        self._segment_bytes = segment_bytes
        self._entries: list[LogEntry] = []
        self._segments: list[_Segment] = []
        # Files that are no longer part of the log, and whether the last segment may
        # have bytes after its last synced record; see `_clean_up`.
        self._leftovers: list[str] = []
        self._is_unclean = False
        self._lock = asyncio.Lock()
        self._dirty = asyncio.Event()
        self._changed = Signal()
        self._failure_count: int = 0
        self._listeners: list[Callable[[], None]] = []
        self.base_index = 0
        self.base_term = 0
        self.synced_index = 0
        self.fatal_error: errors.StorageError | None = None
        self.last_error: errors.StorageError | None = None
        self.appended = Signal()

    @property
    def last_index(self) -> int:
        """Index of the last entry, synced or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def first_index(self) -> int:
        """Index of the first retained entry."""
        return self.base_index + 1

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index, which must be retained."""
        return self._entries[index - self.base_index - 1]

    def entries(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries from `first` to `last`, both included."""
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index.

        None means that the entry is compacted or beyond the end of the log.
        """
        if index == self.base_index:
            return self.base_term
        if not self.first_index <= index <= self.last_index:
            return None
        return self.entry(index).term

    def add_sync_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener after each sync, failed sync, truncation and reset."""
        self._listeners.append(listener)

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Append entries in memory; `run` writes and syncs them."""
        self._entries.extend(entries)
        self._dirty.set()
        self.appended.notify()

    async def wait_synced(self, index: int) -> None:
        """Wait until the entry at an index is synced to disk.

        Raises:
          StorageError: a sync failed or the entry was truncated; after a failed
            sync the entry may still be written later.
        """
        failure_count = self._failure_count
        if self.synced_index < index:
            self._dirty.set()
        while self.synced_index < index:
            if self._failure_count != failure_count or self.fatal_error is not None:
                raise _copy_error(self.last_error or self.fatal_error)
            if index > self.last_index:
                raise errors.StorageError(f"entry {index} was cut off")
            await self._changed.wait()

    async def run(self) -> None:
        """Write and sync appended entries until cancelled."""
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            try:
                async with self._lock:
                    await self._flush()
                self.last_error = None
            except errors.StorageError as error:
                self._failure_count += 1
                self.last_error = error
                events.emit(DISK_FAILED, error=str(error))
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        self._changed.notify()
        for listener in self._listeners:
            listener()

    async def _flush(self) -> None:
        if self.fatal_error is not None:
            raise _copy_error(self.fatal_error)
        batch = self.entries(self.synced_index + 1, self.last_index)
        if not batch:
            return
        await self._clean_up()
        segment = await self._open_segment(batch[0].index)
        data, offsets = _encode_batch(batch, segment.size_bytes)
        try:
            self._disk.append(segment.name, data)
            await self._disk.sync(segment.name)
        except errors.DiskFullError:
            # Part of the batch may have been written, or not synced.
            self._is_unclean = True
            await self._clean_up()
            raise
        except errors.StorageError as error:
            self.fatal_error = error
            raise
        segment.offsets.extend(offsets)
        segment.size_bytes += len(data)
        self.synced_index = batch[-1].index

    async def _clean_up(self) -> None:
        """Remove files and bytes that are not part of the log.

        The content of a file is unknown after its last synced record once a write or
        sync has failed; that part is cut off, and written again from memory.

        Raises:
          DiskFullError: nothing may be written before this has succeeded.
        """
        try:
            while self._leftovers:
                await self._disk.remove(self._leftovers[0])
                del self._leftovers[0]
            if self._is_unclean and self._segments:
                segment = self._segments[-1]
                await self._disk.truncate(segment.name, segment.size_bytes)
            self._is_unclean = False
        except errors.DiskFullError:
            raise
        except errors.StorageError as error:
            self.fatal_error = error
            raise

    async def _open_segment(self, first_index: int) -> _Segment:
        if self._segments and self._segments[-1].size_bytes < self._segment_bytes:
            return self._segments[-1]
        segment = _Segment(first_index)
        try:
            await self._disk.create(segment.name)
        except errors.StorageError:
            self._leftovers.append(segment.name)
            await self._clean_up()
            raise
        self._segments.append(segment)
        return segment

    async def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all later ones, in memory and on disk.

        Raises:
          StorageError: the files could not be truncated. After a lack of space, this
            is done before the next write.
        """
        async with self._lock:
            del self._entries[index - self.base_index - 1 :]
            if self.synced_index >= index:
                self.synced_index = index - 1
                self._truncate_segments(index)
                await self._clean_up()
        self._notify_listeners()

    def _truncate_segments(self, index: int) -> None:
        # Last segment first, so that a crash leaves no gap.
        while self._segments and self._segments[-1].first_index >= index:
            self._leftovers.append(self._segments.pop().name)
        if not self._segments or self._segments[-1].last_index < index:
            return
        segment = self._segments[-1]
        position = index - segment.first_index
        segment.size_bytes = segment.offsets[position]
        del segment.offsets[position:]
        self._is_unclean = True

    async def compact_to(self, index: int) -> None:
        """Discard synced entries up to an index that a snapshot includes.

        Segment files are removed once all their entries are discarded.

        Raises:
          StorageError: a segment file could not be removed.
        """
        async with self._lock:
            index = min(index, self.synced_index)
            if index <= self.base_index:
                return
            term = self.term_at(index)
            assert term is not None
            del self._entries[: index - self.base_index]
            self.base_index, self.base_term = index, term
            while len(self._segments) > 1 and self._segments[0].last_index <= index:
                self._leftovers.append(self._segments.pop(0).name)
            await self._clean_up()

    async def reset(self, index: int, term: int) -> None:
        """Discard all entries; the next entry has the index after the given one.

        Raises:
          StorageError: a segment file could not be removed.
        """
        async with self._lock:
            self._entries.clear()
            self.base_index, self.base_term = index, term
            self.synced_index = index
            while self._segments:
                # Last segment first, so that a crash leaves no gap.
                self._leftovers.append(self._segments.pop().name)
            await self._clean_up()
        self._notify_listeners()

    async def recover(self, snapshot_index: int, snapshot_term: int) -> None:
        """Read the segment files after a start and truncate a torn tail.

        Args:
          snapshot_index: the last index that the snapshot includes; 0 without one.
          snapshot_term: the term of the entry at that index.

        Raises:
          StorageCorruptError: a file is damaged, or entries are missing.
        """
        names = [name for name in self._disk.names() if name.startswith(SEGMENT_PREFIX)]
        entries: list[LogEntry] = []
        for name in names:
            segment = self._read_segment(name, entries, name == names[-1])
            await self._truncate_torn_tail(segment)
        if self._segments:
            self.base_index = self._segments[0].first_index - 1
        self._entries = entries
        self.synced_index = self.last_index
        await self._align_with_snapshot(snapshot_index, snapshot_term)

    def _read_segment(
        self, name: str, entries: list[LogEntry], is_last: bool
    ) -> _Segment:
        records = read_records(name, self._disk.read(name), may_be_torn=is_last)
        segment = _Segment(int(name[len(SEGMENT_PREFIX) :]))
        expected_index = segment.first_index
        if self._segments and self._segments[-1].last_index + 1 != expected_index:
            raise errors.StorageCorruptError(f"{name}: preceding entries are missing")
        for record in records:
            entry = LogEntry.from_bytes(record.payload)
            if entry.index != expected_index:
                raise errors.StorageCorruptError(
                    f"{name}: expected entry {expected_index}, found {entry.index} "
                    f"at offset {record.offset}"
                )
            entries.append(entry)
            segment.offsets.append(record.offset)
            expected_index += 1
        segment.size_bytes = records[-1].end if records else 0
        self._segments.append(segment)
        return segment

    async def _truncate_torn_tail(self, segment: _Segment) -> None:
        if len(self._disk.read(segment.name)) > segment.size_bytes:
            await self._disk.truncate(segment.name, segment.size_bytes)

    async def _align_with_snapshot(self, index: int, term: int) -> None:
        """Discard the log if it does not continue the snapshot."""
        if index and self.base_index > index:
            raise errors.StorageCorruptError(
                f"{self._segments[0].name}: entries after {index} are missing"
            )
        if index == self.base_index:
            self.base_term = term
        elif self.term_at(index) == term:
            # The term before the first entry is not on disk, so the first entry
            # becomes the base.
            await self.compact_to(self.first_index)
        else:
            await self.reset(index, term)


def _copy_error(error: errors.StorageError | None) -> errors.StorageError:
    """Return a copy of an error, so that each task has its own traceback."""
    if isinstance(error, errors.DiskFullError):
        return errors.DiskFullError(str(error))
    return errors.StorageError(str(error or "the log has failed"))


def _encode_batch(batch: list[LogEntry], start: int) -> tuple[bytes, list[int]]:
    data = bytearray()
    offsets = []
    for entry in batch:
        offset = start + len(data)
        offsets.append(offset)
        data += encode_record(entry.to_bytes(), offset, start)
    return bytes(data), offsets
