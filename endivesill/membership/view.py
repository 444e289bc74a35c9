"""What the other services know of the fleet's VMs.

`MembershipView` is the base; `StaticMembership` is the sibling for tests. The
home of a target is the live entry of the target's data centre with the highest
rendezvous hash; where that data centre has no live entry, of its region, and then
of the whole fleet.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from endivesill.configuration.model import Target
from endivesill.kernel import Service

__all__ = ["MembershipView", "StaticMembership", "VmRecord", "VmState"]


class VmState(enum.Enum):
    """The states of a VM, as far as others know."""

    JOINING = "joining"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@attrs.frozen
class VmRecord:
    """A VM as the fleet knows it.

    Attributes:
      name: the VM's name.
      instance_id: differs when a VM is replaced or its process starts anew.
      address: its peer address.
      data_centre: its data centre.
      region: its region.
      roles: `entry`, `control` or both.
      state: what is known of its life.
    """

    name: str
    instance_id: str
    address: str
    data_centre: str
    region: str
    roles: tuple[str, ...] = ("entry",)
    state: VmState = VmState.ALIVE


class MembershipView(Service):
    """Base of the views of the fleet."""

    def __init__(self) -> None:
        self._listeners: list[Callable[[], None]] = []

    def vms(self) -> tuple[VmRecord, ...]:
        """Return all VMs known, this one included, ordered by name."""
        raise NotImplementedError

    def home_of(self, target: Target) -> VmRecord | None:
        """Return the VM that polls a target and lends its credits."""
        raise NotImplementedError

    def is_home(self, target: Target) -> bool:
        """Tell whether this VM is the target's home."""
        raise NotImplementedError

    def home_since_s(self, target: Target) -> float | None:
        """Return when this VM became a target's home, on the timer's clock.

        Until the credits that the home before it lent have expired, counted from
        then, it lends from the cold allowance only.

        Returns:
          None if this VM is not the home.
        """
        raise NotImplementedError

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the fleet."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


class StaticMembership(MembershipView):
    """A fleet that a test sets; homes are given by target name."""

    def __init__(
        self, own_name: str, vms: tuple[VmRecord, ...], homes: dict[str, str]
    ) -> None:
        super().__init__()
        self._own_name = own_name
        self._vms = vms
        self.homes = homes
        self.since_s: dict[str, float] = {}

    def vms(self) -> tuple[VmRecord, ...]:
        """Return the VMs that were set."""
        return self._vms

    def home_of(self, target: Target) -> VmRecord | None:
        """Return the home that was set."""
        home = self.homes.get(target.name)
        return next((vm for vm in self._vms if vm.name == home), None)

    def is_home(self, target: Target) -> bool:
        """Tell whether the home that was set is this VM."""
        return self.homes.get(target.name) == self._own_name

    def home_since_s(self, target: Target) -> float | None:
        """Return what the test set in `since_s`; long ago if it set nothing."""
        if not self.is_home(target):
            return None
        return self.since_s.get(target.name, float("-inf"))

    def replace(self, vms: tuple[VmRecord, ...], homes: dict[str, str]) -> None:
        """Set another fleet."""
        self._vms = vms
        self.homes = homes
        self._notify()
