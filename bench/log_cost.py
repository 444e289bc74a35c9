"""Bench of the processor time that an entry at full load spends on its log.

A child process runs the parts of an entry; callers and targets are in this process.
The entry serves as many plain requests as it can, in alternating rounds with and
without its log. Prints its figures as JSON, as all benches do.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import multiprocessing.connection
import os
import random
import statistics
import time

import uvloop

from bench.report import Report
from endivesill import events
from endivesill.fleet.model import (
    EngineInfo,
    FleetConfiguration,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.forwarding.call_log import CallLog
from endivesill.forwarding.events import request_failed
from endivesill.forwarding.forwarder import Forwarder
from endivesill.forwarding.placer import Placer
from endivesill.forwarding.proxy_client import ProxyClient
from endivesill.forwarding.proxy_peers import ProxyPeers
from endivesill.forwarding.retry_budget import RetryBudget
from endivesill.forwarding.route_table import RouteTable
from endivesill.forwarding.statistics import Statistics
from endivesill.forwarding.target_client import TargetClient
from endivesill.forwarding.target_links import TargetLinks
from endivesill.forwarding.targets import TargetTable
from endivesill.forwarding.waiting import AdmissionQueue
from endivesill.http1 import (
    ConnectionPool,
    Exchange,
    HttpListener,
    UpstreamConnection,
    encode_head,
)
from endivesill.json_log import JsonLog
from endivesill.peers import MemoryNetwork
from endivesill.platform.engines import PlatformProtocol
from endivesill.timer import SystemTimer

CALLERS = 24
TARGETS = 4
ROUNDS = 5
ROUND_S = 2.0
MAX_LOG_FRACTION = 0.10

ROUTE = Route(
    "r",
    "x.example",
    "/p/",
    RequestKind.SAFE,
    5.0,
    1.0,
    1,
    (WeightedService("app", 1.0),),
    2,
    True,
    0.0,
)
SERVICE = Service("app", "/health", 100, 0.0, 0.0, None)


class _Entry:
    """The parts of an entry that serve a plain request."""

    def __init__(self, targets: list[str], *, logs: bool) -> None:
        timer = SystemTimer()
        transport = MemoryNetwork(timer).transport("entry")
        sync_client = FleetSyncClient(timer, transport, (), dict, lambda updates: None)
        table = TargetTable(timer, sync_client.view, "a")
        for number, address in enumerate(targets):
            identity = f"t{number}"
            sync_client.view.engines[identity] = EngineInfo(
                identity, identity, "app", address, "a", 100, False, 0.0
            )
        table.update_engines()
        admission = AdmissionQueue(
            timer,
            table,
            lambda service: 1e9,
            lambda request, target: target.reserve(request.demand),
            random.Random(1),
        )
        pool = ConnectionPool(timer, 0.5, 3.0)
        peers = ProxyPeers(timer, "a", random.Random(1))
        proxy = ProxyClient(timer, pool, peers)
        client = TargetClient(
            timer, pool, TargetLinks(timer, pool, random.Random(1)), proxy
        )
        forwarder = Forwarder(
            timer,
            table,
            admission,
            Placer(timer, table, admission, sync_client, transport),
            RetryBudget(timer, 0.2, 50, 10.0, lambda: 1.0),
            client,
            PlatformProtocol(),
            sync_client.crashes,
            CallLog(timer, Statistics(), lambda: 0.0),
            random.Random(1),
        )
        forwarder.routes = RouteTable(
            FleetConfiguration(
                1, (ROUTE,), {"app": SERVICE}, (), 16_384, 1_000_000, 3.0, 15.0
            )
        )
        self.listener = HttpListener(timer, "127.0.0.1:0", forwarder.handle)
        if logs:
            JsonLog(timer, "entry", classify=request_failed).start()
        else:
            events.set_sink(lambda kind, fields: None)


def _run_entry(
    pipe: multiprocessing.connection.Connection, targets: list[str], logs: bool
) -> None:
    """Serve until "stop"; reply to any other message with the processor time in s."""

    async def serve() -> None:
        entry = _Entry(targets, logs=logs)
        await entry.listener.start()
        pipe.send(entry.listener.address)
        loop = asyncio.get_running_loop()
        while await loop.run_in_executor(None, pipe.recv) != "stop":
            pipe.send(time.process_time())

    # The log never blocks on its reader, as on the platform.
    output = os.open(os.devnull, os.O_WRONLY)
    os.dup2(output, 1)
    uvloop.run(serve())


async def _respond(exchange: Exchange) -> None:
    attempt = (b"X-Endivesill-Request-Attempt-Id", b"a1")
    seal = (b"X-Endivesill-Response-Seal", b"1.2.3")
    exchange.respond(200, [attempt, seal], b"x" * 800)


async def _call(address: str, end_s: float, timer: SystemTimer) -> int:
    """Send requests on one connection until a time; return the number of responses."""
    request = encode_head(
        b"GET /p/x HTTP/1.1",
        [
            (b"Host", b"x.example"),
            (b"X-Endivesill-Request-Attempt-Id", b"a1"),
            (b"X-Endivesill-Deadline-Remaining", b"4000"),
        ],
    )
    pool = ConnectionPool(timer, 0.5, 10.0)
    connection: UpstreamConnection = await pool.acquire(address)
    count = 0
    while timer.now_s() < end_s:
        connection.send(request)
        head = await connection.head()
        await connection.read_all()
        assert head.status == 200, head
        connection.end_exchange()
        count += 1
    connection.abort()
    return count


async def _measure_round(targets: list[str], *, logs: bool) -> tuple[float, float]:
    """Run one round; return processor time per request in us, and requests per s."""
    timer = SystemTimer()
    parent_pipe, child_pipe = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_run_entry, args=(child_pipe, targets, logs))
    process.start()
    loop = asyncio.get_running_loop()

    def query(message: str) -> float:
        parent_pipe.send(message)
        return parent_pipe.recv()

    address = await loop.run_in_executor(None, parent_pipe.recv)
    before_s = await loop.run_in_executor(None, query, "time")
    end_s = timer.now_s() + ROUND_S
    counts = await asyncio.gather(
        *(_call(address, end_s, timer) for _ in range(CALLERS))
    )
    used_s = await loop.run_in_executor(None, query, "time") - before_s
    parent_pipe.send("stop")
    await loop.run_in_executor(None, process.join)
    return 1e6 * used_s / sum(counts), sum(counts) / ROUND_S


async def _measure() -> Report:
    timer = SystemTimer()
    listeners = [HttpListener(timer, "127.0.0.1:0", _respond) for _ in range(TARGETS)]
    for listener in listeners:
        await listener.start()
    targets = [listener.address for listener in listeners]
    rounds = [
        (
            await _measure_round(targets, logs=True),
            await _measure_round(targets, logs=False),
        )
        for _ in range(ROUNDS)
    ]
    for listener in listeners:
        await listener.stop()
    with_log_us = statistics.median(on[0] for on, _ in rounds)
    without_us = statistics.median(off[0] for _, off in rounds)
    log_fraction = 1 - without_us / with_log_us
    report = Report("log_cost", seed=1)
    report.add("processor time a request", with_log_us, "us")
    report.add("the same without a log", without_us, "us")
    report.add("requests a second", statistics.median(on[1] for on, _ in rounds), "1/s")
    report.add(
        "the log's share of processor time",
        log_fraction,
        "",
        "at most 0.1",
        log_fraction <= MAX_LOG_FRACTION,
    )
    return report


def main() -> int:
    """Run the bench and print its report."""
    uvloop.run(_measure()).print()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
