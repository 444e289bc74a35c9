"""Fleet of membership services in one process, on the manual timer."""

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
    name: str,
    data_centre: str,
    region: str,
    address: str,
    join_addresses: tuple[str, ...],
) -> VmSettings:
    """Return the settings of a VM; only its peer address is used."""
    return VmSettings(
        name=name,
        data_centre=data_centre,
        region=region,
        caller_address="127.0.0.1:1",
        operator_address="127.0.0.1:1",
        peer_address=address,
        join_addresses=join_addresses,
        key_file="",
    )


class MemoryFleet:
    """VMs in the data centres of one region, on an in-memory network.

    Args:
      sizes: number of VMs of each data centre, by its name.
      seed: seed of the network and of all VMs.
      settings: the membership settings of all VMs.
      region: the region of all data centres.

    Attributes:
      members: the running membership services by VM name.
      locations: data centre and peer address of each VM, by VM name.
      datagram_transports: registry of the running VMs' transports, by address.
      configuration: the configuration of all VMs.
      join_addresses: the join addresses of VMs that are started from now on.
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
        self.locations: dict[str, tuple[str, str]] = {}
        self.datagram_transports: dict[str, MemoryDatagramTransport] = {}
        self._region = region
        self._seed = seed
        centres = {name: DataCentre(name, region=region) for name in sizes}
        self.configuration = FixedConfiguration(Configuration(1, data_centres=centres))
        vm_number = 0
        for data_centre, count in sizes.items():
            for _ in range(count):
                vm_number += 1
                self.locations[f"vm-{vm_number}"] = (
                    data_centre,
                    f"10.0.0.{vm_number}:7000",
                )
        self.join_addresses = tuple(
            location[1] for location in self.locations.values()
        )[:JOIN_VMS]

    async def start(self, name: str) -> SwimMembership:
        """Start a new membership service of a VM and return it."""
        data_centre, address = self.locations[name]
        self._seed += 1
        member = SwimMembership(
            Kernel(self.timer),
            vm_settings(name, data_centre, self._region, address, self.join_addresses),
            self.settings,
            self.network.transport(address),
            MemoryDatagramTransport(address, self.network, self.datagram_transports),
            self.configuration,
            self._seed,
        )
        self.members[name] = member
        await member.start()
        return member

    async def start_all(self, settle_s: float = 5.0) -> None:
        """Start all VMs and advance the timer, so that they join each other."""
        for name in self.locations:
            await self.start(name)
        await self.timer.advance(settle_s)

    async def kill(self, name: str) -> None:
        """Stop a VM; it sends no notice to the others."""
        self.network.remove(self.locations[name][1])
        await self.members.pop(name).stop()

    async def stop(self) -> None:
        """Stop all VMs."""
        for name in list(self.members):
            await self.kill(name)

    def address(self, name: str) -> str:
        """Return the peer address of a VM."""
        return self.locations[name][1]

    def in_data_centre(self, data_centre: str) -> list[str]:
        """Return the names of the VMs in a data centre."""
        return [
            name
            for name, location in self.locations.items()
            if location[0] == data_centre
        ]

    def partition(self, names: list[str]) -> None:
        """Partition the named VMs from all others, but not from each other."""
        for name in names:
            for other in self.locations:
                if other not in names:
                    self.network.cut(self.address(name), self.address(other))

    def state(self, observer: str, name: str) -> VmState | None:
        """Return the state of a VM in the view of another; None if unknown there."""
        for record in self.members[observer].vms():
            if record.name == name:
                return record.state
        return None

    def states(self, name: str) -> set[VmState | None]:
        """Return the states of a VM in the views of all other running VMs."""
        return {self.state(other, name) for other in self.members if other != name}

    def is_converged(self) -> bool:
        """Tell whether all views are equal, with exactly the running VMs alive."""
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
        """Return the home VM of each target in the view of one VM, if it has one."""
        member = self.members[observer]
        found = {target.name: member.home_of(target) for target in targets}
        return {name: home.name for name, home in found.items() if home is not None}


def make_targets(count: int, data_centres: list[str]) -> list[Target]:
    """Return targets that go to the data centres in rotation."""
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
    """Return the next revision of a configuration, with a target added or replaced."""
    targets = {**configuration.targets, target.name: target}
    return attrs.evolve(
        configuration, revision=configuration.revision + 1, targets=targets
    )
