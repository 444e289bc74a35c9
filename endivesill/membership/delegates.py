"""Delegates: the VMs of a data centre that gossip with other data centres."""

from __future__ import annotations

import random

from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Phase, VmUpdate
from endivesill.membership.owners import rendezvous_score
from endivesill.membership.settings import MembershipSettings

__all__ = ["Delegates"]


class Delegates:
    """Selects the delegates of each data centre by rendezvous hashing.

    VMs with the same member table select the same delegates.

    Args:
      table: the member table.
      settings: gives the number of delegates per data centre.
      rng: the source of random choices.
    """

    def __init__(
        self, table: MemberTable, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._table = table
        self._settings = settings
        self._rng = rng
        self._version = -1
        self._selected: dict[str, tuple[VmUpdate, ...]] = {}

    def for_data_centre(self, data_centre: str) -> tuple[VmUpdate, ...]:
        """Return the delegates of a data centre, the highest hash first."""
        if self._version != self._table.version:
            self._version = self._table.version
            self._selected = {}
        selected = self._selected.get(data_centre)
        if selected is None:
            members = [
                member
                for member in self._table.all()
                if member.data_centre == data_centre and member.is_live()
            ]
            members.sort(
                key=lambda member: rendezvous_score(data_centre, member.name),
                reverse=True,
            )
            selected = tuple(members[: self._settings.delegates])
            self._selected[data_centre] = selected
        return selected

    def includes_own_vm(self) -> bool:
        """Return whether this VM is a delegate of its data centre."""
        own = self._table.own
        return any(
            member.name == own.name for member in self.for_data_centre(own.data_centre)
        )

    def other_data_centres(self) -> list[str]:
        """Return the other data centres that have VMs that are not gone."""
        others = {member.data_centre for member in self._table.others()}
        return sorted(others - {self._table.own.data_centre})

    def remote_peers(self) -> list[VmUpdate]:
        """Return a random delegate of each other data centre to push updates to.

        The list is empty if this VM is not a delegate, unless it is leaving: it
        cannot wait until a delegate has received the announcement.
        """
        own = self._table.own
        if own.phase is not Phase.LEAVING and not self.includes_own_vm():
            return []
        chosen = []
        for data_centre in self.other_data_centres():
            delegates = self.for_data_centre(data_centre)
            if delegates:
                chosen.append(self._rng.choice(delegates))
        return chosen
