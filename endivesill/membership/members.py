"""The member table: the newest update of each VM of the fleet."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill.membership.messages import Health, Phase, VmUpdate
from endivesill.membership.view import VmRecord
from endivesill.timer import TimerService

__all__ = ["MemberTable"]

Listener = Callable[[VmUpdate | None, VmUpdate], None]


class MemberTable:
    """The newest update of every known VM, by name.

    Args:
      timer: the timer service.
      own: this VM's initial update.

    Attributes:
      version: incremented with each change.
      digest: checksum of all VMs that are not gone.
      changed_s: time of the last change, on the timer's clock.
    """

    def __init__(self, timer: TimerService, own: VmUpdate) -> None:
        self._timer = timer
        self._members = {own.name: own}
        self._gone_since_s: dict[str, float] = {}
        self._listeners: list[Listener] = []
        self._derived_version = -1
        self._records: tuple[VmRecord, ...] = ()
        self._others: list[VmUpdate] = []
        self._local_peers: list[VmUpdate] = []
        self.own_name = own.name
        self.version = 0
        self.digest = own.checksum()
        self.changed_s = timer.now_s()

    @property
    def own(self) -> VmUpdate:
        """The newest update of this VM."""
        return self._members[self.own_name]

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with the old and new update after each change."""
        self._listeners.append(listener)

    def get(self, name: str) -> VmUpdate | None:
        """Return the newest update of a VM, or None."""
        return self._members.get(name)

    def all(self) -> list[VmUpdate]:
        """Return the newest update of every VM."""
        return list(self._members.values())

    def others(self) -> list[VmUpdate]:
        """Return all other VMs that are not gone."""
        self._refresh_derived()
        return list(self._others)

    def local_peers(self) -> list[VmUpdate]:
        """Return the other VMs of this data centre that are not gone."""
        self._refresh_derived()
        return list(self._local_peers)

    def failed(self) -> list[VmUpdate]:
        """Return the VMs that are gone without having announced that they leave."""
        return [
            member
            for member in self._members.values()
            if member.health is Health.GONE and member.phase is not Phase.LEAVING
        ]

    def records(self) -> tuple[VmRecord, ...]:
        """Return the records of all VMs, ordered by name."""
        self._refresh_derived()
        return self._records

    def _refresh_derived(self) -> None:
        """Recompute the cached lists if the table has changed."""
        if self._derived_version == self.version:
            return
        self._derived_version = self.version
        ordered = sorted(self._members.values(), key=lambda member: member.name)
        data_centre = self.own.data_centre
        self._records = tuple(member.record() for member in ordered)
        self._others = [
            member
            for member in ordered
            if member.health is not Health.GONE and member.name != self.own_name
        ]
        self._local_peers = [m for m in self._others if m.data_centre == data_centre]

    def merge(self, update: VmUpdate) -> VmUpdate | None:
        """Store an update of another VM if it is newer than the known one.

        An update in the short form is completed from the known one of the same
        instance, and dropped if there is none.

        Returns:
          The complete update if it was stored, or None.
        """
        known = self._members.get(update.name)
        if known is not None and update.rank() <= known.rank():
            return None
        if not update.address:
            if known is None or known.instance_id != update.instance_id:
                return None
            update = attrs.evolve(
                known,
                incarnation=update.incarnation,
                phase=update.phase,
                health=update.health,
            )
        self._store(known, update)
        return update

    def set_own(self, update: VmUpdate) -> None:
        """Replace the update of this VM."""
        self._store(self.own, update)

    def _store(self, known: VmUpdate | None, update: VmUpdate) -> None:
        self._members[update.name] = update
        self.digest ^= update.checksum() ^ (known.checksum() if known else 0)
        self.version += 1
        self.changed_s = self._timer.now_s()
        self._gone_since_s.pop(update.name, None)
        if update.health is Health.GONE:
            self._gone_since_s[update.name] = self.changed_s
        for listener in self._listeners:
            listener(known, update)

    def prune_gone(self, retention_s: float) -> None:
        """Delete VMs that have been gone for longer than `retention_s`."""
        cutoff_s = self._timer.now_s() - retention_s
        for name, since_s in list(self._gone_since_s.items()):
            if since_s < cutoff_s:
                del self._gone_since_s[name]
                del self._members[name]
                self.version += 1
