"""Entries of the replicated log."""

from __future__ import annotations

import enum
import json
from typing import Any

import attrs

from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message

__all__ = ["EntryKind", "LogEntry", "Proposal"]


class EntryKind(enum.Enum):
    """What an entry is for.

    NO_OP begins a leader's term; VOTERS changes the voters; SNAPSHOT is never in
    the log and stands for a state that was taken over as a whole.
    """

    NO_OP = "no-op"
    COMMAND = "command"
    VOTERS = "voters"
    SNAPSHOT = "snapshot"


@attrs.frozen
class Proposal:
    """A command as a client proposes it.

    Attributes:
      command: its name.
      message: its argument.
      client: the client's id.
      sequence: the client's number of the proposal; a resend repeats it.
      answered: every lower number of this client has its answer.
    """

    command: str
    message: Message
    client: str
    sequence: int
    answered: int = 0

    def to_text(self) -> str:
        """Return the proposal as JSON text."""
        document = {
            "command": self.command,
            "message": self.message,
            "client": self.client,
            "sequence": self.sequence,
            "answered": self.answered,
        }
        return json.dumps(document, separators=(",", ":"))


@attrs.frozen
class LogEntry:
    """One entry.

    The body is kept as text: what a command does to its argument cannot change
    the log.

    Attributes:
      index: its place, from 1.
      term: the term of the leader that appended it.
      time_s: the cluster's time, which never goes back.
      kind: what it is for.
      body: the proposal or the voter set, as JSON text.
    """

    index: int
    term: int
    time_s: float
    kind: EntryKind = EntryKind.NO_OP
    body: str = "{}"

    def proposal(self) -> Proposal:
        """Return the proposal of a COMMAND entry."""
        return Proposal(**json.loads(self.body))

    def voter_set(self) -> VoterSet:
        """Return the voters of a VOTERS entry."""
        return VoterSet.from_document(json.loads(self.body))

    def to_row(self) -> list[Any]:
        """Return the entry as a JSON array."""
        return [self.index, self.term, self.time_s, self.kind.value, self.body]

    @classmethod
    def from_row(cls, row: list[Any]) -> LogEntry:
        """Return the entry of a JSON array."""
        index, term, time_s, kind, body = row
        return cls(index, term, time_s, EntryKind(kind), body)

    def to_bytes(self) -> bytes:
        """Return the entry as it stands on disk."""
        return json.dumps(self.to_row(), separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> LogEntry:
        """Return the entry of bytes from disk."""
        return cls.from_row(json.loads(data))
