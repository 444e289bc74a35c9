"""Cost of a routing decision and memory, over the size of the fleet."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
import unittest.mock

from bench.report import Report
from endivesill.configuration.model import (
    Configuration,
    DataCentre,
    Organisation,
    Service,
    Target,
)
from endivesill.membership import StaticMembership, VmRecord
from endivesill.peers import MemoryNetwork
from endivesill.routing import CreditClient, CreditServer, Outcome, Router, RouteRequest
from endivesill.routing.credits import Usage
from endivesill.routing.lengths import LengthEstimator
from endivesill.timer import ManualTimer, SystemTimer

__all__ = ["add_costs"]

TARGET_COUNTS = (6, 60, 300, 2400)
ORGANISATION_COUNTS = (10, 1000, 19_000)
SERVICES = 16
VM_COUNTS = (3, 7, 14)
EXCHANGE_S = 60.0
DECISIONS = 4000
DECISION_BOUND_US = 50.0
PREFIX = tuple(f"p{number}" for number in range(6))


def fleet(count: int) -> Configuration:
    """Return a configuration with so many engines, up to 16 services."""
    services = {
        f"s{n}": Service(f"s{n}", protocol="engine", routing_policy="credit")
        for n in range(max(1, min(SERVICES, count // 6)))
    }
    targets = {}
    for number in range(count):
        name = f"e{number}"
        targets[name] = Target(
            name,
            service=f"s{number % len(services)}",
            url="http://fake",
            data_centre="dc",
            memory_tokens=60_000,
        )
    centres = {"dc": DataCentre("dc", region="r")}
    return Configuration(1, data_centres=centres, services=services, targets=targets)


async def decision_us(count: int) -> float:
    """Return the mean processor time of a grant and its end."""
    timer = SystemTimer()
    configuration = fleet(count)
    lender = CreditServer(timer, lambda: configuration, "bench")
    wallet = CreditClient(timer, lambda: configuration, "bench", lender)
    router = Router(timer, lambda: configuration, credit_client=wallet)
    for target in configuration.targets.values():
        lender.allocator(target).assume_warm()
    organisation = Organisation("o", key_sha256="0" * 64)
    services = list(configuration.services.values())
    requests = [
        RouteRequest(
            f"r{number}",
            services[number % len(services)],
            organisation,
            prompt_tokens=900,
            prefix=PREFIX,
        )
        for number in range(DECISIONS)
    ]
    for request in requests[: len(services)]:
        (await router.acquire(request)).finished(Outcome.DONE)
    started_s = time.process_time()
    for request in requests:
        grant = await router.acquire(request)
        grant.finished(Outcome.DONE)
    return 1e6 * (time.process_time() - started_s) / DECISIONS


def organisation_bytes(count: int) -> float:
    """Return the memory that the length histograms take an organisation."""
    service = Service("s", protocol="engine")
    tracemalloc.start()
    estimator = LengthEstimator()
    for number in range(count):
        estimator.record(service, f"organisation-{number}", 200)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count


async def exchange_per_vm(vms: int) -> tuple[float, float]:
    """Return messages and body bytes a second and VM, each VM home of one engine."""
    timer = ManualTimer()
    network = MemoryNetwork(timer)
    names = [f"v{number}" for number in range(vms)]
    configuration = fleet(vms)
    homes = dict(zip(configuration.targets, names, strict=True))
    records = tuple(VmRecord(name, name, name, "dc", "r") for name in names)
    wallets = []
    for name in names:
        membership = StaticMembership(name, records, homes)
        peers = network.transport(name)
        lender = CreditServer(timer, lambda: configuration, name, membership, peers)
        wallet = CreditClient(
            timer, lambda: configuration, name, lender, membership, peers
        )
        wallet.usage_of = lambda target: Usage(slots=3, tokens=4000, headroom_slots=2)
        await wallet.start()
        for target in configuration.targets.values():
            wallet.request_more(target)
        wallets.append(wallet)
    await timer.advance(EXCHANGE_S)
    for wallet in wallets:
        await wallet.stop()
    scale = vms * EXCHANGE_S
    return network.messages / scale, network.bytes / scale


def add_exchange(report: Report) -> None:
    """Measure what the credits of a busy fleet cost on the wire."""
    points = []
    for vms in VM_COUNTS:
        messages, size = asyncio.run(exchange_per_vm(vms))
        points.append((float(vms), round(size, 1)))
        report.add(f"credit messages, {vms} busy VMs", round(messages, 2), "/s and VM")
    report.slope("credit bodies", "VMs, each home of one engine", "B/s and VM", points)


def add_costs(report: Report) -> None:
    """Measure and add the costs."""
    add_exchange(report)
    points = []
    for count in TARGET_COUNTS:
        logged_us = round(asyncio.run(decision_us(count)), 1)
        with unittest.mock.patch("endivesill.events.emit"):
            cost_us = round(asyncio.run(decision_us(count)), 1)
        points.append((float(count), cost_us))
        report.add(f"decision with {count} targets, logged", logged_us, "us")
        report.add(
            f"decision with {count} targets",
            cost_us,
            "us",
            "< 50",
            cost_us < DECISION_BOUND_US,
        )
    report.slope("routing decision", "targets", "us", points)
    points = [
        (float(count), round(organisation_bytes(count), 1))
        for count in ORGANISATION_COUNTS
    ]
    report.slope("length histograms", "organisations", "bytes each", points)
    report.add("memory of an organisation", points[-1][1], "bytes", "a few hundred")
