"""What this VM says of itself: announcements, refutations, a name that is taken."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill import events
from endivesill.membership.events import NAME_SUPERSEDED, SELF_REFUTED
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Health, Phase, Update, VmUpdate

__all__ = ["OwnState"]


class OwnState:
    """The only writer of this VM's own state.

    Args:
      table: the VMs.
      tell: spreads an update.
      doubted: called when others suspected this VM or took it for gone.

    Attributes:
      superseded: whether another process runs under this VM's name.
    """

    def __init__(
        self,
        table: MemberTable,
        tell: Callable[[Update], None],
        doubted: Callable[[], None],
    ) -> None:
        self._table = table
        self._tell = tell
        self._doubted = doubted
        self._own = table.own
        self.superseded = False

    @property
    def phase(self) -> Phase:
        """What this process last said of itself."""
        return self._own.phase

    def announce(self, phase: Phase) -> None:
        """Say something new of this VM."""
        if phase > self._own.phase:
            self._set(attrs.evolve(self._own, phase=phase), self._own.incarnation + 1)

    def depart(self) -> None:
        """Say that this VM has left."""
        self.announce(Phase.LEAVING)
        self._own = attrs.evolve(self._own, health=Health.GONE)
        self._publish()

    def hear(self, update: VmUpdate) -> None:
        """Answer what others say of this VM, if it is not what it says itself."""
        if self.superseded:
            self._hear_superseded(update)
            return
        own = self._own
        if own.health is Health.GONE or update.rank() <= own.rank():
            return
        is_other = update.instance_id != own.instance_id
        if is_other and own.phase is not Phase.JOINING and update.health is Health.OK:
            self.superseded = True
            events.emit(NAME_SUPERSEDED, vm=update.name, instance_id=update.instance_id)
            self._table.set_own(update)
            return
        self._refute(update)

    def _hear_superseded(self, update: VmUpdate) -> None:
        """Follow the other process; take the name back once that one is gone."""
        if update.rank() <= self._table.own.rank():
            return
        if update.health is Health.GONE:
            self.superseded = False
            self._refute(update)
        elif update.address:
            self._table.set_own(update)

    def _refute(self, update: VmUpdate) -> None:
        events.emit(SELF_REFUTED, vm=update.name, instance_id=update.instance_id)
        self._doubted()
        self._set(self._own, update.incarnation + 1)

    def _set(self, own: VmUpdate, incarnation: int) -> None:
        self._own = attrs.evolve(own, incarnation=incarnation)
        self._publish()

    def _publish(self) -> None:
        if not self.superseded:
            self._table.set_own(self._own)
            self._tell(self._own)
