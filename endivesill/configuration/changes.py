"""Changes of the configuration and the digests that tell two of them apart.

The digest of a whole configuration is the sum of its items' digests, so that a
change of one item costs one item's work whatever the size of the whole.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from typing import Any

import attrs

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

# A larger change is carried as a full copy, not as a delta.
CHANGE_LOG_LARGEST_KEYS = 1_000
CHANGE_LOG_KEYS = 20_000
CHANGE_LOG_REVISIONS = 2_000


@attrs.frozen
class Change:
    """New and changed documents by key, and the keys of items that are gone."""

    changed: Documents = attrs.Factory(dict)
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Tell whether anything changes."""
        return bool(self.changed or self.removed)

    @property
    def touched(self) -> list[str]:
        """The keys of all items that the change touches."""
        return [*self.changed, *self.removed]


def difference(before: Documents, after: Documents) -> Change:
    """Return the change that turns one set of documents into another."""
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
    """Return the digest that tells a resent change from another one."""
    content = [base_revision, change.changed, sorted(change.removed)]
    return hashlib.sha256(_canonical(content)).hexdigest()


def item_digest(key: str, document: Document) -> int:
    """Return the digest of one item."""
    return int.from_bytes(hashlib.sha256(_canonical([key, document])).digest())


def updated_digest(
    digest: str, before: Iterable[tuple[str, Document]], after: Documents
) -> str:
    """Return a configuration's digest after some items changed.

    Args:
      digest: the digest before the change; the empty string for no items.
      before: the items touched, as they were.
      after: the items touched that remain, as they are now.
    """
    total = int(digest or "0", 16)
    for key, document in before:
        total -= item_digest(key, document)
    for key, document in after.items():
        total += item_digest(key, document)
    return f"{total & DIGEST_MASK:064x}"


def digest_of_documents(documents: Documents) -> str:
    """Return the digest of a whole configuration."""
    return updated_digest("", (), documents)


class ChangeLog:
    """Which keys changed at which revision, for as far back as it reaches.

    It works on a JSON object, so that the replicated state can hold one.

    Args:
      content: the object, empty at first; it is changed in place.
    """

    def __init__(self, content: dict[str, Any] | None = None) -> None:
        self._content: dict[str, Any] = {} if content is None else content
        self._content.setdefault("floor", 0)
        self._content.setdefault("entries", [])
        self._content.setdefault("keys", 0)

    def append(self, revision: int, keys: list[str]) -> None:
        """Note a change; the oldest ones are forgotten beyond the bounds."""
        content = self._content
        if len(keys) > CHANGE_LOG_LARGEST_KEYS:
            self.restart(revision)
            return
        content["entries"].append([revision, keys])
        content["keys"] += len(keys)
        while (
            len(content["entries"]) > CHANGE_LOG_REVISIONS
            or content["keys"] > CHANGE_LOG_KEYS
        ):
            content["floor"], forgotten = content["entries"].pop(0)
            content["keys"] -= len(forgotten)

    def restart(self, revision: int) -> None:
        """Forget all; the log reaches back to this revision and no further."""
        self._content.update(floor=revision, entries=[], keys=0)

    def keys_since(self, revision: int) -> list[str] | None:
        """Return the keys changed after a revision, or None if not known."""
        if revision < self._content["floor"]:
            return None
        keys: dict[str, None] = {}
        for entry_revision, entry_keys in reversed(self._content["entries"]):
            if entry_revision <= revision:
                break
            keys.update(dict.fromkeys(entry_keys))
        return sorted(keys)
