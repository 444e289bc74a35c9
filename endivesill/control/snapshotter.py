"""Writes snapshots and lets the log go of what they hold."""

from __future__ import annotations

from endivesill import errors, events
from endivesill.control.core import ReplicaCore
from endivesill.control.events import DISK_FAILED, SNAPSHOT_WRITTEN
from endivesill.control.snapshots import Snapshot

__all__ = ["Snapshotter"]

RETRY_S = 5.0


class Snapshotter:
    """The part of a replica that bounds the log.

    Args:
      core: the replica's shared state.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core

    async def run(self) -> None:
        """Write a snapshot each time that enough entries were applied."""
        core = self._core
        while True:
            await core.changed.wait()
            head = core.storage.head
            if head is None:
                continue
            entries = core.machine.applied_index - head.index
            if entries < core.settings.snapshot_entries:
                continue
            try:
                await self.write()
            except errors.StorageError as error:
                events.emit(DISK_FAILED, error=str(error))
                await core.timer.sleep(RETRY_S)

    async def write(self) -> None:
        """Write a snapshot of the present state and cut the log."""
        core = self._core
        voter_set = core.applied_voter_set()
        snapshot = core.machine.to_snapshot(core.cluster, voter_set)
        text = await self._text_of(snapshot)
        await core.storage.save_snapshot(text, snapshot.head())
        await core.log.compact_to(snapshot.index - core.settings.trailing_entries)
        events.emit(SNAPSHOT_WRITTEN, index=snapshot.index, size_bytes=len(text))

    async def _text_of(self, snapshot: Snapshot) -> str:
        """Return the text; others run between its parts, but no command does."""
        core = self._core
        parts = []
        core.pause_applying()
        try:
            for part in snapshot.text_parts():
                parts.append(part)
                await core.timer.sleep(0)
        finally:
            core.resume_applying()
        return "".join(parts)
