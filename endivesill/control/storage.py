"""All that a replica keeps on its disk: identity, term, vote, snapshot, log."""

from __future__ import annotations

import asyncio
import json
import uuid

import attrs

from endivesill import errors
from endivesill.control.disk import TEMPORARY_SUFFIX, Disk
from endivesill.control.log import Log
from endivesill.control.records import decode_file, encode_file
from endivesill.control.snapshots import Snapshot

__all__ = ["Metadata", "ReplicaStorage"]

METADATA_NAME = "metadata"
SNAPSHOT_NAME = "snapshot"
IDENTITY_LENGTH = 16


@attrs.frozen
class Metadata:
    """What must be on disk before it is told to others.

    Attributes:
      identity: names this disk's replica; a lost disk takes it along.
      term: the highest term that was seen.
      voted_for: who has this replica's vote in the term.
    """

    identity: str
    term: int = 0
    voted_for: str | None = None


class ReplicaStorage:
    """The files of a replica.

    Args:
      disk: where they are.
      segment_bytes: size at which a new log file is begun.

    Attributes:
      log: the replicated log.
      metadata: what is on disk of identity, term and vote.
      head: the last snapshot without its state, or None before there is one.
    """

    def __init__(self, disk: Disk, segment_bytes: int) -> None:
        self._disk = disk
        self.log = Log(disk, segment_bytes)
        self._snapshot_lock = asyncio.Lock()
        self.metadata = Metadata("")
        self.head: Snapshot | None = None

    async def load(self) -> Snapshot | None:
        """Read the files; an empty disk gets a new identity.

        Returns:
          The whole snapshot, if there is one.

        Raises:
          StorageCorruptError: a file is damaged or missing.
        """
        for name in self._disk.names():
            if name.endswith(TEMPORARY_SUFFIX):
                await self._disk.remove(name)
        names = self._disk.names()
        if METADATA_NAME in names:
            self.metadata = self._read_metadata()
        elif names:
            raise errors.StorageCorruptError(f"{METADATA_NAME}: the file is missing")
        else:
            await self.save(Metadata(uuid.uuid4().hex[:IDENTITY_LENGTH]))
        snapshot = None
        if SNAPSHOT_NAME in names:
            snapshot = Snapshot.from_text(self.snapshot_text())
            self.head = snapshot.head()
        elif len(names) > 1:
            raise errors.StorageCorruptError(f"{SNAPSHOT_NAME}: the file is missing")
        index, term = (snapshot.index, snapshot.term) if snapshot else (0, 0)
        await self.log.recover(index, term)
        return snapshot

    def _read_metadata(self) -> Metadata:
        data = decode_file(METADATA_NAME, self._disk.read(METADATA_NAME))
        try:
            return Metadata(**json.loads(data))
        except (ValueError, TypeError) as error:
            raise errors.StorageCorruptError(f"{METADATA_NAME}: {error!r}") from None

    async def save(self, metadata: Metadata) -> None:
        """Replace identity, term and vote."""
        data = json.dumps(attrs.asdict(metadata)).encode()
        await self._disk.replace(METADATA_NAME, encode_file(data))
        self.metadata = metadata

    async def save_snapshot(self, text: str, head: Snapshot) -> None:
        """Write a snapshot's text, unless there is a newer one."""
        async with self._snapshot_lock:
            if self.head is not None and self.head.index >= head.index:
                return
            data = encode_file(text.encode("ascii"))
            await self._disk.replace(SNAPSHOT_NAME, data)
            self.head = head

    def snapshot_text(self) -> str:
        """Return the text of the last snapshot, from disk."""
        data = decode_file(SNAPSHOT_NAME, self._disk.read(SNAPSHOT_NAME))
        return data.decode("ascii")

    def close(self) -> None:
        """Release the disk."""
        self._disk.close()
