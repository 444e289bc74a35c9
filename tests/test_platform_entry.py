"""Tests of the stop of an entry process."""

import asyncio
import pathlib
import tempfile
import unittest

from endivesill.fleet.model import EngineInfo, FleetConfiguration, RequestKind
from endivesill.fleet.shares import ShareLease
from endivesill.forwarding.entry_stop import (
    ACCEPTING_FRACTION,
    BALANCER_LAG_S,
    SERVING_FRACTION,
    STOP_POLL_PERIOD_S,
)
from endivesill.forwarding.route_table import RouteTable
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.platform.entry_process import EntryProcess
from endivesill.platform.settings import read_settings
from endivesill.timer import ManualTimer, SystemTimer
from tests.forwarding_case import STREAM_HEADERS, request
from tests.forwarding_fakes import MODEL, PLAIN, route
from tests.standin_platform import StandinEngine

GRACE_S = 8.0
ENTRY_VM = f"""
node_name = "front-a-1"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internal_port_range = [7200, 7215]
seeds = ["10.1.0.24:8748"]
bootstrap = true
[listen_addresses]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[limits]
memory_mb = 150
[fault_tolerance]
machines = 2
[bounds]
grace_s = {GRACE_S}
drain_ms = 3000
retry_budget_ratio = 0.2
retry_budget_slack = 54
[cloud]
address = "10.200.0.63:8742"
rate_per_s = 42.0
"""


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    """An entry on loopback whose time the test advances."""

    async def asyncSetUp(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "local.toml"
            path.write_text(ENTRY_VM, encoding="utf-8")
            settings = read_settings(str(path))
        self.timer = ManualTimer()
        self.entry = EntryProcess(settings, self.timer)
        self.front = self.entry._front
        self.pool = ConnectionPool(SystemTimer(), 1.0, 10.0)
        await self.front.start()
        self.address = self.front.address
        self.addAsyncCleanup(self.front.stop)
        self.addCleanup(self.pool.close)


class DrainTest(EntryTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.front.handler = self.handle
        self.started = asyncio.Event()
        self.finish = asyncio.Event()

    async def handle(self, exchange):
        self.started.set()
        await self.finish.wait()
        exchange.respond(200, [])

    async def start_request(self):
        """Send a request on a new connection; return it once it is read."""
        connection = await self.pool.acquire(self.address, 0)
        connection.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await self.started.wait()
        return connection

    async def wait_until_closed(self):
        """Wait until the entry has no connections; fail after 5 s."""
        for _ in range(500):
            if not self.front.connections:
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the entry has connections after 5 s")

    async def test_a_stop_accepts_no_request_that_it_would_cut(self):
        """All entries of a data centre may be told to stop, so requests keep coming."""
        stop = asyncio.ensure_future(self.entry._drain(self.timer.now_s()))
        request = await self.start_request()
        await self.timer.advance(BALANCER_LAG_S + 0.1)
        self.pool.release(await self.pool.acquire(self.address, 0))
        await self.timer.advance(ACCEPTING_FRACTION * GRACE_S - BALANCER_LAG_S)
        with self.assertRaises(UpstreamError):
            await self.pool.acquire(self.address, 0)
        self.assertFalse(stop.done())
        self.finish.set()
        self.assertEqual(200, (await request.head()).status)
        self.pool.release(request)
        await self.wait_until_closed()
        await self.timer.advance(2 * STOP_POLL_PERIOD_S)
        self.assertTrue(stop.done())

    async def test_an_idle_entry_stops_accepting_before_it_ends(self):
        stop = asyncio.ensure_future(self.entry._drain(self.timer.now_s()))
        await self.timer.advance(BALANCER_LAG_S + 0.1)
        await self.timer.advance(STOP_POLL_PERIOD_S)
        self.assertTrue(stop.done())
        with self.assertRaises(UpstreamError):
            await self.pool.acquire(self.address, 0)


class StopTest(EntryTestCase):
    """Requests that a stopping entry has read, with engines on loopback."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = (
            route(name="unsafe", path_prefix="/unsafe/", target_latency_s=0.2),
            route(RequestKind.SAFE, name="safe", path_prefix="/safe/"),
            route(RequestKind.STREAMING, name="stream", path_prefix="/stream/"),
        )
        services = {"app": PLAIN, "llm": MODEL}
        configuration = FleetConfiguration(
            1, routes, services, (), 16_384, 1_000_000, 3.0, 15.0
        )
        self.entry._forwarder.routes = RouteTable(configuration)
        self.view = self.entry._sync_client.view
        self.view.lease = ShareLease(1.0, self.timer.now_s() + 1_000)
        self.app = await self.add_engine("app", "p1")
        self.llm = await self.add_engine("llm", "e1")
        self.entry._table.update_engines()

    async def add_engine(self, service, name):
        engine = StandinEngine(name)
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        self.view.engines[f"{name}@1"] = EngineInfo(
            name, f"{name}@1", service, engine.address, "a", 24, False, 0.0
        )
        return engine

    async def send(self, path, *headers):
        """Send a request on a new connection; return the connection."""
        connection = await self.pool.acquire(self.address, 0)
        connection.send(request(path, *headers))
        return connection

    async def begin_request(self, path):
        """Send a request but for its last byte; return its connection."""
        connection = await self.pool.acquire(self.address, 0)
        connection.send(request(path)[:-1])
        count = len(self.front.connections)
        await self.settle(lambda: len(self.front.connections) > count)
        return connection

    async def head_of(self, connection):
        """Return the head of a response; fail after 5 s."""
        return await asyncio.wait_for(connection.head(), 5)

    def end_request(self, connection):
        """Send the last byte of a request that was begun."""
        connection.transport.write(request("/")[-1:])

    async def settle(self, condition=lambda: False, seconds=0.2):
        """Let input and output proceed until a condition holds, or for a time."""
        for _ in range(int(seconds / 0.01)):
            if condition():
                return
            await asyncio.sleep(0.01)

    async def begin_stop(self):
        """Start the stop; it ends the connections as the process does."""

        async def stop():
            await self.entry._drain(self.timer.now_s())
            await self.front.stop()

        task = asyncio.ensure_future(stop())
        await self.timer.advance(0)
        return task

    async def advance(self, seconds):
        """Advance the time in steps, with input and output between them."""
        steps = max(1, round(seconds / 0.25))
        for _ in range(steps):
            await self.timer.advance(seconds / steps)
            await self.settle(seconds=0.01)

    async def test_a_request_that_an_engine_does_not_answer_gets_a_response(self):
        """The caller allows more time than the stopping process has."""
        self.app.is_hanging = True
        stop = await self.begin_stop()
        connection = await self.begin_request("/unsafe/x")
        await self.advance(ACCEPTING_FRACTION * GRACE_S)
        self.end_request(connection)
        await self.settle(lambda: self.app.requests, 2)
        self.assertTrue(self.app.requests)
        await self.advance((SERVING_FRACTION - ACCEPTING_FRACTION) * GRACE_S + 0.1)
        self.assertIn((await self.head_of(connection)).status, (502, 504))
        await self.advance(0.5)
        await asyncio.wait_for(stop, 5)

    async def test_a_request_read_at_the_end_of_a_stop_is_refused(self):
        """Its first byte came while connections were accepted, its last one late."""
        stop = await self.begin_stop()
        connection = await self.begin_request("/unsafe/x")
        await self.advance(SERVING_FRACTION * GRACE_S - 0.1)
        self.end_request(connection)
        head = await self.head_of(connection)
        self.assertEqual(503, head.status)
        self.assertEqual([], self.app.requests)
        await self.advance(0.5)
        await asyncio.wait_for(stop, 5)

    async def test_a_request_that_waits_for_a_placement_is_refused_in_time(self):
        target = self.entry._table.find_all(["p1@1"])[0]
        stop = await self.begin_stop()
        connection = await self.begin_request("/safe/x")
        await self.advance(SERVING_FRACTION * GRACE_S - 1.5)
        target.requests = 1_000
        self.end_request(connection)
        await self.settle(lambda: self.entry._admission.queue_length(), 2)
        self.assertEqual(1, self.entry._admission.queue_length())
        await self.advance(0.75)
        target.requests = 0
        self.entry._admission.admit_waiting()
        self.assertEqual(503, (await self.head_of(connection)).status)
        self.assertEqual([], self.app.requests)
        await self.advance(0.5)
        await asyncio.wait_for(stop, 5)

    async def test_no_retry_is_sent_at_the_end_of_a_stop(self):
        """The first engine is silent for 0.4 of the caller's time."""
        other = await self.add_engine("app", "p2")
        self.entry._table.update_engines()
        engines = (self.app, other)
        for engine in engines:
            engine.is_hanging = True
        stop = await self.begin_stop()
        connection = await self.begin_request("/safe/x")
        await self.advance(SERVING_FRACTION * GRACE_S - 1.65)
        self.end_request(connection)
        await self.settle(lambda: any(e.requests for e in engines), 2)
        await self.advance(2.2)
        await asyncio.wait_for(stop, 5)
        self.assertEqual(1, sum(len(engine.requests) for engine in engines))
        self.assertIn((await self.head_of(connection)).status, (502, 504))

    async def test_a_generation_that_cannot_end_in_time_is_refused_at_once(self):
        """It would be cut, while other entries have time for all of it."""
        stop = await self.begin_stop()
        counts = [(b"X-Endivesill-Token-Counts", b"1000,2000"), STREAM_HEADERS[1]]
        connection = await self.send("/stream/x", *counts)
        head = await self.head_of(connection)
        self.assertEqual(503, head.status)
        self.assertEqual([], self.llm.requests)
        short = await self.send("/stream/x", *STREAM_HEADERS)
        self.assertEqual(200, (await self.head_of(short)).status)
        await self.advance(GRACE_S)
        await asyncio.wait_for(stop, 5)

    async def test_a_pipelined_request_is_answered_before_the_close(self):
        stop = await self.begin_stop()
        connection = await self.pool.acquire(self.address, 0)
        connection.transport.write(2 * request("/unsafe/x"))
        await self.settle(lambda: len(self.app.requests) == 2, 2)
        self.assertEqual(2, len(self.app.requests))
        await self.advance(GRACE_S)
        await asyncio.wait_for(stop, 5)

    async def test_a_response_is_sent_before_the_connection_is_closed(self):
        """The caller reads slowly, so that the response waits in the buffer."""
        body = b"x" * 30_000_000

        async def respond(exchange):
            exchange.respond(200, [], body)

        self.front.handler = respond
        stop = await self.begin_stop()
        connection = await self.begin_request("/unsafe/x")
        await self.advance(SERVING_FRACTION * GRACE_S - 0.1)
        connection.transport.pause_reading()
        self.end_request(connection)
        await self.settle(seconds=0.1)
        await self.timer.advance(0.15)
        connection.transport.resume_reading()
        self.assertEqual(
            body, await asyncio.wait_for(connection.read_all(len(body)), 5)
        )
        await self.advance(0.5)
        await asyncio.wait_for(stop, 5)
