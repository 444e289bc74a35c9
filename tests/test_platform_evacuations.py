"""Tests of evacuations at control VMs that are suspended, with the real processes."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import tempfile
import unittest

from bench.platform_soak_fleet import CONTROL_PORT, SoakFleet
from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.metrics_port import METRICS_PORT
from endivesill.timer import SystemTimer

# Above the numbers of the soak's runs; differs between test runs on one machine.
FLEET_NUMBER = 60_000 + os.getpid() % 5_000
START, END = "/Evacuation.Start/", "/Evacuation.End/"
CALL_TIMEOUT_S = 1.0
BACKOFF_S = 0.05
# Long enough for any machine; nothing is judged by it.
PATIENCE_S = 60.0


def opposite(order):
    return END if order == START else START


class FrozenVmTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an old order that a control VM carries out when it wakes.

    Each data centre is named for the order that the frozen VM gets, and for whether its
    operator closes the connection. All orders go through one freeze.
    """

    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.timer = SystemTimer()
        self.pool = ConnectionPool(self.timer, CALL_TIMEOUT_S, 0.0)
        self.addCleanup(self.pool.close)
        self.fleet = SoakFleet(
            pathlib.Path(folder) / "fleet", FLEET_NUMBER, "127.0.0.1:1"
        )
        self.controls = self.fleet.with_role("control")
        for process in self.controls:
            self.addCleanup(process.kill)
            self.fleet.launch(process)

    async def call(self, process, method, path, port=CONTROL_PORT):
        request = f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        exchange = self.pool.exchange(f"{process.ip}:{port}", request.encode())
        try:
            head, body = await self.timer.wait_for(exchange, CALL_TIMEOUT_S)
        except (UpstreamError, errors.DeadlineExceededError):
            return 0, b""
        return head.status, body

    async def order(self, path, processes):
        """Send an order to VMs in turn until one acknowledges it."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                for process in processes:
                    status, _ = await self.call(process, "POST", path)
                    if status == 200:
                        return
                    await asyncio.sleep(BACKOFF_S)

    async def poll(self, read):
        """Call a coroutine function until it returns a true value; return that."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                if result := await read():
                    return result
                await asyncio.sleep(BACKOFF_S)

    async def find_leader(self):
        name = await self.poll(lambda: self.fleet.find_leader(self.timer))
        return self.fleet.processes[name]

    def freeze(self, process):
        process.signal(signal.SIGSTOP)
        self.addCleanup(process.signal, signal.SIGCONT)
        os.waitid(os.P_PID, process.process.pid, os.WSTOPPED)

    def send_and_give_up(self, process, path, is_closed):
        """Send an order to a frozen VM; its kernel accepts the connection."""
        connection = socket.create_connection((process.ip, CONTROL_PORT))
        self.addCleanup(connection.close)
        connection.sendall(f"POST {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        if is_closed:
            connection.close()

    async def answered_calls(self, process):
        """Return how many calls a VM has answered, from its log."""
        return (process.folder / "output.log").read_text().count('"change-answered"')

    async def evacuated(self, process, names):
        """Return which data centres a VM knows as evacuated, after all orders."""
        marker = f"marker-{process.name}"
        await self.order(START + marker, [process])

        async def read():
            _, body = await self.call(process, "GET", "/metrics", METRICS_PORT)
            lines = body.decode().splitlines()
            found = {
                name
                for name in [*names, marker]
                if f'endivesill_evacuated{{data_centre="{name}"}} 1' in lines
            }
            return found if marker in found else None

        return await self.poll(read) - {marker}

    async def check_late_orders(self, late, others):
        orders = {
            f"{late.name}-{order[12:-1]}-{'closed' if is_closed else 'open'}": (
                order,
                is_closed,
            )
            for order in (START, END)
            for is_closed in (True, False)
        }
        for name, (order, _) in orders.items():
            await self.order(opposite(order) + name, others)
        answered = await self.answered_calls(late) + len(orders)
        self.freeze(late)
        for name, (order, is_closed) in orders.items():
            self.send_and_give_up(late, order + name, is_closed)
        for name, (order, _) in orders.items():
            await self.order(order + name, others)
            await self.order(opposite(order) + name, others)
        late.signal(signal.SIGCONT)

        async def has_answered():
            return await self.answered_calls(late) >= answered

        await self.poll(has_answered)
        expected = {name for name, (order, _) in orders.items() if order == END}
        for process in self.controls:
            self.assertEqual(expected, await self.evacuated(process, orders))

    async def test_a_follower_that_is_frozen(self):
        leader = await self.find_leader()
        late = next(c for c in self.controls if c is not leader)
        await self.check_late_orders(late, [c for c in self.controls if c is not late])

    async def test_the_leader_that_is_frozen(self):
        late = await self.find_leader()
        await self.check_late_orders(late, [c for c in self.controls if c is not late])

    async def test_an_order_on_its_way_to_a_frozen_leader(self):
        """A follower that is awake passes the order on, and gives up as well."""
        leader = await self.find_leader()
        others = [c for c in self.controls if c is not leader]
        await self.order(START + "a", others)
        self.freeze(leader)
        with contextlib.ExitStack() as stack:
            for process in others:
                connection = socket.create_connection((process.ip, CONTROL_PORT))
                stack.enter_context(connection)
                connection.sendall(f"POST {END}a HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            await asyncio.sleep(CALL_TIMEOUT_S)
        await self.order(END + "a", others)
        await self.order(START + "a", others)
        leader.signal(signal.SIGCONT)
        await asyncio.sleep(CALL_TIMEOUT_S)
        for process in self.controls:
            self.assertEqual({"a"}, await self.evacuated(process, ["a"]))
