"""The replicated membership state of this VM and the merging of updates."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from endivesill.membership.gossip import Gossip
from endivesill.membership.identity import OwnState
from endivesill.membership.leaving import LeavingTargets
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Health, Phase, Update, VmUpdate

__all__ = ["GossipState"]


class GossipState:
    """The VMs and leaving targets, merged from the updates of other VMs.

    Args:
      table: the member table.
      own: this VM's own state.
      leaving_targets: the targets that are leaving.
      gossip: broadcasts updates that changed the state.
    """

    def __init__(
        self,
        table: MemberTable,
        own: OwnState,
        leaving_targets: LeavingTargets,
        gossip: Gossip,
    ) -> None:
        self._table = table
        self._own = own
        self._leaving_targets = leaving_targets
        self._gossip = gossip

    def digest(self) -> int:
        """Return a checksum that two VMs share if their states are equal."""
        return self._table.digest ^ self._leaving_targets.digest

    def updates(self) -> list[Update]:
        """Return the whole state as updates."""
        return [*self._table.all(), *self._leaving_targets.notices()]

    def apply(self, update: VmUpdate, *, rebroadcast: bool = True) -> None:
        """Merge an update of one VM and broadcast it if it changed the state."""
        if update.name == self._table.own_name:
            self._own.handle_update(update)
            return
        merged = self._table.merge(update)
        if merged is not None and rebroadcast:
            self._gossip.broadcast(merged)

    def merge(self, updates: Iterable[Update], *, rebroadcast: bool = True) -> None:
        """Merge updates and broadcast those that changed the state."""
        for update in updates:
            if isinstance(update, VmUpdate):
                self.apply(update, rebroadcast=rebroadcast)
            elif self._leaving_targets.merge(update) and rebroadcast:
                self._gossip.broadcast(update)

    def merge_remote_state(self, updates: Iterable[Update]) -> None:
        """Merge the whole state of another VM, as received in a sync.

        The two VMs may have been partitioned. A VM that is gone there but not here
        becomes suspect, so that it can refute before its targets move. A joining VM
        does not broadcast what it receives: it is new to that VM only.
        """
        rebroadcast = self._own.phase is not Phase.JOINING
        self.merge(
            (self._downgrade_gone(update) for update in updates),
            rebroadcast=rebroadcast,
        )

    def _downgrade_gone(self, update: Update) -> Update:
        if not isinstance(update, VmUpdate) or update.health is not Health.GONE:
            return update
        known = self._table.get(update.name)
        if update.name == self._table.own_name:
            return update
        if known is None or known.health is Health.GONE:
            return update
        has_left = update.phase is Phase.LEAVING
        if has_left or known.instance_id != update.instance_id:
            return update
        return attrs.evolve(update, health=Health.SUSPECT)
