"""Base of the tests of an entry without control VMs."""

from __future__ import annotations

import asyncio
import random
import unittest

import attrs

from endivesill import events
from endivesill.fleet.model import (
    EngineInfo,
    FleetConfiguration,
    Organisation,
    RequestKind,
    WeightedService,
)
from endivesill.fleet.shares import ShareLease
from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.forwarding.call_log import CallLog
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
    HttpListener,
    UpstreamConnection,
    encode_head,
)
from endivesill.peers import MemoryNetwork
from endivesill.platform.engines import PlatformProtocol
from endivesill.timer import SystemTimer
from tests.forwarding_fakes import MODEL, PLAIN, route
from tests.standin_platform import StandinEngine

ROUTES = (
    route(name="unsafe", path_prefix="/unsafe/"),
    route(RequestKind.SAFE, name="safe", path_prefix="/safe/"),
    route(RequestKind.STREAMING, name="stream", path_prefix="/stream/"),
    route(
        RequestKind.SAFE,
        name="answer",
        path_prefix="/answer/",
        weighted_services=(WeightedService("llm", 1.0),),
    ),
    route(name="keyed", path_prefix="/keyed/", is_public=False),
    route(name="short", path_prefix="/short/", timeout_s=0.2),
    route(RequestKind.SAFE, name="soon", path_prefix="/soon/", timeout_s=0.5),
)
# Caller and listener share a process, which may not be scheduled for a second.
CALLER_CONNECT_TIMEOUT_S = 10.0
# Runs that were given up may be stopped for some seconds after the last answer.
REST_TIMEOUT_S = 10.0
REST_POLL_S = 0.02
STREAM_HEADERS = [
    (b"X-Endivesill-Token-Counts", b"1000,80"),
    (b"X-Endivesill-Prompt-Prefix", b"5c:800,91:200"),
]


class ForwardingTestCase(unittest.IsolatedAsyncioTestCase):
    """An entry in this process with stand-in engines on loopback."""

    async def asyncSetUp(self):
        self.lines = []
        self.addCleanup(
            events.listen(lambda kind, fields: self.lines.append((kind.name, fields)))
        )
        self.timer = SystemTimer()
        network = MemoryNetwork(self.timer)
        transport = network.transport("entry")
        self.sync_client = FleetSyncClient(
            self.timer, transport, ("nobody",), dict, lambda updates: None
        )
        self.view = self.sync_client.view
        self.view.lease = ShareLease(1.0, self.timer.now_s() + 1_000)
        self.table = TargetTable(self.timer, self.view, "a")
        source = random.Random(1)
        admission = AdmissionQueue(
            self.timer,
            self.table,
            lambda service: 100.0,
            lambda request, target: target.reserve(request.demand),
            source,
        )
        self.pool = ConnectionPool(self.timer, 0.5, 3.0)
        self.links = TargetLinks(self.timer, self.pool, source)
        self.peers = ProxyPeers(self.timer, "a", source)
        proxy = ProxyClient(self.timer, self.pool, self.peers)
        self.client = TargetClient(self.timer, self.pool, self.links, proxy)
        placer = Placer(self.timer, self.table, admission, self.sync_client, transport)
        budget = RetryBudget(self.timer, 0.2, 54, 10.0, lambda: 1.0)
        self.forwarder = Forwarder(
            self.timer,
            self.table,
            admission,
            placer,
            budget,
            self.client,
            PlatformProtocol(),
            self.sync_client.crashes,
            CallLog(self.timer, Statistics(), lambda: 0.0),
            source,
        )
        organisation = Organisation("owners", ("k1",), None)
        services = {"app": PLAIN, "llm": MODEL}
        self.forwarder.routes = RouteTable(
            FleetConfiguration(
                1, ROUTES, services, (organisation,), 16_384, 1_000_000, 3.0, 15.0
            )
        )
        self.listener = HttpListener(self.timer, "127.0.0.1:0", self.forwarder.handle)
        await self.listener.start()
        self.engines: list[StandinEngine] = []
        self.addAsyncCleanup(self._close)

    async def _close(self):
        await self.listener.stop()
        await self._check_reservations()
        self.pool.close()
        for engine in self.engines:
            await engine.stop()

    async def _check_reservations(self):
        """Check that nothing is reserved any more, once all requests have ended."""
        for _ in range(int(REST_TIMEOUT_S / REST_POLL_S)):
            if not self._reservations():
                return
            await asyncio.sleep(REST_POLL_S)
        self.assertEqual({}, self._reservations())

    def _reservations(self):
        """Return what is reserved, by what it is reserved of."""
        held = {
            target.info.incarnation: attrs.astuple(target.load())
            for target in self.table.find_all(self.view.engines)
        }
        held["queue"] = (self.forwarder._admission.queue_length(),)
        held["peers"] = tuple(self.peers._in_flight.values())
        return {name: counts for name, counts in held.items() if any(counts)}

    async def add_engines(self, service: str, *names: str) -> list[StandinEngine]:
        """Start engines and add them to the engine list."""
        added = []
        for name in names:
            engine = StandinEngine(name)
            await engine.start()
            self.engines.append(engine)
            added.append(engine)
            info = EngineInfo(
                name, f"{name}@1", service, engine.address, "a", 24, False, 0.0
            )
            self.view.engines[info.incarnation] = info
        self.table.update_engines()
        return added

    def target(self, name: str):
        return self.table.find_all([f"{name}@1"])[0]

    async def connect(self) -> UpstreamConnection:
        pool = ConnectionPool(self.timer, CALLER_CONNECT_TIMEOUT_S, 10.0)
        return await pool.acquire(self.listener.address)

    async def send_request(
        self, path: str, *headers, method="POST", body=b"hello", on=None
    ):
        """Send a request as a caller; return the head and the body of the response."""
        connection = on or await self.connect()
        connection.send(request(path, *headers, method=method, body=body))
        head = await connection.head()
        return head, await connection.read_all()

    async def wait_until(self, condition):
        """Wait for a condition; fail after 5 s."""
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("condition not met within 5 s")

    def outcomes(self):
        return [f["outcome"] for name, f in self.lines if name == "request-ended"]


def request(path: str, *headers, method="POST", body=b"hello") -> bytes:
    """Return the bytes of a caller's request."""
    lines = [
        (b"Host", b"x.example"),
        (b"X-Endivesill-Request-Attempt-Id", b"a1"),
        (b"X-Endivesill-Deadline-Remaining", b"4000"),
        *headers,
    ]
    if body or method == "POST":
        lines.append((b"Content-Length", b"%d" % len(body)))
    start = f"{method} {path} HTTP/1.1".encode()
    return encode_head(start, lines) + body
