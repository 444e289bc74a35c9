"""The entries of the routing benchmark: the real router over a memory network."""

from __future__ import annotations

from collections.abc import Callable

from bench.fake_engine import FakeEngines
from endivesill.configuration.model import Configuration, Target
from endivesill.membership import StaticMembership, VmRecord
from endivesill.peers import MemoryNetwork
from endivesill.routing import CreditClient, CreditServer, Router
from endivesill.routing.prefixes import PrefixIndex
from endivesill.targets.monitor import TargetMonitor
from endivesill.timer import TimerService

__all__ = ["Entry", "make_entries"]


class Entry:
    """One VM, which owns some of the engines and routes a share of the requests."""

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        engines: FakeEngines,
        network: MemoryNetwork,
        membership: StaticMembership,
        name: str,
    ) -> None:
        self.name = name
        peers = network.transport(name)
        prefixes = PrefixIndex()
        self.credit_server = CreditServer(timer, configuration, name, membership, peers)
        self.credit_client = CreditClient(
            timer, configuration, name, self.credit_server, membership, peers
        )
        self.router = Router(
            timer,
            configuration,
            credit_client=self.credit_client,
            prefixes=prefixes,
            entry_name=name,
        )
        self.monitor = TargetMonitor(
            timer,
            configuration,
            engines,
            self.credit_server.is_owner,
            self.credit_server,
            prefixes,
        )

    async def start(self) -> None:
        """Start the credit client and the polling of owned engines."""
        await self.credit_client.start()
        await self.monitor.start()

    async def stop(self) -> None:
        """Stop polling and the credit client."""
        await self.monitor.stop()
        await self.credit_client.stop()

    def assume_warm(self, target: Target) -> None:
        """Skip the takeover period and slow start of a target if this VM owns it."""
        if self.credit_server.is_owner(target):
            self.credit_server.allocator(target).assume_warm()


def make_entries(
    count: int,
    timer: TimerService,
    configuration: Callable[[], Configuration],
    engines: FakeEngines,
    network: MemoryNetwork,
) -> list[Entry]:
    """Return `count` entries, which own the engines in round-robin order."""
    names = [f"v{number}" for number in range(count)]
    targets = list(configuration().targets)
    owners = {name: names[index % count] for index, name in enumerate(targets)}
    records = tuple(VmRecord(n, n, n, "dk-west-a", "dk-west") for n in names)
    return [
        Entry(
            timer,
            configuration,
            engines,
            network,
            StaticMembership(name, records, owners),
            name,
        )
        for name in names
    ]
