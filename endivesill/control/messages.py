"""Messages between control replicas, and their JSON objects.

Each names the cluster and the identity that it is meant for: a VM whose disk
was lost answers at the same address as another replica.
"""

from __future__ import annotations

from typing import Any, TypeVar

import attrs

from endivesill import errors
from endivesill.peers import Message

__all__ = [
    "APPEND_PATH",
    "CHUNK_PATH",
    "LEAD_PATH",
    "VOTE_PATH",
    "AppendAnswer",
    "AppendRequest",
    "ChunkAnswer",
    "ChunkRequest",
    "LeadAnswer",
    "LeadRequest",
    "VoteAnswer",
    "VoteRequest",
    "from_message",
    "to_message",
]

VOTE_PATH = "/control/vote"
APPEND_PATH = "/control/append"
CHUNK_PATH = "/control/chunk"
LEAD_PATH = "/control/lead"

T = TypeVar("T")


@attrs.frozen
class VoteRequest:
    """Asks for a vote.

    Attributes:
      pre: only asks whether the vote would be given; nothing changes.
      transfer: the leader itself wants this election.
    """

    cluster: str
    to: str
    candidate: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool


@attrs.frozen
class VoteAnswer:
    """The answer to a VoteRequest."""

    term: int
    granted: bool


@attrs.frozen
class AppendRequest:
    """Entries for a replica; without any it is a heartbeat.

    Attributes:
      address: where the leader takes calls.
      previous_index: the index before the first entry.
      previous_term: the term that the leader has there.
      commit_index: the last committed index that the leader knows.
      rows: the entries as JSON arrays.
    """

    cluster: str
    to: str
    leader: str
    address: str
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    rows: list[Any]


@attrs.frozen
class AppendAnswer:
    """The answer to an AppendRequest.

    Attributes:
      term: the term that the replica is in.
      success: whether its log holds all that was sent, on disk.
      last_index: up to where, or after a refusal where it might agree.
    """

    term: int
    success: bool
    last_index: int


@attrs.frozen
class ChunkRequest:
    """A part of a snapshot.

    Attributes:
      index: the snapshot's index.
      offset: where the part begins in the snapshot's text.
      size: the length of the whole text.
      checksum: crc32 of the whole text.
      text: the part.
    """

    cluster: str
    to: str
    leader: str
    address: str
    term: int
    index: int
    offset: int
    size: int
    checksum: int
    text: str


@attrs.frozen
class ChunkAnswer:
    """The answer to a ChunkRequest.

    Attributes:
      term: the term that the replica is in.
      offset: where the next part must begin.
      installed: whether the snapshot is in use.
    """

    term: int
    offset: int
    installed: bool


@attrs.frozen
class LeadRequest:
    """Asks a voter to stand for election at once."""

    cluster: str
    to: str
    term: int


@attrs.frozen
class LeadAnswer:
    """The answer to a LeadRequest."""

    leads: bool


def to_message(value: Any) -> Message:
    """Return the JSON object of a message; its fields go without their names."""
    return {"fields": list(attrs.astuple(value, recurse=False))}


def from_message(kind: type[T], message: Message) -> T:
    """Return the message of a JSON object.

    Raises:
      PeerUnreachableError: the peer refused or speaks another protocol.
    """
    try:
        return kind(*message["fields"])
    except (KeyError, TypeError):
        text = message.get("refused", "unknown fields")
        raise errors.PeerUnreachableError(f"{kind.__name__}: {text}") from None
