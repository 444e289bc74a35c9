"""A fleet of membership services in one process, on the manual timer."""

from __future__ import annotations

import attrs

from endivesill.configuration import Configuration, DataCentre, Target
from endivesill.configuration.source import FixedConfiguration
from endivesill.kernel import Kernel
from endivesill.membership import (
    MembershipSettings,
    MemoryDatagramTransport,
    SwimMembership,
    VmState,
)
from endivesill.peers import MemoryNetwork
from endivesill.settings import VmSettings
from endivesill.timer import ManualTimer

__all__ = ["MemoryFleet", "vm_settings"]

JOIN_VMS = 3


def vm_settings(
    name: str, data_centre: str, region: str, address: str, join: tuple[str, ...]
) -> VmSettings:
    """Return the settings of a VM with one peer address."""
    return VmSettings(
        name=name,
        data_centre=data_centre,
        region=region,
        caller_address="127.0.0.1:1",
        operator_address="127.0.0.1:1",
        peer_address=address,
        join_addresses=join,
        key_file="",
    )


class MemoryFleet:
    """VMs spread over data centres of one region.

    Args:
      sizes: how many VMs each data centre has, by its name.
      seed: seed of the network and of all VMs.
      settings: the membership settings of all VMs.
      region: the region of all data centres.

    Attributes:
      members: the running membership services by VM name.
    """

    def __init__(
        self,
        sizes: dict[str, int],
        seed: int = 1,
        settings: MembershipSettings | None = None,
        region: str = "r1",
    ) -> None:
        self.timer = ManualTimer()
        self.network = MemoryNetwork(self.timer, seed)
        self.settings = settings or MembershipSettings()
        self.members: dict[str, SwimMembership] = {}
        self.places: dict[str, tuple[str, str]] = {}
        self.directory: dict[str, MemoryDatagramTransport] = {}
        self._region = region
        self._seed = seed
        centres = {name: DataCentre(name, region=region) for name in sizes}
        self.configuration = FixedConfiguration(Configuration(1, data_centres=centres))
        number = 0
        for data_centre, count in sizes.items():
            for _ in range(count):
                number += 1
                self.places[f"vm-{number}"] = (data_centre, f"10.0.0.{number}:7000")
        self.join = tuple(place[1] for place in self.places.values())[:JOIN_VMS]

    async def start(self, name: str) -> SwimMembership:
        """Start a new process of a VM."""
        data_centre, address = self.places[name]
        self._seed += 1
        member = SwimMembership(
            Kernel(self.timer),
            vm_settings(name, data_centre, self._region, address, self.join),
            self.settings,
            self.network.transport(address),
            MemoryDatagramTransport(address, self.network, self.directory),
            self.configuration,
            self._seed,
        )
        self.members[name] = member
        await member.start()
        return member

    async def start_all(self, settle_s: float = 5.0) -> None:
        """Start all VMs and let them find each other."""
        for name in self.places:
            await self.start(name)
        await self.timer.advance(settle_s)

    async def kill(self, name: str) -> None:
        """End a VM's process without a word."""
        self.network.remove(self.places[name][1])
        await self.members.pop(name).stop()

    async def stop(self) -> None:
        """End all processes."""
        for name in list(self.members):
            await self.kill(name)

    def address(self, name: str) -> str:
        """Return the peer address of a VM."""
        return self.places[name][1]

    def in_data_centre(self, data_centre: str) -> list[str]:
        """Return the names of a data centre's VMs."""
        return [name for name, place in self.places.items() if place[0] == data_centre]

    def partition(self, names: list[str]) -> None:
        """Cut the named VMs off from all others, but not from each other."""
        for name in names:
            for other in self.places:
                if other not in names:
                    self.network.cut(self.address(name), self.address(other))

    def state(self, observer: str, name: str) -> VmState | None:
        """Return what one VM thinks of another."""
        for record in self.members[observer].vms():
            if record.name == name:
                return record.state
        return None

    def states(self, name: str) -> set[VmState | None]:
        """Return what all other running VMs think of one."""
        return {self.state(other, name) for other in self.members if other != name}

    def is_converged(self) -> bool:
        """Tell whether all running VMs know each other as alive."""
        views = {
            tuple(vm for vm in member.vms() if vm.state is not VmState.GONE)
            for member in self.members.values()
        }
        if len(views) != 1:
            return False
        view = next(iter(views))
        alive = {vm.name for vm in view if vm.state is VmState.ALIVE}
        return alive == set(self.members)

    def homes(self, targets: list[Target], observer: str) -> dict[str, str]:
        """Return the home of each target as one VM sees it."""
        member = self.members[observer]
        found = {target.name: member.home_of(target) for target in targets}
        return {name: home.name for name, home in found.items() if home is not None}


def make_targets(count: int, data_centres: list[str]) -> list[Target]:
    """Return targets spread over data centres."""
    return [
        Target(
            f"target-{number}",
            service="s",
            url=f"http://10.1.0.{number}:8000",
            data_centre=data_centres[number % len(data_centres)],
        )
        for number in range(count)
    ]


def with_target(configuration: Configuration, target: Target) -> Configuration:
    """Return a configuration with one target set."""
    targets = {**configuration.targets, target.name: target}
    return attrs.evolve(
        configuration, revision=configuration.revision + 1, targets=targets
    )
