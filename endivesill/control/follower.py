"""Handling of the leader's append and snapshot requests."""

from __future__ import annotations

import asyncio
import zlib

import attrs

from endivesill import errors
from endivesill.control.core import ReplicaCore, Role
from endivesill.control.entries import LogEntry
from endivesill.control.messages import (
    AppendRequest,
    AppendResponse,
    ChunkRequest,
    ChunkResponse,
)
from endivesill.control.snapshots import Snapshot

__all__ = ["Follower"]

REORDER_TIMEOUT_S = 0.05


@attrs.define
class _IncomingSnapshot:
    """A snapshot that is partly received.

    Attributes:
      leader: identity of the sender.
      index: the last log index that the snapshot includes.
      checksum: CRC-32 of the complete text.
      parts: the chunks received so far.
      offset: total length of the chunks received so far.
    """

    leader: str
    index: int
    checksum: int
    parts: list[str] = attrs.Factory(list)
    offset: int = 0


class Follower:
    """Applies the leader's append and snapshot requests to the local log.

    Args:
      core: the replica's shared state.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._lock = asyncio.Lock()
        self._incoming: _IncomingSnapshot | None = None

    async def handle_append(self, request: AppendRequest) -> AppendResponse:
        """Append the leader's entries; respond after they are on disk.

        Raises:
          StorageError: the entries could not be written.
        """
        core = self._core
        if not await self._accept_leader(request):
            return AppendResponse(core.term, False, core.log.last_index)
        if request.previous_index > core.log.last_index:
            await self._wait_for_preceding(request.previous_index)
        entries = [LogEntry.from_row(row) for row in request.rows]
        async with self._lock:
            if core.term != request.term:
                return AppendResponse(core.term, False, core.log.last_index)
            hint = self._conflict_hint(request)
            if hint is not None:
                return AppendResponse(core.term, False, hint)
            await self._append_entries(entries)
        match_index = request.previous_index + len(entries)
        await core.log.wait_synced(match_index)
        # A success response for an old term could let the old leader commit entries
        # that a newer leader has replaced.
        if core.term != request.term:
            return AppendResponse(core.term, False, core.log.last_index)
        core.advance_commit(min(request.commit_index, match_index))
        return AppendResponse(core.term, True, match_index)

    async def _accept_leader(self, request: AppendRequest | ChunkRequest) -> bool:
        """Recognise the caller as the leader unless its term is stale."""
        core = self._core
        if request.term < core.term:
            return False
        await core.advance_and_persist_term(request.term)
        if request.term != core.term or core.role is Role.LEADER:
            return False
        core.accept_leader(request.leader, request.address)
        return True

    async def _wait_for_preceding(self, index: int) -> None:
        """Wait briefly for an earlier request that this one has overtaken."""
        core = self._core

        async def wait() -> None:
            while core.log.last_index < index:
                await core.log.appended.wait()

        try:
            await core.timer.wait_for(wait(), REORDER_TIMEOUT_S)
        except errors.DeadlineExceededError:
            return

    def _conflict_hint(self, request: AppendRequest) -> int | None:
        """Return None if the logs match at the previous index.

        Otherwise return a hint: an index at which the logs may match.
        """
        log = self._core.log
        index = request.previous_index
        if index > log.last_index:
            return log.last_index
        if index < log.base_index:
            # Entries up to the log's base are committed and in the snapshot.
            return None
        term = log.term_at(index)
        if term == request.previous_term:
            return None
        while index > log.base_index and log.term_at(index) == term:
            index -= 1
        return max(index, self._core.commit_index)

    async def _append_entries(self, entries: list[LogEntry]) -> None:
        core = self._core
        log = core.log
        for position, entry in enumerate(entries):
            if entry.index <= log.base_index:
                continue
            if entry.index <= log.last_index:
                if log.term_at(entry.index) == entry.term:
                    continue
                await core.truncate_from(entry.index)
            new_entries = entries[position:]
            log.append(new_entries)
            for new_entry in new_entries:
                core.record_appended(new_entry)
            return

    async def handle_chunk(self, request: ChunkRequest) -> ChunkResponse:
        """Store a snapshot chunk; install the snapshot once it is complete.

        A chunk at an unexpected offset is ignored; the response holds the expected
        offset.

        Raises:
          StorageError: the snapshot could not be written.
        """
        core = self._core
        async with self._lock:
            if not await self._accept_leader(request):
                return ChunkResponse(core.term, 0, False)
            if request.index <= core.commit_index:
                return ChunkResponse(core.term, request.size, True)
            incoming = self._incoming_for(request)
            if request.offset == incoming.offset:
                incoming.parts.append(request.text)
                incoming.offset += len(request.text)
            if incoming.offset < request.size:
                return ChunkResponse(core.term, incoming.offset, False)
            self._incoming = None
            text = "".join(incoming.parts)
            if zlib.crc32(text.encode("ascii")) != request.checksum:
                return ChunkResponse(core.term, 0, False)
            await self._install_snapshot(text)
            return ChunkResponse(core.term, request.size, True)

    def _incoming_for(self, request: ChunkRequest) -> _IncomingSnapshot:
        key = (request.leader, request.index, request.checksum)
        incoming = self._incoming
        if incoming is None or key != (
            incoming.leader,
            incoming.index,
            incoming.checksum,
        ):
            incoming = _IncomingSnapshot(*key)
            self._incoming = incoming
        return incoming

    async def _install_snapshot(self, text: str) -> None:
        core = self._core
        snapshot = Snapshot.from_text(text)
        await core.storage.save_snapshot(text, snapshot.header())
        if core.log.term_at(snapshot.index) != snapshot.term:
            await core.log.reset(snapshot.index, snapshot.term)
        core.install_snapshot(snapshot)
