"""Periodic snapshots and log compaction."""

from __future__ import annotations

from endivesill import errors, events
from endivesill.control.core import ReplicaCore
from endivesill.control.events import DISK_FAILED, SNAPSHOT_WRITTEN
from endivesill.control.snapshots import Snapshot

__all__ = ["Snapshotter"]

RETRY_DELAY_S = 5.0


class Snapshotter:
    """Writes snapshots and compacts the log of a replica.

    Args:
      core: the replica's shared state.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core

    async def run(self) -> None:
        """Write a snapshot after every `snapshot_entries` applied entries."""
        core = self._core
        while True:
            await core.changed.wait()
            header = core.storage.snapshot_header
            if header is None:
                continue
            entries = core.machine.applied_index - header.index
            if entries < core.settings.snapshot_entries:
                continue
            try:
                await self.write()
            except errors.StorageError as error:
                events.emit(DISK_FAILED, error=str(error))
                await core.timer.sleep(RETRY_DELAY_S)

    async def write(self) -> None:
        """Write a snapshot of the current state and compact the log.

        Raises:
          StorageError: the snapshot was not written or the log not compacted.
        """
        core = self._core
        voter_set = core.applied_voter_set()
        snapshot = core.machine.to_snapshot(core.cluster, voter_set)
        text = await self._encode(snapshot)
        await core.storage.save_snapshot(text, snapshot.header())
        await core.log.compact_to(snapshot.index - core.settings.trailing_entries)
        events.emit(SNAPSHOT_WRITTEN, index=snapshot.index, size_bytes=len(text))

    async def _encode(self, snapshot: Snapshot) -> str:
        """Return the snapshot's text, yielding to other tasks between its parts.

        No entry is applied meanwhile, so that the state does not change.
        """
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
