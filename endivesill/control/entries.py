"""Entries of the replicated log."""

from __future__ import annotations

import enum
import json
from typing import Any

import attrs

from endivesill.control.voter_set import VoterSet
from endivesill.peers import Message

__all__ = ["EntryKind", "LogEntry", "Proposal"]

# `Proposal.to_text` writes the command first.
_COMMAND_PREFIX = '{"command":%s,'


class EntryKind(enum.Enum):
    """Kind of a log entry.

    NO_OP is the first entry of a leader's term; COMMAND holds a proposal; VOTERS
    holds a new voter set; SNAPSHOT is never in the log; it notifies listeners that a
    snapshot was installed.
    """

    NO_OP = "no-op"
    COMMAND = "command"
    VOTERS = "voters"
    SNAPSHOT = "snapshot"


@attrs.frozen
class Proposal:
    """A command proposed by a client.

    Attributes:
      command: the command's name.
      message: the command's argument.
      client: the client ID.
      sequence: the client's sequence number; a resend has the same one.
      answered: the client has the answers to all lower sequence numbers.
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
    """One log entry.

    The body is kept as text, so that a command that modifies its argument does not
    modify the log.

    Attributes:
      index: the position in the log, from 1.
      term: the term of the leader that appended the entry.
      time_s: the cluster time, which never goes back.
      kind: the kind of the entry.
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

    def holds_command(self, name: str) -> bool:
        """Return whether this is the command of a name, without parsing the body."""
        prefix = _COMMAND_PREFIX % json.dumps(name)
        return self.kind is EntryKind.COMMAND and self.body.startswith(prefix)

    def voter_set(self) -> VoterSet:
        """Return the voter set of a VOTERS entry."""
        return VoterSet.from_document(json.loads(self.body))

    def to_row(self) -> list[Any]:
        """Return the entry as `[index, term, time_s, kind, body]`."""
        return [self.index, self.term, self.time_s, self.kind.value, self.body]

    @classmethod
    def from_row(cls, row: list[Any]) -> LogEntry:
        """Return the entry that `to_row` encoded."""
        index, term, time_s, kind, body = row
        return cls(index, term, time_s, EntryKind(kind), body)

    def to_bytes(self) -> bytes:
        """Return the entry as JSON bytes for the log file."""
        return json.dumps(self.to_row(), separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> LogEntry:
        """Return the entry that `to_bytes` encoded."""
        return cls.from_row(json.loads(data))
