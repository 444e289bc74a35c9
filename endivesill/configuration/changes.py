"""Changes of the configuration, their digests and the change log.

The digest of a configuration is the sum of its items' digests modulo 2**256, so that
the cost of updating it depends on the size of the change only.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from typing import Any

import attrs

from endivesill import errors
from endivesill.peers import Message

__all__ = [
    "Change",
    "ChangeLog",
    "Document",
    "Documents",
    "difference",
    "digest_of_change",
    "digest_of_documents",
    "item_digest",
    "updated_digest",
]

Document = dict[str, Any]
Documents = dict[str, Document]

DIGEST_BITS = 256
DIGEST_MASK = (1 << DIGEST_BITS) - 1

# A larger change is distributed as a full copy instead of a delta.
MAX_KEYS_PER_LOGGED_CHANGE = 1_000
MAX_LOGGED_KEYS = 20_000
MAX_LOGGED_REVISIONS = 2_000


@attrs.frozen
class Change:
    """New and changed documents by key, and the keys of removed items."""

    changed: Documents = attrs.Factory(dict)
    removed: tuple[str, ...] = ()

    @classmethod
    def from_message(cls, message: Message) -> Change:
        """Return the change in the fields `changed` and `removed` of a message.

        Raises:
          PeerMessageError: the fields are missing or of other types.
        """
        changed, removed = message.get("changed"), message.get("removed")
        if not isinstance(changed, dict) or not isinstance(removed, list):
            raise errors.PeerMessageError("a change without its items")
        if not all(isinstance(document, dict) for document in changed.values()):
            raise errors.PeerMessageError("an item of a change is no object")
        if not all(isinstance(key, str) for key in removed):
            raise errors.PeerMessageError("a removed key is no text")
        return cls(changed, tuple(removed))

    def __bool__(self) -> bool:
        """Return whether the change is not empty."""
        return bool(self.changed or self.removed)

    @property
    def touched_keys(self) -> list[str]:
        """The keys of all changed and removed items."""
        return [*self.changed, *self.removed]


def difference(before: Documents, after: Documents) -> Change:
    """Return the change that turns `before` into `after`."""
    changed = {
        key: document
        for key, document in sorted(after.items())
        if before.get(key) != document
    }
    removed = tuple(sorted(key for key in before if key not in after))
    return Change(changed, removed)


def _canonical(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def digest_of_change(change: Change, base_revision: int) -> str:
    """Return the digest by which a resent change is recognised, in hex."""
    content = [base_revision, change.changed, sorted(change.removed)]
    return hashlib.sha256(_canonical(content)).hexdigest()


def item_digest(key: str, document: Document) -> int:
    """Return the digest of an item as an integer."""
    return int.from_bytes(hashlib.sha256(_canonical([key, document])).digest())


def updated_digest(
    digest: str, before: Iterable[tuple[str, Document]], after: Documents
) -> str:
    """Return a configuration's digest after a change, in hex.

    Args:
      digest: the digest before the change; the empty string for no items.
      before: keys and documents of the touched items before the change.
      after: the documents of the touched items after the change, by key.
    """
    total = int(digest or "0", 16)
    for key, document in before:
        total -= item_digest(key, document)
    for key, document in after.items():
        total += item_digest(key, document)
    return f"{total & DIGEST_MASK:064x}"


def digest_of_documents(documents: Documents) -> str:
    """Return the digest of a whole configuration, in hex."""
    return updated_digest("", (), documents)


class ChangeLog:
    """A bounded log of the keys that changed at each revision.

    Its content is a JSON object, so that it can be a part of the replicated state.

    Args:
      content: the JSON object, initially empty; it is modified in place.
    """

    def __init__(self, content: dict[str, Any] | None = None) -> None:
        self._content: dict[str, Any] = {} if content is None else content
        self._content.setdefault("floor", 0)
        self._content.setdefault("entries", [])
        self._content.setdefault("keys", 0)

    def append(self, revision: int, keys: list[str]) -> None:
        """Append a change; the oldest entries are dropped beyond the bounds."""
        content = self._content
        if len(keys) > MAX_KEYS_PER_LOGGED_CHANGE:
            self.reset(revision)
            return
        content["entries"].append([revision, keys])
        content["keys"] += len(keys)
        while (
            len(content["entries"]) > MAX_LOGGED_REVISIONS
            or content["keys"] > MAX_LOGGED_KEYS
        ):
            content["floor"], dropped_keys = content["entries"].pop(0)
            content["keys"] -= len(dropped_keys)

    def reset(self, revision: int) -> None:
        """Drop all entries; the log then starts after this revision."""
        self._content.update(floor=revision, entries=[], keys=0)

    def keys_since(self, revision: int) -> list[str] | None:
        """Return the keys changed after a revision.

        Returns:
          None if the log does not reach back to the revision.
        """
        if revision < self._content["floor"]:
            return None
        keys: dict[str, None] = {}
        for entry_revision, entry_keys in reversed(self._content["entries"]):
            if entry_revision <= revision:
                break
            keys.update(dict.fromkeys(entry_keys))
        return sorted(keys)
