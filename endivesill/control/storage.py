"""Durable state of a replica: identity, term, vote, snapshot and log."""

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
    """State that must be durable before it is sent to other replicas.

    Attributes:
      identity: the replica ID; lost with the disk, so that an empty disk is
        another replica.
      term: the highest term seen.
      voted_for: the candidate that received this replica's vote in the term.
    """

    identity: str
    term: int = 0
    voted_for: str | None = None


class ReplicaStorage:
    """The files of a replica.

    Args:
      disk: the storage of the files.
      segment_bytes: size at which a new log segment is started.

    Attributes:
      log: the replicated log.
      metadata: identity, term and vote as they are on disk.
      snapshot_header: the latest snapshot without its state, or None.
    """

    def __init__(self, disk: Disk, segment_bytes: int) -> None:
        self._disk = disk
        self.log = Log(disk, segment_bytes)
        self._snapshot_lock = asyncio.Lock()
        self.metadata = Metadata("")
        self.snapshot_header: Snapshot | None = None

    async def load(self) -> Snapshot | None:
        """Read all files; an empty disk gets a new identity.

        Returns:
          The latest snapshot with its state, or None.

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
            self.snapshot_header = snapshot.header()
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
        """Write identity, term and vote durably.

        Raises:
          StorageError: the previous values may still be on disk.
        """
        data = json.dumps(attrs.asdict(metadata)).encode()
        await self._disk.replace(METADATA_NAME, encode_file(data))
        self.metadata = metadata

    async def save_snapshot(self, text: str, header: Snapshot) -> None:
        """Write a snapshot durably, unless one as recent exists.

        Args:
          text: the snapshot as JSON text.
          header: the same snapshot without its state.

        Raises:
          StorageError: the previous snapshot may still be on disk.
        """
        async with self._snapshot_lock:
            if (
                self.snapshot_header is not None
                and self.snapshot_header.index >= header.index
            ):
                return
            data = encode_file(text.encode("ascii"))
            await self._disk.replace(SNAPSHOT_NAME, data)
            self.snapshot_header = header

    def snapshot_text(self) -> str:
        """Read the text of the latest snapshot from disk.

        Raises:
          StorageCorruptError: the file is damaged.
        """
        data = decode_file(SNAPSHOT_NAME, self._disk.read(SNAPSHOT_NAME))
        return data.decode("ascii")

    def close(self) -> None:
        """Close the disk; nothing may be read or written afterwards."""
        self._disk.close()
