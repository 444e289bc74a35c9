"""A VM's copy of the configuration, which never goes back to an older revision."""

from __future__ import annotations

import base64
import json
import zlib
from typing import Any

import attrs

from endivesill import errors
from endivesill.configuration.changes import (
    Change,
    ChangeLog,
    Documents,
    digest_of_documents,
    updated_digest,
)
from endivesill.configuration.model import Configuration
from endivesill.json_text import parse_json
from endivesill.peers import Message

__all__ = [
    "ConfigurationCopy",
    "CopySnapshot",
    "pack_documents",
    "page_keys",
    "unpack_documents",
]

PAGE_ITEMS = 2_000


def pack_documents(documents: Documents) -> str:
    """Return documents as compressed JSON in base64."""
    text = json.dumps(documents, separators=(",", ":"))
    return base64.b64encode(zlib.compress(text.encode())).decode()


def unpack_documents(packed: str) -> Documents:
    """Return the documents from the form made by `pack_documents`.

    Raises:
      PeerMessageError: the text is damaged or holds no documents.
    """
    try:
        documents = parse_json(zlib.decompress(base64.b64decode(packed)))
    except (TypeError, ValueError, zlib.error) as error:
        raise errors.PeerMessageError(f"damaged documents: {error}") from None
    return Change.from_message({"changed": documents, "removed": []}).changed


def page_keys(keys: Any, after: str) -> list[str]:
    """Return the keys of the next page of a full copy.

    Args:
      keys: the keys of all items.
      after: the last key of the previous page, or the empty string.
    """
    return sorted(key for key in keys if key > after)[:PAGE_ITEMS]


@attrs.frozen
class CopySnapshot:
    """The content of a copy at one revision; documents are never modified in place."""

    revision: int
    digest: str
    documents: Documents


class ConfigurationCopy:
    """The configuration in force on a VM.

    Attributes:
      configuration: the typed configuration.
      documents: the documents by key.
      digest: the digest of the documents.
      as_of: the control log index up to which the copy includes all changes.
    """

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.documents: Documents = {}
        self.digest = ""
        self.as_of = 0
        self._change_log = ChangeLog()

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.configuration.revision

    def snapshot(self) -> CopySnapshot:
        """Return the current content; its dictionary is a shallow copy."""
        return CopySnapshot(self.revision, self.digest, dict(self.documents))

    def confirm(self, revision: int, as_of: int) -> None:
        """Record that a revision is the newest up to a control log index."""
        if revision == self.revision:
            self.as_of = max(self.as_of, as_of)

    def apply(self, delta: Message) -> bool:
        """Apply a delta; one that is not newer only advances `as_of`.

        Returns:
          False if the delta is malformed or the result does not match its digest;
          the copy is then unchanged.
        """
        revision = delta["revision"]
        if revision <= self.revision:
            self.confirm(revision, delta["as_of"])
            return True
        try:
            change = Change.from_message(delta)
        except errors.PeerMessageError:
            return False
        before = [
            (key, self.documents[key])
            for key in change.touched_keys
            if key in self.documents
        ]
        digest = updated_digest(self.digest, before, change.changed)
        if digest != delta["digest"]:
            return False
        configuration = self.configuration.with_changes(
            revision, change.changed, change.removed
        )
        self.documents.update(change.changed)
        for key in change.removed:
            self.documents.pop(key, None)
        self.digest = digest
        self.configuration = configuration
        self.as_of = delta["as_of"]
        self._change_log.append(revision, change.touched_keys)
        return True

    def replace(
        self, revision: int, as_of: int, documents: Documents, digest: str
    ) -> bool:
        """Replace the content by a full copy; see `apply`."""
        if revision <= self.revision:
            self.confirm(revision, as_of)
            return True
        if digest_of_documents(documents) != digest:
            return False
        self.documents = documents
        self.digest = digest
        self.configuration = Configuration().with_changes(revision, documents, ())
        self.as_of = as_of
        self._change_log.reset(revision)
        return True

    def delta_since(self, revision: int) -> Message | None:
        """Return the delta from a revision, or None if the log does not reach back."""
        keys = self._change_log.keys_since(revision)
        if keys is None:
            return None
        return {
            "revision": self.revision,
            "as_of": self.as_of,
            "digest": self.digest,
            "changed": {k: self.documents[k] for k in keys if k in self.documents},
            "removed": [k for k in keys if k not in self.documents],
        }

    def page(self, after: str) -> Message:
        """Return the page of a full copy that follows the key `after`."""
        keys = page_keys(self.documents, after)
        return {
            "revision": self.revision,
            "packed": pack_documents({k: self.documents[k] for k in keys}),
            "last": keys[-1] if len(keys) == PAGE_ITEMS else "",
        }
