"""What the log takes of an entry's processor time at full load.

One process has the parts of an entry and nothing else; callers and targets are in
this one. The entry serves as many plain requests as it can, once with its log and
once without, in turns. Printed as JSON, as all benches do.
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
from endivesill.forwarding.retry_budget import RetryBudget
from endivesill.forwarding.route_table import RouteTable
from endivesill.forwarding.statistics import Statistics
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
TURNS = 5
TURN_S = 2.0
TARGET_SHARE = 0.10

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
    """The parts of an entry in a process of their own."""

    def __init__(self, targets: list[str], *, logs: bool) -> None:
        timer = SystemTimer()
        transport = MemoryNetwork(timer).transport("entry")
        follower = FleetSyncClient(timer, transport, (), dict, lambda news: None)
        table = TargetTable(timer, follower.view, "a")
        for number, address in enumerate(targets):
            identity = f"t{number}"
            follower.view.engines[identity] = EngineInfo(
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
        forwarder = Forwarder(
            timer,
            table,
            admission,
            Placer(timer, table, admission, follower, transport),
            RetryBudget(timer, 0.2, 50, 10.0, lambda: 1.0),
            ConnectionPool(timer, 0.5, 3.0),
            PlatformProtocol(),
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
    """Serve until told; answer with the processor seconds used."""

    async def serve() -> None:
        entry = _Entry(targets, logs=logs)
        await entry.listener.start()
        pipe.send(entry.listener.address)
        loop = asyncio.get_running_loop()
        while await loop.run_in_executor(None, pipe.recv) != "stop":
            pipe.send(time.process_time())

    # The lines go to a reader that takes them all, as on the platform.
    output = os.open(os.devnull, os.O_WRONLY)
    os.dup2(output, 1)
    uvloop.run(serve())


async def _answer(exchange: Exchange) -> None:
    attempt = (b"X-Endivesill-Request-Attempt-Id", b"a1")
    seal = (b"X-Endivesill-Response-Seal", b"1.2.3")
    exchange.respond(200, [attempt, seal], b"x" * 800)


async def _call(address: str, end_s: float, timer: SystemTimer) -> int:
    """Send one request after the other; return how many were answered."""
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
        connection.end()
        count += 1
    connection.abort()
    return count


async def _turn(targets: list[str], *, logs: bool) -> tuple[float, float]:
    """Return microseconds of processor time a request, and requests a second."""
    timer = SystemTimer()
    here, there = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_run_entry, args=(there, targets, logs))
    process.start()
    loop = asyncio.get_running_loop()

    def ask(question: str) -> float:
        here.send(question)
        return here.recv()

    address = await loop.run_in_executor(None, here.recv)
    before_s = await loop.run_in_executor(None, ask, "time")
    end_s = timer.now_s() + TURN_S
    counts = await asyncio.gather(
        *(_call(address, end_s, timer) for _ in range(CALLERS))
    )
    used_s = await loop.run_in_executor(None, ask, "time") - before_s
    here.send("stop")
    await loop.run_in_executor(None, process.join)
    return 1e6 * used_s / sum(counts), sum(counts) / TURN_S


async def _measure() -> Report:
    timer = SystemTimer()
    listeners = [HttpListener(timer, "127.0.0.1:0", _answer) for _ in range(TARGETS)]
    for listener in listeners:
        await listener.start()
    targets = [listener.address for listener in listeners]
    turns = [
        (await _turn(targets, logs=True), await _turn(targets, logs=False))
        for _ in range(TURNS)
    ]
    for listener in listeners:
        await listener.stop()
    with_log_us = statistics.median(on[0] for on, _ in turns)
    without_us = statistics.median(off[0] for _, off in turns)
    share = 1 - without_us / with_log_us
    report = Report("log_cost", seed=1)
    report.add("processor time a request", with_log_us, "us")
    report.add("the same without a log", without_us, "us")
    report.add("requests a second", statistics.median(on[1] for on, _ in turns), "1/s")
    report.add(
        "the log's share of processor time",
        share,
        "",
        "at most 0.1",
        share <= TARGET_SHARE,
    )
    return report


def main() -> int:
    """Run the bench and print its figures."""
    uvloop.run(_measure()).print()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
