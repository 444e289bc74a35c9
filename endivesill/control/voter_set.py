"""The voters and learners of a cluster."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

import attrs

from endivesill.peers import Message

__all__ = ["VoterSet"]

CLUSTER_ID_LENGTH = 16


@attrs.frozen
class VoterSet:
    """The members of a cluster.

    Attributes:
      voters: peer address of each voter, by identity.
      learners: peer address of each learner, by identity; learners receive the
        log but do not vote.
    """

    voters: Mapping[str, str] = attrs.Factory(dict)
    learners: Mapping[str, str] = attrs.Factory(dict)

    @property
    def quorum(self) -> int:
        """The number of voters in a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> dict[str, str]:
        """Peer address of each voter and learner, by identity."""
        return {**self.learners, **self.voters}

    def has_quorum(self, identities: Iterable[str]) -> bool:
        """Return whether these replicas include a majority of the voters."""
        return len(set(identities) & set(self.voters)) >= self.quorum

    def with_learner(self, identity: str, address: str) -> VoterSet:
        """Return a copy with an added learner."""
        return attrs.evolve(self, learners={**self.learners, identity: address})

    def with_voter(self, identity: str) -> VoterSet:
        """Return a copy with a learner promoted to voter.

        Raises:
          KeyError: there is no such learner.
        """
        learners = dict(self.learners)
        address = learners.pop(identity)
        return VoterSet({**self.voters, identity: address}, learners)

    def without(self, identity: str) -> VoterSet:
        """Return a copy without a member."""
        voters = {i: a for i, a in self.voters.items() if i != identity}
        learners = {i: a for i, a in self.learners.items() if i != identity}
        return VoterSet(voters, learners)

    def cluster_id(self) -> str:
        """Return the ID of the cluster that has these initial voters."""
        text = ",".join(f"{i}={a}" for i, a in sorted(self.voters.items()))
        return hashlib.sha256(text.encode()).hexdigest()[:CLUSTER_ID_LENGTH]

    def to_document(self) -> Message:
        """Return the voter set as a JSON object."""
        return {"voters": dict(self.voters), "learners": dict(self.learners)}

    @classmethod
    def from_document(cls, document: Message) -> VoterSet:
        """Return the voter set that a JSON object holds."""
        return cls(document["voters"], document["learners"])
