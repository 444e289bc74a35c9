"""What credits cost between an entry and a home, over the targets they share.

The real lender and wallet over the memory network on the manual timer: bytes
are those of the JSON bodies, messages are counted one way. Each HTTP exchange
adds its headers, which `bench.membership` measures.
"""

from __future__ import annotations

import asyncio
import time

from bench.report import Report
from endivesill.configuration.model import (
    Configuration,
    DataCentre,
    Service,
    Target,
)
from endivesill.configuration.source import FixedConfiguration
from endivesill.membership import StaticMembership, VmRecord
from endivesill.peers import MemoryNetwork
from endivesill.routing import CreditClient, CreditServer
from endivesill.routing.credits import Usage
from endivesill.targets import LoadReport
from endivesill.timer import ManualTimer

__all__ = ["main"]

TARGETS = (1, 4, 16, 64)
DURATION_S = 120.0
STEP_S = 0.5
SLOTS_IN_USE = 4


def make_configuration(count: int) -> Configuration:
    """Return a configuration with engines of one service."""
    targets = (
        Target(
            f"e{n}",
            service="s",
            url="http://127.0.0.1:1",
            data_centre="a",
            memory_tokens=100_000,
        )
        for n in range(count)
    )
    return Configuration(
        revision=1,
        data_centres={"a": DataCentre("a", region="r")},
        services={"s": Service("s", protocol="engine")},
        targets={target.name: target for target in targets},
    )


async def measure(count: int) -> tuple[float, float, float]:
    """Run one home and one borrower.

    Args:
      count: targets that both share.

    Returns:
      Bytes and messages a second of both together, and their processor time as
      a share of a core.
    """
    timer = ManualTimer()
    network = MemoryNetwork(timer)
    source = FixedConfiguration(make_configuration(count))
    records = tuple(VmRecord(name, f"{name}-1", name, "a", "r") for name in "hb")
    homes = dict.fromkeys(source.current().targets, "h")
    wallets = []
    for name in "hb":
        peers = network.transport(name)
        membership = StaticMembership(name, records, homes)
        lender = CreditServer(
            timer, source.current, f"{name}-1", membership, peers, source
        )
        wallet = CreditClient(
            timer, source.current, f"{name}-1", lender, membership, peers
        )
        wallet.usage_of = lambda target: Usage(slots=SLOTS_IN_USE, headroom_slots=2)
        wallets.append(wallet)
        await wallet.start()
        if name == "h":
            home = lender
    borrower = wallets[1]
    targets = list(source.current().targets.values())
    started_s = time.process_time()
    for _ in range(int(DURATION_S / STEP_S)):
        for target in targets:
            borrower.note_demand(target)
            report = LoadReport("boot", running=SLOTS_IN_USE, memory_tokens=100_000)
            home.observe_load(target, report)
        await timer.advance(STEP_S)
    share = (time.process_time() - started_s) / DURATION_S
    for wallet in wallets:
        await wallet.stop()
    return network.bytes / DURATION_S, network.messages / DURATION_S, share


async def run() -> Report:
    """Measure all sizes."""
    report = Report("credits")
    rows = [(count, await measure(count)) for count in TARGETS]
    for index, name, unit in (
        (0, "credit bytes of an entry and a home", "B/s"),
        (1, "credit messages of an entry and a home", "1/s"),
        (2, "credit processor of an entry and a home", "cores"),
    ):
        points = [(float(count), row[index]) for count, row in rows]
        report.slope(name, "targets shared", unit, points)
        report.add(f"{name}, {TARGETS[1]} targets", points[1][1], unit)
    return report


def main() -> None:
    """Print the figures."""
    asyncio.run(run()).print()


if __name__ == "__main__":
    main()
