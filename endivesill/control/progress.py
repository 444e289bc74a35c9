"""Replication progress of one member, as tracked by the leader."""

from __future__ import annotations

import attrs

__all__ = ["PeerProgress"]


@attrs.define
class PeerProgress:
    """The leader's view of one member.

    Attributes:
      started_s: time at which the leader started to replicate to the member.
      match_index: the highest index known to be on the member's disk.
      last_contact_s: send time of the latest call that the member answered; minus
        infinity before the first response.
    """

    started_s: float
    match_index: int = 0
    last_contact_s: float = float("-inf")
