"""Engines that send bytes without end, against the real processes.

The processes have lowered limits, as in the tests of crowds. Half of the callers'
requests go to engines that write, in place of an answer or in one, until the connection
is closed.
"""

import asyncio
import collections
import contextlib
import itertools
import os
import random

from bench.fault_proxy import FaultProxy
from bench.platform_soak_fleet import FRONT_PORT
from bench.platform_soak_targets import SoakTarget
from tests.test_platform_crowds import CrowdTestCase

ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Endivesill-Request-Attempt-Id: %b\r\n"
    b"X-Endivesill-Response-Seal: soak\r\n"
)
CHUNKED = ANSWER + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = ANSWER + b"\r\n"
LETTERS = b"x" * 65_536
# How engines begin, and what they then repeat.
HEADS = [
    (b"", LETTERS),
    (b"HTTP/1.1 200 ", LETTERS),
    (ANSWER + b"A: ", LETTERS),
    (ANSWER, b"aa: b\r\n" * 9_000),
    (b"", b"HTTP/1.1 102 X\r\n\r\n" * 3_000),
    (b"HTTP/1.1 000 X\r\n\r\n", LETTERS),
    (CHUNKED + b"0\r\n", b"aa: b\r\n" * 9_000),
    (b"", ANSWER % b"other" + b"Content-Length: 60000\r\n\r\n" + LETTERS[:60_000]),
]
BODIES = [
    (ANSWER + b"Content-Length: 9999999999999\r\n\r\n", LETTERS),
    (CHUNKED, b"10000\r\n" + LETTERS + b"\r\n"),
    (UNFRAMED, LETTERS),
    (UNFRAMED, b"data: x\n\n" * 7_000),
]
TINY_CHUNKS = [(CHUNKED, b"2\r\nxx\r\n" * 9_000)]
# Callers at a time, and engines of each service that write without end.
CALLERS = 160
ENGINES = 8
# How long a caller reads.
CALL_S = 1.5


class EndlessTarget(SoakTarget):
    """A target that writes without end, in one form, on each connection."""

    form = (b"", b"")

    async def start(self, address="127.0.0.1:0"):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.proxy = FaultProxy(f"{host}:{port}", address)
        await self.proxy.start()

    async def stop(self):
        await self.proxy.stop()
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = dict(
                line.lower().partition(b": ")[::2] for line in head.split(b"\r\n")
            )
            attempt = lines.get(b"x-endivesill-request-attempt-id", b"")
            start, pattern = self.form
            writer.write(start % attempt if b"%b" in start else start)
            while True:
                writer.write(pattern)
                await writer.drain()
        writer.transport.abort()


class EndlessBytesTest(CrowdTestCase):
    """Guards against bytes without end that fill the memory of the process."""

    async def add_endless(self, forms):
        for number, service in itertools.product(range(ENGINES), ("app", "llm")):
            counts = collections.Counter()
            target = EndlessTarget(self.timer, service, "a", counts, random.Random(1))
            target.form = forms[number % len(forms)]
            await target.start()
            self.addAsyncCleanup(target.stop)
            self.targets.append(target)
        # The list is read about once a second.
        await asyncio.sleep(2.0)

    def request(self, number):
        kind = ("safe", "unsafe", "streaming")[number % 3]
        headers = b"Api-Key: key-1\r\nX-Endivesill-Deadline-Remaining: 4000\r\n"
        headers += (
            b"X-Endivesill-Request-Attempt-Id: %b\r\n" % os.urandom(8).hex().encode()
        )
        if kind == "streaming":
            headers += b"X-Endivesill-Token-Counts: 100,60\r\n"
            headers += b"X-Endivesill-Prompt-Prefix: 5c:80,%x:20\r\n" % number
        start = f"POST /{kind}/x HTTP/1.1\r\nHost: soak.example\r\n".encode()
        return start + headers + b"Content-Length: 5\r\n\r\norder"

    async def call(self, data):
        """Send a request, read what comes, and leave in the end."""
        reader, writer = await asyncio.open_connection(self.entry.ip, FRONT_PORT)
        writer.write(data)
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(CALL_S):
                while await reader.read(65_536):
                    pass
        writer.transport.abort()

    async def check(self, forms):
        await self.add_endless(forms)
        for _ in range(3):
            calls = [self.call(self.request(number)) for number in range(CALLERS)]
            await asyncio.gather(*calls)
            self.assert_bounded(self.entry)
        await self.assert_serves()
        for process in self.fleet.processes.values():
            self.assert_bounded(process)

    async def test_heads(self):
        await self.check(HEADS)

    async def test_bodies(self):
        await self.check(BODIES)

    async def test_bodies_in_tiny_chunks(self):
        """Guards against pieces of a body whose objects take far more than the body."""
        await self.check(TINY_CHUNKS)
