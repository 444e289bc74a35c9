"""Snapshots of the replicated state at one log index."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterator
from typing import Any

import attrs

from endivesill import errors
from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message

__all__ = ["Snapshot"]

ITEMS_PER_PART = 256


@attrs.frozen
class Snapshot:
    """The replicated state after the entry at an index.

    Attributes:
      index: the last log index that the snapshot includes.
      term: the term of the entry at that index.
      time_s: the cluster time of that entry.
      cluster: the cluster ID.
      voter_set: the voters and learners as of that entry.
      sections: the sections of the state.
      sessions: the client sessions; see Sessions.to_document.
      newest: index of the last applied command of each name.
    """

    index: int
    term: int
    time_s: float
    cluster: str
    voter_set: VoterSet
    sections: dict[str, Any] = attrs.Factory(dict)
    sessions: Message = attrs.Factory(dict)
    newest: dict[str, int] = attrs.Factory(dict)

    def header(self) -> Snapshot:
        """Return the snapshot without its state, for use as a header."""
        return attrs.evolve(self, sections={}, sessions={}, newest={})

    def to_text(self) -> str:
        """Return the snapshot as JSON text, in ASCII."""
        return "".join(self.text_parts())

    def text_parts(self) -> Iterator[str]:
        """Yield the JSON text in parts that each take about a millisecond to encode."""
        document = {
            "index": self.index,
            "term": self.term,
            "time_s": self.time_s,
            "cluster": self.cluster,
            "voter_set": self.voter_set.to_document(),
            "newest": self.newest,
        }
        yield _dumps(document)[:-1]
        yield ',"sessions":'
        yield from _object_parts(self.sessions)
        yield ',"sections":{'
        for number, (name, section) in enumerate(self.sections.items()):
            yield f"{',' if number else ''}{_dumps(name)}:"
            yield from _object_parts(section)
        yield "}}"

    @classmethod
    def from_text(cls, text: str) -> Snapshot:
        """Return the snapshot that JSON text holds.

        Raises:
          StorageCorruptError: the text is not a valid snapshot.
        """
        try:
            document = json.loads(text)
            document["voter_set"] = VoterSet.from_document(document["voter_set"])
            return cls(**document)
        except (ValueError, KeyError, TypeError) as error:
            raise errors.StorageCorruptError(f"snapshot: {error!r}") from None


def _dumps(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def _object_parts(items: dict[str, Any]) -> Iterator[str]:
    """Yield the text of a JSON object, ITEMS_PER_PART items at a time."""
    rest = iter(items.items())
    separator = "{"
    while part := dict(itertools.islice(rest, ITEMS_PER_PART)):
        yield separator + _dumps(part)[1:-1]
        separator = ","
    yield "{}" if separator == "{" else "}"
