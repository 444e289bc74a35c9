"""Messages between control replicas, and their JSON form.

Requests carry the cluster ID and the recipient's identity: after the loss of its
disk, a VM is another replica at the same address.
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
    "AppendRequest",
    "AppendResponse",
    "ChunkRequest",
    "ChunkResponse",
    "LeadRequest",
    "LeadResponse",
    "VoteRequest",
    "VoteResponse",
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
    """Requests a vote.

    Attributes:
      cluster: the cluster ID.
      to: the recipient's identity.
      candidate: the candidate's identity.
      term: the candidate's term.
      last_index: index of the candidate's last log entry.
      last_term: term of the candidate's last log entry.
      pre_vote: whether to respond without changing any state.
      transfer: whether the leader requested the election, so that its lease does
        not prevent a vote.
    """

    cluster: str
    to: str
    candidate: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


@attrs.frozen
class VoteResponse:
    """Response to a VoteRequest.

    Attributes:
      term: the voter's current term.
      granted: whether the vote is granted.
    """

    term: int
    granted: bool


@attrs.frozen
class AppendRequest:
    """Appends entries to a replica's log; a heartbeat has none.

    Attributes:
      cluster: the cluster ID.
      to: the recipient's identity.
      leader: the leader's identity.
      address: the leader's peer address.
      term: the leader's term.
      previous_index: index of the entry that precedes the new ones.
      previous_term: term of that entry in the leader's log.
      commit_index: the leader's commit index.
      rows: the entries as JSON arrays; see LogEntry.to_row.
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
class AppendResponse:
    """Response to an AppendRequest.

    Attributes:
      term: the follower's current term.
      success: whether all entries of the request are on the follower's disk.
      last_index: on success the last matching index, otherwise a hint at which
        index the logs may match.
    """

    term: int
    success: bool
    last_index: int


@attrs.frozen
class ChunkRequest:
    """One chunk of a snapshot.

    Attributes:
      cluster: the cluster ID.
      to: the recipient's identity.
      leader: the leader's identity.
      address: the leader's peer address.
      term: the leader's term.
      index: the last log index that the snapshot includes.
      offset: position of the chunk in the snapshot's text.
      size: length of the complete text.
      checksum: CRC-32 of the complete text.
      text: the chunk.
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
class ChunkResponse:
    """Response to a ChunkRequest.

    Attributes:
      term: the follower's current term.
      offset: the offset that the follower expects next.
      installed: whether the snapshot is complete and installed.
    """

    term: int
    offset: int
    installed: bool


@attrs.frozen
class LeadRequest:
    """Asks a voter to start an election at once, to transfer leadership.

    Attributes:
      cluster: the cluster ID.
      to: the recipient's identity.
      term: the leader's term.
    """

    cluster: str
    to: str
    term: int


@attrs.frozen
class LeadResponse:
    """Response to a LeadRequest.

    Attributes:
      is_leader: whether the voter has won the election.
    """

    is_leader: bool


def to_message(value: Any) -> Message:
    """Return a message as `{"fields": [...]}`, its fields in order without names."""
    return {"fields": list(attrs.astuple(value, recurse=False))}


def from_message(kind: type[T], message: Message) -> T:
    """Return the message that a JSON object holds.

    Raises:
      PeerUnreachableError: the peer refused the call or its fields do not fit.
    """
    try:
        return kind(*message["fields"])
    except (KeyError, TypeError):
        text = message.get("refused", "unknown fields")
        raise errors.PeerUnreachableError(f"{kind.__name__}: {text}") from None
