"""Whether a revision is in force everywhere, and which VMs are not there yet."""

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

COUNTED_STATES = (VmState.ALIVE, VmState.LEAVING, VmState.SUSPECT)


@attrs.frozen
class Progress:
    """How far a revision is.

    Attributes:
      revision: the revision.
      in_force: whether no VM can start work under an older one.
      waiting_for: the VMs that may still do so.
      without_lease: the VMs that have not acknowledged it but can start no
        work, as their lease has run out.
    """

    revision: int
    in_force: bool
    waiting_for: tuple[str, ...]
    without_lease: tuple[str, ...]


class ConfigurationProgress:
    """Asks the control replicas what the VMs have acknowledged.

    Args:
      transport: the peer transport.
      membership: the fleet; its live VMs are waited for.
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

    async def of(self, revision: int, accepted_for_s: float) -> Progress:
        """Return how far a revision is.

        Args:
          revision: the revision.
          accepted_for_s: for how long at least it has been committed.

        Raises:
          UnavailableError: no control replica answers.
        """
        live = [vm.name for vm in self._membership.vms() if vm.state in COUNTED_STATES]
        waiting = await self._waiting(live, revision)
        if accepted_for_s >= LEASE_S + IN_FORCE_MARGIN_S:
            return Progress(revision, True, (), waiting)
        return Progress(revision, not waiting, waiting, ())

    async def _waiting(self, live: list[str], revision: int) -> tuple[str, ...]:
        """Return the live VMs that no replica knows to be at a revision."""
        waiting = set(live)
        answered = False
        for address in self._control_addresses():
            try:
                answer = await call_peer(
                    self._transport, address, ACKNOWLEDGED_PATH, {}, CALL_TIMEOUT_S
                )
            except errors.PeerUnreachableError:
                continue
            answered = True
            for vm, acknowledged in unpack_revisions(answer["acks"]).items():
                if acknowledged >= revision:
                    waiting.discard(vm)
            if not waiting:
                break
        if not answered:
            raise errors.UnavailableError("no control replica answers")
        return tuple(sorted(waiting))
