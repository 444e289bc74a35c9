"""Whether a configuration revision is in force on all VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from endivesill import errors
from endivesill.configuration.acknowledgements import unpack_revisions
from endivesill.configuration.lease import IN_FORCE_MARGIN_S, LEASE_S
from endivesill.configuration.probe import call_peer
from endivesill.configuration.replica import ACKNOWLEDGED_PATH
from endivesill.membership.view import MembershipView, VmState
from endivesill.peers import PeerTransport

__all__ = ["ConfigurationProgress", "Progress"]

CALL_TIMEOUT_S = 1.0

LIVE_STATES = (VmState.ALIVE, VmState.LEAVING, VmState.SUSPECT)


@attrs.frozen
class Progress:
    """How far a revision has been rolled out.

    Attributes:
      revision: the revision.
      in_force: whether no VM can start work under an older revision.
      waiting_for: the VMs that may still start work under an older revision.
      without_lease: the VMs that have not acknowledged the revision but cannot
        start work, because their lease has expired.
    """

    revision: int
    in_force: bool
    waiting_for: tuple[str, ...]
    without_lease: tuple[str, ...]


class ConfigurationProgress:
    """Queries the control replicas for the revisions that VMs acknowledged.

    Args:
      transport: the peer transport.
      membership: the view of the fleet; only its live VMs are considered.
      control_addresses: returns the peer addresses of the control VMs.
    """

    def __init__(
        self,
        transport: PeerTransport,
        membership: MembershipView,
        control_addresses: Callable[[], Iterable[str]],
    ) -> None:
        self._transport = transport
        self._membership = membership
        self._control_addresses = control_addresses

    async def fetch(self, revision: int, accepted_for_s: float) -> Progress:
        """Return how far a revision has been rolled out.

        After the lease duration and a margin, every VM that has not acknowledged the
        revision has lost its lease, so the revision is in force.

        Args:
          revision: the revision.
          accepted_for_s: a lower bound of the time since it was committed.

        Raises:
          UnavailableError: no control replica responds.
        """
        live = [vm.name for vm in self._membership.vms() if vm.state in LIVE_STATES]
        waiting = await self._unacknowledged(live, revision)
        if accepted_for_s >= LEASE_S + IN_FORCE_MARGIN_S:
            return Progress(revision, True, (), waiting)
        return Progress(revision, not waiting, waiting, ())

    async def _unacknowledged(self, live: list[str], revision: int) -> tuple[str, ...]:
        """Return the live VMs that no replica has seen acknowledge a revision."""
        waiting = set(live)
        any_response = False
        for address in self._control_addresses():
            try:
                response = await call_peer(
                    self._transport, address, ACKNOWLEDGED_PATH, {}, CALL_TIMEOUT_S
                )
            except errors.PeerUnreachableError:
                continue
            any_response = True
            for vm, acknowledged in unpack_revisions(response["acks"]).items():
                if acknowledged >= revision:
                    waiting.discard(vm)
            if not waiting:
                break
        if not any_response:
            raise errors.UnavailableError("no control replica answers")
        return tuple(sorted(waiting))
