"""What a replica does with entries and snapshots from the leader."""

from __future__ import annotations

import asyncio
import zlib

import attrs

from endivesill import errors
from endivesill.control.core import ReplicaCore, Role
from endivesill.control.entries import LogEntry
from endivesill.control.messages import (
    AppendAnswer,
    AppendRequest,
    ChunkAnswer,
    ChunkRequest,
)
from endivesill.control.snapshots import Snapshot

__all__ = ["Follower"]

REORDER_WAIT_S = 0.05


@attrs.define
class _Transfer:
    """A snapshot of which a part has come.

    Attributes:
      leader: who sends it.
      index: the snapshot's index.
      checksum: crc32 of the whole text.
      parts: what has come.
      offset: how long that is.
    """

    leader: str
    index: int
    checksum: int
    parts: list[str] = attrs.Factory(list)
    offset: int = 0


class Follower:
    """The part of a replica that takes the leader's log.

    Args:
      core: the replica's shared state.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._lock = asyncio.Lock()
        self._transfer: _Transfer | None = None

    async def handle_append(self, request: AppendRequest) -> AppendAnswer:
        """Take entries; answer once they are on disk."""
        core = self._core
        if not await self._follow(request):
            return AppendAnswer(core.term, False, core.log.last_index)
        if request.previous_index > core.log.last_index:
            await self._wait_for_earlier(request.previous_index)
        entries = [LogEntry.from_row(row) for row in request.rows]
        async with self._lock:
            if core.term != request.term:
                return AppendAnswer(core.term, False, core.log.last_index)
            hint = self._mismatch(request)
            if hint is not None:
                return AppendAnswer(core.term, False, hint)
            await self._take(entries)
        matched = request.previous_index + len(entries)
        await core.log.sync_to(matched)
        # An answer in an old term could commit what a newer leader has replaced.
        if core.term != request.term:
            return AppendAnswer(core.term, False, core.log.last_index)
        core.advance_commit(min(request.commit_index, matched))
        return AppendAnswer(core.term, True, matched)

    async def _follow(self, request: AppendRequest | ChunkRequest) -> bool:
        """Accept the caller as the leader; return whether it is."""
        core = self._core
        if request.term < core.term:
            return False
        await core.observe_term(request.term)
        if request.term != core.term or core.role is Role.LEADER:
            return False
        core.follow(request.leader, request.address)
        return True

    async def _wait_for_earlier(self, index: int) -> None:
        """Wait a moment for a message that this one has overtaken."""
        core = self._core

        async def wait() -> None:
            while core.log.last_index < index:
                await core.log.grown.wait()

        try:
            await core.timer.wait_for(wait(), REORDER_WAIT_S)
        except errors.DeadlineExceededError:
            return

    def _mismatch(self, request: AppendRequest) -> int | None:
        """Return where the logs might agree, or None if they do here."""
        log = self._core.log
        index = request.previous_index
        if index > log.last_index:
            return log.last_index
        if index < log.base_index:
            # All up to there is committed and in the snapshot.
            return None
        term = log.term_at(index)
        if term == request.previous_term:
            return None
        while index > log.base_index and log.term_at(index) == term:
            index -= 1
        return max(index, self._core.commit_index)

    async def _take(self, entries: list[LogEntry]) -> None:
        core = self._core
        log = core.log
        for position, entry in enumerate(entries):
            if entry.index <= log.base_index:
                continue
            if entry.index <= log.last_index:
                if log.term_at(entry.index) == entry.term:
                    continue
                await core.truncate_from(entry.index)
            new = entries[position:]
            log.append(new)
            for appended in new:
                core.note_appended(appended)
            return

    async def handle_chunk(self, request: ChunkRequest) -> ChunkAnswer:
        """Take a part of a snapshot; the last part puts it in use."""
        core = self._core
        async with self._lock:
            if not await self._follow(request):
                return ChunkAnswer(core.term, 0, False)
            if request.index <= core.commit_index:
                return ChunkAnswer(core.term, request.size, True)
            transfer = self._transfer_of(request)
            if request.offset == transfer.offset:
                transfer.parts.append(request.text)
                transfer.offset += len(request.text)
            if transfer.offset < request.size:
                return ChunkAnswer(core.term, transfer.offset, False)
            self._transfer = None
            text = "".join(transfer.parts)
            if zlib.crc32(text.encode("ascii")) != request.checksum:
                return ChunkAnswer(core.term, 0, False)
            await self._install(text)
            return ChunkAnswer(core.term, request.size, True)

    def _transfer_of(self, request: ChunkRequest) -> _Transfer:
        key = (request.leader, request.index, request.checksum)
        transfer = self._transfer
        if transfer is None or key != (
            transfer.leader,
            transfer.index,
            transfer.checksum,
        ):
            transfer = _Transfer(*key)
            self._transfer = transfer
        return transfer

    async def _install(self, text: str) -> None:
        core = self._core
        snapshot = Snapshot.from_text(text)
        await core.storage.save_snapshot(text, snapshot.head())
        if core.log.term_at(snapshot.index) != snapshot.term:
            await core.log.reset(snapshot.index, snapshot.term)
        core.install(snapshot)
