"""Tests of the stop of an entry process."""

import asyncio
import pathlib
import tempfile
import unittest

from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.platform.entry_process import (
    ACCEPTING_FRACTION,
    BALANCER_LAG_S,
    STOP_POLL_PERIOD_S,
    EntryProcess,
)
from endivesill.platform.settings import read_settings
from endivesill.timer import ManualTimer, SystemTimer

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


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "local.toml"
            path.write_text(ENTRY_VM, encoding="utf-8")
            settings = read_settings(str(path))
        self.timer = ManualTimer()
        self.entry = EntryProcess(settings, self.timer)
        self.front = self.entry._front
        self.front.handler = self.handle
        self.started = asyncio.Event()
        self.finish = asyncio.Event()
        self.pool = ConnectionPool(SystemTimer(), 1.0, 10.0)
        await self.front.start()
        self.address = self.front.address
        self.addAsyncCleanup(self.front.stop)
        self.addCleanup(self.pool.close)

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
