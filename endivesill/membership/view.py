"""The view of the fleet that membership offers to the other services.

`MembershipView` is the base class; `StaticMembership` is an implementation for
tests. The owner of a target is the live entry of the target's data centre with the
highest rendezvous hash. If that data centre has no live entry, the entries of the
region are used, then those of the whole fleet.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from endivesill.configuration.model import Target
from endivesill.kernel import Service

__all__ = ["MembershipView", "StaticMembership", "VmRecord", "VmState"]


class VmState(enum.Enum):
    """The states of a VM as seen by other VMs."""

    JOINING = "joining"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@attrs.frozen
class VmRecord:
    """A VM as seen by another VM.

    Attributes:
      name: the VM's name.
      instance_id: changes when the VM is replaced or its process restarts.
      address: its peer address as HOST:PORT.
      data_centre: its data centre.
      region: its region.
      roles: `entry`, `control` or both.
      state: its state.
    """

    name: str
    instance_id: str
    address: str
    data_centre: str
    region: str
    roles: tuple[str, ...] = ("entry",)
    state: VmState = VmState.ALIVE


class MembershipView(Service):
    """Base class of the views of the fleet."""

    def __init__(self) -> None:
        self._listeners: list[Callable[[], None]] = []

    def vms(self) -> tuple[VmRecord, ...]:
        """Return all known VMs, including this one, ordered by name."""
        raise NotImplementedError

    def owner_of(self, target: Target) -> VmRecord | None:
        """Return the VM that polls a target and allocates its credits.

        Returns:
          None if there is no live entry.
        """
        raise NotImplementedError

    def is_owner(self, target: Target) -> bool:
        """Return whether this VM is the target's owner."""
        raise NotImplementedError

    def owner_since_s(self, target: Target) -> float | None:
        """Return when this VM became a target's owner, on the timer's clock.

        From then until the credits allocated by the previous owner have expired, the
        new one allocates what each entry has in flight and the cold allowance.

        Returns:
          Seconds on the timer's clock, or None if this VM is not the owner.
        """
        raise NotImplementedError

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the view."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


class StaticMembership(MembershipView):
    """A fixed view for tests.

    Args:
      own_name: this VM's name.
      vms: the VMs of the fleet.
      owners: the name of the owner, a VM, by target name.

    Attributes:
      owners: see above.
      since_s: when this VM became the owner, by target name.
    """

    def __init__(
        self, own_name: str, vms: tuple[VmRecord, ...], owners: dict[str, str]
    ) -> None:
        super().__init__()
        self._own_name = own_name
        self._vms = vms
        self.owners = owners
        self.since_s: dict[str, float] = {}

    def vms(self) -> tuple[VmRecord, ...]:
        """Return the configured VMs."""
        return self._vms

    def owner_of(self, target: Target) -> VmRecord | None:
        """Return the configured owner of a target."""
        owner = self.owners.get(target.name)
        return next((vm for vm in self._vms if vm.name == owner), None)

    def is_owner(self, target: Target) -> bool:
        """Return whether the configured owner is this VM."""
        return self.owners.get(target.name) == self._own_name

    def owner_since_s(self, target: Target) -> float | None:
        """Return the time in `since_s`; minus infinity if there is none."""
        if not self.is_owner(target):
            return None
        return self.since_s.get(target.name, float("-inf"))

    def replace(self, vms: tuple[VmRecord, ...], owners: dict[str, str]) -> None:
        """Replace VMs and owners and notify the listeners."""
        self._vms = vms
        self.owners = owners
        self._notify()
