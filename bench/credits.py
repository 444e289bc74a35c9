"""Benchmark of the credit traffic between an entry and an owner of targets.

The real credit server and client exchange messages over the memory network on the
manual timer. Bytes are those of the JSON bodies; a request and its response count
as two messages. Each HTTP exchange adds headers, which `bench.membership` measures.
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

TARGET_COUNTS = (1, 4, 16, 64)
DURATION_S = 120.0
ADVANCE_STEP_S = 0.5
SLOTS_IN_USE = 4


def make_configuration(count: int) -> Configuration:
    """Return a configuration with `count` engines of one service."""
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


async def measure_exchange(count: int) -> tuple[float, float, float]:
    """Run an owner and an entry that uses all of its targets.

    Args:
      count: number of targets.

    Returns:
      Bytes per second and messages per second of both VMs together, and the cores
      that they use.
    """
    timer = ManualTimer()
    network = MemoryNetwork(timer)
    source = FixedConfiguration(make_configuration(count))
    records = tuple(VmRecord(name, f"{name}-1", name, "a", "r") for name in "hb")
    owners = dict.fromkeys(source.current().targets, "h")
    credit_clients = []
    for name in "hb":
        peers = network.transport(name)
        membership = StaticMembership(name, records, owners)
        credit_server = CreditServer(
            timer, source.current, f"{name}-1", membership, peers, source
        )
        credit_client = CreditClient(
            timer, source.current, f"{name}-1", credit_server, membership, peers
        )
        credit_client.usage_of = lambda target: Usage(
            slots=SLOTS_IN_USE, headroom_slots=2
        )
        credit_clients.append(credit_client)
        await credit_client.start()
        if name == "h":
            owner_server = credit_server
    entry_client = credit_clients[1]
    targets = list(source.current().targets.values())
    started_s = time.process_time()
    for _ in range(int(DURATION_S / ADVANCE_STEP_S)):
        for target in targets:
            entry_client.note_demand(target)
            report = LoadReport("boot", running=SLOTS_IN_USE, memory_tokens=100_000)
            owner_server.observe_load(target, report)
        await timer.advance(ADVANCE_STEP_S)
    cores = (time.process_time() - started_s) / DURATION_S
    for credit_client in credit_clients:
        await credit_client.stop()
    return network.bytes / DURATION_S, network.messages / DURATION_S, cores


async def run() -> Report:
    """Measure all target counts and return the report."""
    report = Report("credits")
    rows = [(count, await measure_exchange(count)) for count in TARGET_COUNTS]
    for index, name, unit in (
        (0, "credit bytes of an entry and a home", "B/s"),
        (1, "credit messages of an entry and a home", "1/s"),
        (2, "credit processor of an entry and a home", "cores"),
    ):
        points = [(float(count), row[index]) for count, row in rows]
        report.slope(name, "targets shared", unit, points)
        report.add(f"{name}, {TARGET_COUNTS[1]} targets", points[1][1], unit)
    return report


def main() -> None:
    """Run the benchmark and print the report."""
    asyncio.run(run()).print()


if __name__ == "__main__":
    main()
