"""Who votes in the cluster and who only learns."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

import attrs

from endivesill.peers import Message

__all__ = ["VoterSet"]

CLUSTER_ID_LENGTH = 16


@attrs.frozen
class VoterSet:
    """The replicas of a cluster, by identity.

    Attributes:
      voters: peer addresses of the voters.
      learners: peer addresses of replicas that take the log without a vote.
    """

    voters: Mapping[str, str] = attrs.Factory(dict)
    learners: Mapping[str, str] = attrs.Factory(dict)

    @property
    def quorum(self) -> int:
        """How many voters make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> dict[str, str]:
        """Addresses of voters and learners."""
        return {**self.learners, **self.voters}

    def has_quorum(self, identities: Iterable[str]) -> bool:
        """Tell whether these replicas hold a majority of the votes."""
        return len(set(identities) & set(self.voters)) >= self.quorum

    def with_learner(self, identity: str, address: str) -> VoterSet:
        """Return the set with one learner more."""
        return attrs.evolve(self, learners={**self.learners, identity: address})

    def with_voter(self, identity: str) -> VoterSet:
        """Return the set with a learner made a voter."""
        learners = dict(self.learners)
        address = learners.pop(identity)
        return VoterSet({**self.voters, identity: address}, learners)

    def without(self, identity: str) -> VoterSet:
        """Return the set without a replica."""
        voters = {i: a for i, a in self.voters.items() if i != identity}
        learners = {i: a for i, a in self.learners.items() if i != identity}
        return VoterSet(voters, learners)

    def cluster_id(self) -> str:
        """Return the id of the cluster whose first voters these are."""
        text = ",".join(f"{i}={a}" for i, a in sorted(self.voters.items()))
        return hashlib.sha256(text.encode()).hexdigest()[:CLUSTER_ID_LENGTH]

    def to_document(self) -> Message:
        """Return the set as a JSON object."""
        return {"voters": dict(self.voters), "learners": dict(self.learners)}

    @classmethod
    def from_document(cls, document: Message) -> VoterSet:
        """Return the set of a JSON object."""
        return cls(document["voters"], document["learners"])
