"""Data model of roll-outs."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from endivesill.peers import Message

__all__ = [
    "ExposureBounds",
    "Phase",
    "Rollout",
    "RolloutState",
    "ServicePhase",
    "VersionedEngine",
]


class RolloutState(enum.Enum):
    """Whether a roll-out has ended, and how."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


class Phase(enum.Enum):
    """Which engines get ordinary requests while a roll-out runs."""

    CANARY = "canary"
    SHIFT = "shift"


@attrs.frozen
class ExposureBounds:
    """Bound on the requests that a version gets before it is known to be good.

    Attributes:
      share: fraction of all requests to the service.
      slack_requests: requests beyond it.
    """

    share: float
    slack_requests: float


@attrs.frozen
class VersionedEngine:
    """An engine of a service under roll-out, as the leader sees it.

    Attributes:
      incarnation: identifies one start of it.
      version: version of its software.
      slots: requests that run concurrently.
      is_usable: whether it may get new requests.
      is_warm: whether its speed no longer depends on its recent start.
      requests: requests of all entries in flight.
    """

    incarnation: str
    version: str
    slots: int
    is_usable: bool
    is_warm: bool
    requests: int


@attrs.frozen
class Rollout:
    """A roll-out in the replicated state.

    Attributes:
      service: the service.
      version: the version that its traffic is moved to.
      duration_s: time budget from the start.
      state: whether it has ended.
      phase: which engines get ordinary requests.
      index: log index of its start, which identifies it.
      started_s: cluster time of its start.
      ended_s: cluster time of its end; 0 while it runs.
      reserved_requests: requests that canaries may have got so far.
      requests: requests to the service when that was last reserved.
      digest: digest of the evidence at that time.
      reason: why the last change was made.
      taken_back: versions that were taken back before; their engines may still run.
    """

    service: str
    version: str
    duration_s: float
    state: RolloutState
    phase: Phase
    index: int
    started_s: float
    ended_s: float
    reserved_requests: int
    requests: int
    digest: Any
    reason: str
    taken_back: tuple[str, ...] = ()

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.state is RolloutState.RUNNING

    @classmethod
    def from_row(cls, service: str, row: Message) -> Rollout:
        """Return the roll-out of a row of the replicated state."""
        fields = {
            **row,
            "state": RolloutState(row["state"]),
            "phase": Phase(row["phase"]),
            "taken_back": tuple(row["taken_back"]),
        }
        return cls(service=service, **fields)


@attrs.frozen
class ServicePhase:
    """Which engines of a service get ordinary requests.

    Attributes:
      state: whether its roll-out has ended.
      phase: the phase of the roll-out.
      old: incarnations of other versions.
      new: incarnations of the new version.
      excluded: incarnations of versions that were taken back before.
    """

    state: RolloutState
    phase: Phase
    old: frozenset[str]
    new: frozenset[str]
    excluded: frozenset[str] = frozenset()

    def is_barred(self, incarnation: str, holds_lease: bool) -> bool:
        """Return whether an engine gets no ordinary requests.

        An engine that was listed just now may be of either version. A VM that is cut
        off from the leader would not learn that the version was taken back.
        """
        if incarnation in self.excluded:
            return True
        if self.state is RolloutState.COMPLETED:
            return incarnation in self.old
        if self.state is RolloutState.ROLLED_BACK:
            return incarnation in self.new
        if self.phase is Phase.SHIFT and holds_lease:
            return incarnation not in self.new
        return incarnation not in self.old
