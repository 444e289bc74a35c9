"""Cost of routing decisions, credit traffic and memory, over the fleet size."""

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
EXCHANGE_DURATION_S = 60.0
DECISIONS = 4000
MAX_DECISION_US = 50.0
PROMPT_PREFIX = tuple(f"p{number}" for number in range(6))


def make_fleet_configuration(count: int) -> Configuration:
    """Return a configuration with `count` engines of at most 16 services."""
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
    data_centres = {"dc": DataCentre("dc", region="r")}
    return Configuration(
        1, data_centres=data_centres, services=services, targets=targets
    )


async def measure_decision_us(count: int) -> float:
    """Return the mean processor time to acquire and finish a grant, in microseconds."""
    timer = SystemTimer()
    configuration = make_fleet_configuration(count)
    credit_server = CreditServer(timer, lambda: configuration, "bench")
    credit_client = CreditClient(timer, lambda: configuration, "bench", credit_server)
    router = Router(timer, lambda: configuration, credit_client=credit_client)
    for target in configuration.targets.values():
        credit_server.allocator(target).assume_warm()
    organisation = Organisation("o", key_sha256="0" * 64)
    services = list(configuration.services.values())
    requests = [
        RouteRequest(
            f"r{number}",
            services[number % len(services)],
            organisation,
            prompt_tokens=900,
            prefix=PROMPT_PREFIX,
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


def measure_bytes_per_organisation(count: int) -> float:
    """Return the memory of the length histograms per organisation, in bytes."""
    service = Service("s", protocol="engine")
    tracemalloc.start()
    estimator = LengthEstimator()
    for number in range(count):
        estimator.record(service, f"organisation-{number}", 200)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / count


async def measure_exchange_per_vm(vms: int) -> tuple[float, float]:
    """Return messages and body bytes per second and VM; each VM owns one engine."""
    timer = ManualTimer()
    network = MemoryNetwork(timer)
    names = [f"v{number}" for number in range(vms)]
    configuration = make_fleet_configuration(vms)
    owners = dict(zip(configuration.targets, names, strict=True))
    records = tuple(VmRecord(name, name, name, "dc", "r") for name in names)
    credit_clients = []
    for name in names:
        membership = StaticMembership(name, records, owners)
        peers = network.transport(name)
        credit_server = CreditServer(
            timer, lambda: configuration, name, membership, peers
        )
        credit_client = CreditClient(
            timer, lambda: configuration, name, credit_server, membership, peers
        )
        credit_client.usage_of = lambda target: Usage(
            slots=3, tokens=4000, headroom_slots=2
        )
        await credit_client.start()
        for target in configuration.targets.values():
            credit_client.request_more(target)
        credit_clients.append(credit_client)
    await timer.advance(EXCHANGE_DURATION_S)
    for credit_client in credit_clients:
        await credit_client.stop()
    vm_seconds = vms * EXCHANGE_DURATION_S
    return network.messages / vm_seconds, network.bytes / vm_seconds


def add_exchange_cost(report: Report) -> None:
    """Add the credit traffic of a fleet in which every entry requests all targets."""
    points = []
    for vms in VM_COUNTS:
        messages, body_bytes = asyncio.run(measure_exchange_per_vm(vms))
        points.append((float(vms), round(body_bytes, 1)))
        report.add(f"credit messages, {vms} busy VMs", round(messages, 2), "/s and VM")
    report.slope("credit bodies", "VMs, each home of one engine", "B/s and VM", points)


def add_costs(report: Report) -> None:
    """Add the cost of credit traffic, decisions and length histograms."""
    add_exchange_cost(report)
    points = []
    for count in TARGET_COUNTS:
        logged_us = round(asyncio.run(measure_decision_us(count)), 1)
        with unittest.mock.patch("endivesill.events.emit"):
            decision_us = round(asyncio.run(measure_decision_us(count)), 1)
        points.append((float(count), decision_us))
        report.add(f"decision with {count} targets, logged", logged_us, "us")
        report.add(
            f"decision with {count} targets",
            decision_us,
            "us",
            "< 50",
            decision_us < MAX_DECISION_US,
        )
    report.slope("routing decision", "targets", "us", points)
    points = [
        (float(count), round(measure_bytes_per_organisation(count), 1))
        for count in ORGANISATION_COUNTS
    ]
    report.slope("length histograms", "organisations", "bytes each", points)
    report.add("memory of an organisation", points[-1][1], "bytes", "a few hundred")
