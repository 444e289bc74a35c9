"""Adapter from a control replica to the distribution of the configuration."""

from __future__ import annotations

from collections.abc import Callable

from endivesill.configuration.replica import ConfigurationReplica, VoterSet
from endivesill.configuration.state import COMMAND_NAMES
from endivesill.control import State
from endivesill.control.replica import ControlReplica

__all__ = ["ControlReplicaView"]


class ControlReplicaView(ConfigurationReplica):
    """A view of the control replica of this VM.

    Args:
      replica: the control replica; it may be started later.
    """

    def __init__(self, replica: ControlReplica) -> None:
        self._replica = replica

    @property
    def replica_id(self) -> str:  # type: ignore[override]
        """The replica's identity."""
        return self._replica.identity

    def newest_index(self) -> int:
        """Return the index of the newest configuration command in the log."""
        return max(self._replica.newest_index_of(name) for name in COMMAND_NAMES)

    def applied_index(self) -> int:
        """Return the log index up to which commands are applied to the state."""
        return self._replica.applied_index

    def state(self) -> State:
        """Return the replicated state."""
        return self._replica.state

    def voters(self) -> VoterSet:
        """Return the newest voter set in the log, even if it is not committed."""
        core = self._replica.core
        return VoterSet(core.voters_index, dict(core.voter_set.voters))

    def subscribe_applied(self, listener: Callable[[], None]) -> None:
        """Call a listener each time commands have been applied."""
        self._replica.subscribe_applied(lambda applied: listener())
