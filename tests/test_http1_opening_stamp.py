"""Tests of the stamps of connections that wait while a process is suspended."""

import asyncio
import contextlib
import socket
import unittest

import uvloop

from endivesill.http1 import HttpListener
from endivesill.http1.opening_stamp import OpeningStamp
from endivesill.timer import SystemTimer

REQUEST = b"POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


class Requests:
    """Requests to a listener, with the stamps of their connections."""

    def __init__(self):
        self.stamps = []
        self.listener = HttpListener(SystemTimer(), "127.0.0.1:0", self.handle)
        self.stack = contextlib.ExitStack()
        self.came = asyncio.Event()

    async def handle(self, exchange):
        self.stamps.append(exchange.connection.stamp)
        exchange.respond(200, [])
        self.came.set()

    def send(self):
        host, _, port = self.listener.address.rpartition(":")
        connection = socket.create_connection((host, int(port)))
        self.stack.enter_context(connection).sendall(REQUEST)

    async def wait_for(self, count):
        while len(self.stamps) < count:
            self.came.clear()
            await self.came.wait()


async def read_late_requests(count):
    """Send requests while the process reads nothing, as in a suspended one.

    Returns the stamps of their connections, and that of a later connection.
    """
    requests = Requests()
    await requests.listener.start()
    stamp = requests.listener.opening_stamp
    with requests.stack:
        for _ in range(count):
            requests.send()
        # Noted when the process resumes, before it polls its sockets again.
        stamp.note(4)
        stamp.note(9)
        await requests.wait_for(count)
        await asyncio.sleep(0.1)
        requests.send()
        await requests.wait_for(count + 1)
    await requests.listener.stop()
    return requests.stamps


class LateRequestTest(unittest.TestCase):
    """Guards against old requests that pass for newer than what was read since."""

    def check_stamps(self, run, count):
        stamps = run(read_late_requests(count))
        self.assertEqual([0] * count, stamps[:-1])
        self.assertEqual(9, stamps[-1])

    def test_one_request(self):
        self.check_stamps(asyncio.run, 1)

    def test_one_request_with_uvloop(self):
        self.check_stamps(uvloop.run, 1)

    def test_many_requests(self):
        self.check_stamps(asyncio.run, 300)

    def test_many_requests_with_uvloop(self):
        """With uvloop, an iteration accepts one connection."""
        self.check_stamps(uvloop.run, 300)


class SettlingTest(unittest.IsolatedAsyncioTestCase):
    async def pass_iterations(self, count):
        for _ in range(count):
            await asyncio.sleep(0)

    async def test_a_value_counts_after_some_iterations(self):
        stamp = OpeningStamp(SystemTimer(), lambda: False)
        stamp.note(5)
        await self.pass_iterations(1)
        self.assertEqual(0, stamp.value)
        await self.pass_iterations(10)
        self.assertEqual(5, stamp.value)

    async def test_no_value_counts_while_connections_wait(self):
        waiting = [True]
        stamp = OpeningStamp(SystemTimer(), lambda: waiting[0])
        stamp.note(5)
        await self.pass_iterations(20)
        self.assertEqual(0, stamp.value)

    async def test_the_newest_of_many_values_counts_in_the_end(self):
        stamp = OpeningStamp(SystemTimer(), lambda: False)
        for value in range(1, 40):
            stamp.note(value)
            await self.pass_iterations(1)
            self.assertLess(stamp.value, value)
        await self.pass_iterations(20)
        self.assertEqual(39, stamp.value)
