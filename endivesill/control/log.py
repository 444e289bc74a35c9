"""The replicated log of one replica: in memory, and in files of records.

Entries are taken into memory at once and written by one task, which syncs all
that has come meanwhile in one go (group commit).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import attrs

from endivesill import errors, events
from endivesill.control.disk import Disk
from endivesill.control.entries import LogEntry
from endivesill.control.events import DISK_FAILED
from endivesill.control.records import encode_record, read_records
from endivesill.signals import Signal

__all__ = ["Log"]

PREFIX = "log-"
NAME_DIGITS = 20


@attrs.define
class _Segment:
    """One file of the log.

    Attributes:
      first_index: the index of its first entry.
      size_bytes: how much of it is synced.
      offsets: where each of its entries begins.
    """

    first_index: int
    size_bytes: int = 0
    offsets: list[int] = attrs.Factory(list)

    @property
    def name(self) -> str:
        """The file's name."""
        return f"{PREFIX}{self.first_index:0{NAME_DIGITS}d}"

    @property
    def last_index(self) -> int:
        """The index of its last entry; one under the first if it is empty."""
        return self.first_index + len(self.offsets) - 1


class Log:
    """The entries behind a snapshot.

    Args:
      disk: where the files are.
      segment_bytes: size at which a new file is begun.

    Attributes:
      base_index: the index before the first entry that is held.
      base_term: the term of that index.
      synced_index: the last index that is on disk for good.
      failure: why the disk cannot be used any more, or None.
      last_error: why the last sync failed, or None if it did not.
      grown: notified after each append.
    """

    def __init__(self, disk: Disk, segment_bytes: int) -> None:
        self._disk = disk
        self._segment_bytes = segment_bytes
        self._entries: list[LogEntry] = []
        self._segments: list[_Segment] = []
        self._lock = asyncio.Lock()
        self._dirty = asyncio.Event()
        self._changed = Signal()
        self._failures: int = 0
        self._listeners: list[Callable[[], None]] = []
        self.base_index = 0
        self.base_term = 0
        self.synced_index = 0
        self.failure: errors.StorageError | None = None
        self.last_error: errors.StorageError | None = None
        self.appended = Signal()

    @property
    def last_index(self) -> int:
        """The index of the last entry, synced or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def first_index(self) -> int:
        """The lowest index whose entry is held."""
        return self.base_index + 1

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index that is held."""
        return self._entries[index - self.base_index - 1]

    def entries(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries from one index to another, both included."""
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def term_at(self, index: int) -> int | None:
        """Return the term of an index, or None if it is not known here."""
        if index == self.base_index:
            return self.base_term
        if not self.first_index <= index <= self.last_index:
            return None
        return self.entry(index).term

    def add_sync_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener after each sync and after each failure of one."""
        self._listeners.append(listener)

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Take entries into memory; the writer task makes them last."""
        self._entries.extend(entries)
        self._dirty.set()
        self.appended.notify()

    async def wait_synced(self, index: int) -> None:
        """Wait until an entry is on disk for good.

        Raises:
          StorageError: the disk refused; the entry may be written later.
        """
        failures = self._failures
        if self.synced_index < index:
            self._dirty.set()
        while self.synced_index < index:
            if self._failures != failures or self.failure is not None:
                raise _copy(self.last_error or self.failure)
            if index > self.last_index:
                raise errors.StorageError(f"entry {index} was cut off")
            await self._changed.wait()

    async def run(self) -> None:
        """Write and sync what is appended, for as long as the replica runs."""
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            try:
                async with self._lock:
                    await self._flush()
                self.last_error = None
            except errors.StorageError as error:
                self._failures += 1
                self.last_error = error
                events.emit(DISK_FAILED, error=str(error))
            self._announce()

    def _announce(self) -> None:
        self._changed.notify()
        for listener in self._listeners:
            listener()

    async def _flush(self) -> None:
        if self.failure is not None:
            raise _copy(self.failure)
        batch = self.entries(self.synced_index + 1, self.last_index)
        if not batch:
            return
        segment = await self._open_segment(batch[0].index)
        data, offsets = _encode_batch(batch, segment.size_bytes)
        try:
            self._disk.append(segment.name, data)
        except errors.DiskFullError:
            # A part may have been written; the file must end at a record.
            await self._or_fail(self._disk.truncate(segment.name, segment.size_bytes))
            raise
        except errors.StorageError as error:
            self.failure = error
            raise
        await self._or_fail(self._disk.sync(segment.name))
        segment.offsets.extend(offsets)
        segment.size_bytes += len(data)
        self.synced_index = batch[-1].index

    async def _or_fail(self, operation: Awaitable[None]) -> None:
        """Await an operation after whose failure the files are not known."""
        try:
            await operation
        except errors.StorageError as error:
            self.failure = error
            raise

    async def _open_segment(self, first_index: int) -> _Segment:
        if self._segments and self._segments[-1].size_bytes < self._segment_bytes:
            return self._segments[-1]
        segment = _Segment(first_index)
        try:
            await self._disk.create(segment.name)
        except errors.StorageError:
            await self._or_fail(self._disk.remove(segment.name))
            raise
        self._segments.append(segment)
        return segment

    async def truncate_from(self, index: int) -> None:
        """Cut off the entry at an index and all behind it, for good."""
        async with self._lock:
            del self._entries[index - self.base_index - 1 :]
            if self.synced_index >= index:
                self.synced_index = index - 1
                await self._or_fail(self._cut_files(index))
        self._announce()

    async def _cut_files(self, index: int) -> None:
        while self._segments and self._segments[-1].first_index >= index:
            await self._disk.remove(self._segments.pop().name)
        if not self._segments or self._segments[-1].last_index < index:
            return
        segment = self._segments[-1]
        position = index - segment.first_index
        segment.size_bytes = segment.offsets[position]
        del segment.offsets[position:]
        await self._disk.truncate(segment.name, segment.size_bytes)

    async def compact_to(self, index: int) -> None:
        """Let go of synced entries up to an index that a snapshot holds."""
        async with self._lock:
            index = min(index, self.synced_index)
            if index <= self.base_index:
                return
            term = self.term_at(index)
            assert term is not None
            del self._entries[: index - self.base_index]
            self.base_index, self.base_term = index, term
            while len(self._segments) > 1 and self._segments[0].last_index <= index:
                await self._or_fail(self._disk.remove(self._segments[0].name))
                del self._segments[0]

    async def reset(self, index: int, term: int) -> None:
        """Drop every entry; the log goes on after an index."""
        async with self._lock:
            self._entries.clear()
            self.base_index, self.base_term = index, term
            self.synced_index = index
            while self._segments:
                # From the last to the first, so that a crash leaves no gap.
                name = self._segments.pop().name
                await self._or_fail(self._disk.remove(name))
        self._announce()

    async def recover(self, snapshot_index: int, snapshot_term: int) -> None:
        """Read the files after a start.

        Args:
          snapshot_index: the last index that the snapshot holds.
          snapshot_term: its term.

        Raises:
          StorageCorruptError: a file is damaged, or entries are missing.
        """
        names = [name for name in self._disk.names() if name.startswith(PREFIX)]
        entries: list[LogEntry] = []
        for name in names:
            segment = self._read_segment(name, entries, name == names[-1])
            await self._cut_torn_tail(segment)
        if self._segments:
            self.base_index = self._segments[0].first_index - 1
        self._entries = entries
        self.synced_index = self.last_index
        await self._join_snapshot(snapshot_index, snapshot_term)

    def _read_segment(
        self, name: str, entries: list[LogEntry], is_last: bool
    ) -> _Segment:
        records = read_records(name, self._disk.read(name), may_be_torn=is_last)
        segment = _Segment(int(name[len(PREFIX) :]))
        expected = segment.first_index
        if self._segments and self._segments[-1].last_index + 1 != expected:
            raise errors.StorageCorruptError(f"{name}: entries before it are missing")
        for record in records:
            entry = LogEntry.from_bytes(record.payload)
            if entry.index != expected:
                raise errors.StorageCorruptError(
                    f"{name}: entry {entry.index} in place of {expected} "
                    f"at offset {record.offset}"
                )
            entries.append(entry)
            segment.offsets.append(record.offset)
            expected += 1
        segment.size_bytes = records[-1].end if records else 0
        self._segments.append(segment)
        return segment

    async def _cut_torn_tail(self, segment: _Segment) -> None:
        if len(self._disk.read(segment.name)) > segment.size_bytes:
            await self._disk.truncate(segment.name, segment.size_bytes)

    async def _join_snapshot(self, index: int, term: int) -> None:
        """Let the log follow the snapshot, or drop it where it does not."""
        if index and self.base_index > index:
            raise errors.StorageCorruptError(
                f"{self._segments[0].name}: entries after {index} are missing"
            )
        if index == self.base_index:
            self.base_term = term
        elif self.term_at(index) == term:
            # The term before the first entry is not on disk.
            await self.compact_to(self.first_index)
        else:
            await self.reset(index, term)


def _copy(error: errors.StorageError | None) -> errors.StorageError:
    """Return an error to raise in another task, with a traceback of its own."""
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
