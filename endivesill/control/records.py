"""Record format of the files on disk: length, checksum and position.

A file is written in batches; a batch is written only after the previous one was
synced. Each record holds the offset of its batch. A damaged record that is followed
by a record of a later batch was therefore synced and corrupted afterwards, whereas
a damaged record in the last batch is a torn write from a crash.
"""

from __future__ import annotations

import struct
import zlib

import attrs

from endivesill import errors

__all__ = ["Record", "decode_file", "encode_file", "encode_record", "read_records"]

_HEADER = struct.Struct(">IIQ")
_POSITION = struct.Struct(">QQ")
MAX_RECORD_BYTES = 64 * 1_048_576


@attrs.frozen
class Record:
    """One record of a file.

    Attributes:
      offset: byte offset of the record in the file.
      end: byte offset of the next record.
      batch_offset: byte offset of the record's batch.
      payload: the content.
    """

    offset: int
    end: int
    batch_offset: int
    payload: bytes


def _checksum(payload: bytes, offset: int, batch_offset: int) -> int:
    return zlib.crc32(payload, zlib.crc32(_POSITION.pack(offset, batch_offset)))


def encode_record(payload: bytes, offset: int, batch_offset: int) -> bytes:
    """Return the bytes of a record to be written at an offset of the file."""
    checksum = _checksum(payload, offset, batch_offset)
    return _HEADER.pack(len(payload), checksum, batch_offset) + payload


def _decode_record(data: bytes, offset: int) -> Record | None:
    if offset + _HEADER.size > len(data):
        return None
    length, checksum, batch_offset = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    end = start + length
    if not 0 < length <= MAX_RECORD_BYTES or end > len(data):
        return None
    if batch_offset > offset:
        return None
    payload = data[start:end]
    if _checksum(payload, offset, batch_offset) != checksum:
        return None
    return Record(offset, end, batch_offset, payload)


def read_records(name: str, data: bytes, *, may_be_torn: bool) -> list[Record]:
    """Return the records of a file, without a torn tail.

    Args:
      name: the file's name, for error messages.
      data: the file's content.
      may_be_torn: whether a torn tail is possible: only in the last file.

    Raises:
      StorageCorruptError: a record that had been synced is damaged.
    """
    records = []
    offset = 0
    while offset < len(data):
        record = _decode_record(data, offset)
        if record is None:
            if not may_be_torn or _has_later_batch(data, offset):
                raise errors.StorageCorruptError(
                    f"{name}: damaged record at offset {offset}"
                )
            break
        records.append(record)
        offset = record.end
    return records


def _has_later_batch(data: bytes, damaged_offset: int) -> bool:
    for offset in range(damaged_offset + 1, len(data) - _HEADER.size + 1):
        batch_offset = _HEADER.unpack_from(data, offset)[2]
        if not damaged_offset < batch_offset <= offset:
            continue
        if _decode_record(data, offset) is not None:
            return True
    return False


def encode_file(payload: bytes) -> bytes:
    """Return the content of a file that consists of one record."""
    return encode_record(payload, 0, 0)


def decode_file(name: str, data: bytes) -> bytes:
    """Return the payload of a file that consists of one record.

    Raises:
      StorageCorruptError: the file is damaged.
    """
    record = _decode_record(data, 0)
    if record is None or record.end != len(data):
        raise errors.StorageCorruptError(f"{name}: damaged record at offset 0")
    return record.payload
