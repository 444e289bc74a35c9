"""All that this VM knows of the fleet, and how news change it."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from endivesill.membership.gossip import Gossip
from endivesill.membership.identity import OwnState
from endivesill.membership.leaving import LeavingTargets
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Health, Phase, Update, VmUpdate

__all__ = ["Knowledge"]


class Knowledge:
    """The VMs and the leaving targets, merged from what others tell.

    Args:
      table: the VMs.
      own: this VM's own state.
      leaving_targets: the targets that are leaving.
      gossip: spreads what is new.
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
        """Return a checksum that is equal where the knowledge is."""
        return self._table.digest ^ self._leaving_targets.digest

    def updates(self) -> list[Update]:
        """Return everything, for a VM that may know nothing."""
        return [*self._table.all(), *self._leaving_targets.notices()]

    def take(self, update: VmUpdate, *, spread: bool = True) -> None:
        """Take an update of one VM and spread it if it is news."""
        if update.name == self._table.own_name:
            self._own.hear(update)
            return
        taken = self._table.merge(update)
        if taken is not None and spread:
            self._gossip.tell(taken)

    def merge(self, updates: Iterable[Update], *, spread: bool = True) -> None:
        """Take updates, and spread those that are news."""
        for update in updates:
            if isinstance(update, VmUpdate):
                self.take(update, spread=spread)
            elif self._leaving_targets.merge(update) and spread:
                self._gossip.tell(update)

    def merge_view(self, updates: Iterable[Update]) -> None:
        """Take another VM's whole view.

        The two may have been parted. A VM that is gone over there and well here
        becomes suspect, so that it can refute before its homes move. To a VM that
        is joining everything is new, and to the others nothing of it is.
        """
        spread = self._own.phase is not Phase.JOINING
        self.merge((self._soften(update) for update in updates), spread=spread)

    def _soften(self, update: Update) -> Update:
        if not isinstance(update, VmUpdate) or update.health is not Health.GONE:
            return update
        known = self._table.get(update.name)
        if update.name == self._table.own_name:
            return update
        if known is None or known.health is Health.GONE:
            return update
        left = update.phase is Phase.LEAVING
        if left or known.instance_id != update.instance_id:
            return update
        return attrs.evolve(update, health=Health.SUSPECT)
