"""The copy of the configuration on a VM's disk.

After a restart it saves fetching a full copy. It does not permit new work: the VM
needs a new lease first.
"""

from __future__ import annotations

import itertools
import json
import os
import pathlib
import zlib
from collections.abc import Iterator
from typing import Any

from endivesill.configuration.copy import ConfigurationCopy, CopySnapshot

__all__ = ["ConfigurationFile"]

FILE_NAME = "configuration.json.z"

# Documents are encoded in chunks, so that the encoding thread releases the interpreter
# lock to the event loop in between.
CHUNK_ITEMS = 500


class ConfigurationFile:
    """A file that is replaced atomically: write, sync, rename, sync of the folder.

    It is a compressed text of JSON lines: a header, then objects of documents by key.

    Args:
      data_folder: the folder of the VM's durable files.
    """

    def __init__(self, data_folder: str) -> None:
        self._folder = pathlib.Path(data_folder)

    def load(self, copy: ConfigurationCopy) -> bool:
        """Fill an empty copy; return whether the file exists and is intact."""
        try:
            packed = (self._folder / FILE_NAME).read_bytes()
            header, *chunks = zlib.decompress(packed).splitlines()
            documents = {}
            for chunk in chunks:
                documents.update(json.loads(chunk))
            content = json.loads(header)
            return copy.replace(content["revision"], 0, documents, content["digest"])
        except (OSError, ValueError, KeyError, TypeError, zlib.error):
            return False

    def save(self, snapshot: CopySnapshot) -> None:
        """Replace the file durably.

        Raises:
          OSError: writing failed; the previous file stays.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        temporary = self._folder / (FILE_NAME + ".new")
        with open(temporary, "wb") as file:
            file.write(zlib.compress("\n".join(_lines(snapshot)).encode(), 1))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self._folder / FILE_NAME)
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _lines(snapshot: CopySnapshot) -> Iterator[str]:
    yield _encode({"revision": snapshot.revision, "digest": snapshot.digest})
    items = iter(snapshot.documents.items())
    while chunk := dict(itertools.islice(items, CHUNK_ITEMS)):
        yield _encode(chunk)


def _encode(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))
