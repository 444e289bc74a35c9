"""The entries of the routing bench: the real routing over a memory network."""

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
    """One VM: home of some engines, and entry for its part of the requests."""

    def __init__(
        self,
        timer: TimerService,
        current: Callable[[], Configuration],
        engines: FakeEngines,
        network: MemoryNetwork,
        membership: StaticMembership,
        name: str,
    ) -> None:
        self.name = name
        peers = network.transport(name)
        prefixes = PrefixIndex()
        self.lender = CreditServer(timer, current, name, membership, peers)
        self.wallet = CreditClient(timer, current, name, self.lender, membership, peers)
        self.router = Router(
            timer,
            current,
            credit_client=self.wallet,
            prefixes=prefixes,
            entry_name=name,
        )
        self.monitor = TargetMonitor(
            timer, current, engines, self.lender.is_owner, self.lender, prefixes
        )

    async def start(self) -> None:
        """Begin to hold credits and to poll."""
        await self.wallet.start()
        await self.monitor.start()

    async def stop(self) -> None:
        """Stop both."""
        await self.monitor.stop()
        await self.wallet.stop()

    def assume_warm(self, target: Target) -> None:
        """Begin as a home that has known a warm target for long."""
        if self.lender.is_owner(target):
            self.lender.allocator(target).assume_warm()


def make_entries(
    count: int,
    timer: TimerService,
    current: Callable[[], Configuration],
    engines: FakeEngines,
    network: MemoryNetwork,
) -> list[Entry]:
    """Return so many entries; the engines' homes go round among them."""
    names = [f"v{number}" for number in range(count)]
    targets = list(current().targets)
    homes = {name: names[index % count] for index, name in enumerate(targets)}
    records = tuple(VmRecord(n, n, n, "dk-west-a", "dk-west") for n in names)
    return [
        Entry(
            timer,
            current,
            engines,
            network,
            StaticMembership(name, records, homes),
            name,
        )
        for name in names
    ]
