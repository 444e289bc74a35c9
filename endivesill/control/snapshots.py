"""Snapshots: all that a replica knows at one index of the log."""

from __future__ import annotations

import json
from typing import Any

import attrs

from endivesill import errors
from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message

__all__ = ["Snapshot"]


@attrs.frozen
class Snapshot:
    """The state after an entry.

    Attributes:
      index: the entry's index.
      term: its term.
      time_s: the cluster's time at it.
      cluster: the id of the cluster.
      voter_set: who votes.
      sections: the sections of the state.
      sessions: the clients' sessions.
      newest: the index of the last command of each name.
    """

    index: int
    term: int
    time_s: float
    cluster: str
    voter_set: VoterSet
    sections: dict[str, Any] = attrs.Factory(dict)
    sessions: Message = attrs.Factory(dict)
    newest: dict[str, int] = attrs.Factory(dict)

    def head(self) -> Snapshot:
        """Return the snapshot without the state."""
        return attrs.evolve(self, sections={}, sessions={}, newest={})

    def to_text(self) -> str:
        """Return the snapshot as JSON text, in ASCII."""
        document = {
            "index": self.index,
            "term": self.term,
            "time_s": self.time_s,
            "cluster": self.cluster,
            "voter_set": self.voter_set.to_document(),
            "sections": self.sections,
            "sessions": self.sessions,
            "newest": self.newest,
        }
        return json.dumps(document, separators=(",", ":"))

    @classmethod
    def from_text(cls, text: str) -> Snapshot:
        """Return the snapshot of JSON text.

        Raises:
          StorageCorruptError: it is no snapshot.
        """
        try:
            document = json.loads(text)
            document["voter_set"] = VoterSet.from_document(document["voter_set"])
            return cls(**document)
        except (ValueError, KeyError, TypeError) as error:
            raise errors.StorageCorruptError(f"snapshot: {error!r}") from None
