"""Delegates: the few VMs of a data centre that speak with other data centres."""

from __future__ import annotations

import random

from endivesill.membership.homes import rendezvous_score
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Phase, VmUpdate
from endivesill.membership.settings import MembershipSettings

__all__ = ["Delegates"]


class Delegates:
    """Finds the delegates of each data centre; all VMs find the same ones.

    Args:
      table: the VMs.
      settings: how many there are of a data centre.
      rng: the source of random choices.
    """

    def __init__(
        self, table: MemberTable, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._table = table
        self._settings = settings
        self._rng = rng
        self._version = -1
        self._found: dict[str, tuple[VmUpdate, ...]] = {}

    def of(self, data_centre: str) -> tuple[VmUpdate, ...]:
        """Return the delegates of a data centre."""
        if self._version != self._table.version:
            self._version = self._table.version
            self._found = {}
        found = self._found.get(data_centre)
        if found is None:
            members = [
                member
                for member in self._table.all()
                if member.data_centre == data_centre and member.is_live()
            ]
            members.sort(
                key=lambda member: rendezvous_score(data_centre, member.name),
                reverse=True,
            )
            found = tuple(members[: self._settings.delegates])
            self._found[data_centre] = found
        return found

    def includes_own(self) -> bool:
        """Tell whether this VM is a delegate."""
        own = self._table.own
        return any(member.name == own.name for member in self.of(own.data_centre))

    def other_data_centres(self) -> list[str]:
        """Return the other data centres with VMs that are not gone."""
        others = {member.data_centre for member in self._table.others()}
        return sorted(others - {self._table.own.data_centre})

    def far(self) -> list[VmUpdate]:
        """Return whom this VM passes news on to: one VM of each other data centre.

        A VM that is no delegate passes none on, unless it is leaving and cannot
        wait for a delegate to hear of it.
        """
        own = self._table.own
        if own.phase is not Phase.LEAVING and not self.includes_own():
            return []
        chosen = []
        for data_centre in self.other_data_centres():
            delegates = self.of(data_centre)
            if delegates:
                chosen.append(self._rng.choice(delegates))
        return chosen
