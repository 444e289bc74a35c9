"""Local VM state: announcements, refutations and name conflicts."""

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
      table: the member table.
      broadcast: disseminates an update.
      on_suspected: called when other VMs report this one as suspect or gone.

    Attributes:
      superseded: whether another process uses this VM's name.
    """

    def __init__(
        self,
        table: MemberTable,
        broadcast: Callable[[Update], None],
        on_suspected: Callable[[], None],
    ) -> None:
        self._table = table
        self._broadcast = broadcast
        self._on_suspected = on_suspected
        self._own = table.own
        self.superseded = False

    @property
    def phase(self) -> Phase:
        """The phase that this process announced last."""
        return self._own.phase

    def announce(self, phase: Phase) -> None:
        """Broadcast a later phase of this VM; an earlier or equal one is ignored."""
        if phase > self._own.phase:
            self._set_own(
                attrs.evolve(self._own, phase=phase), self._own.incarnation + 1
            )

    def depart(self) -> None:
        """Broadcast that this VM has left."""
        self.announce(Phase.LEAVING)
        self._own = attrs.evolve(self._own, health=Health.GONE)
        self._publish()

    def handle_update(self, update: VmUpdate) -> None:
        """Handle an update of this VM from others: refute it or yield the name.

        The VM yields its name to another healthy process unless it is still joining.
        """
        if self.superseded:
            self._handle_update_while_superseded(update)
            return
        own = self._own
        if own.health is Health.GONE or update.rank() <= own.rank():
            return
        is_other_process = update.instance_id != own.instance_id
        if (
            is_other_process
            and own.phase is not Phase.JOINING
            and update.health is Health.OK
        ):
            self.superseded = True
            events.emit(NAME_SUPERSEDED, vm=update.name, instance_id=update.instance_id)
            self._table.set_own(update)
            return
        self._refute(update)

    def _handle_update_while_superseded(self, update: VmUpdate) -> None:
        """Track the other process; reclaim the name once that process is gone."""
        if update.rank() <= self._table.own.rank():
            return
        if update.health is Health.GONE:
            self.superseded = False
            self._refute(update)
        elif update.address:
            self._table.set_own(update)

    def _refute(self, update: VmUpdate) -> None:
        events.emit(SELF_REFUTED, vm=update.name, instance_id=update.instance_id)
        self._on_suspected()
        self._set_own(self._own, update.incarnation + 1)

    def _set_own(self, own: VmUpdate, incarnation: int) -> None:
        self._own = attrs.evolve(own, incarnation=incarnation)
        self._publish()

    def _publish(self) -> None:
        if not self.superseded:
            self._table.set_own(self._own)
            self._broadcast(self._own)
