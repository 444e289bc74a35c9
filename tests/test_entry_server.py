"""Tests of the listener's own bounds."""

import asyncio
import unittest
from unittest import mock

from endivesill import server
from endivesill.server import HttpServer

ANSWER_BYTES = 32 << 20


async def answer_large(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": bytes(ANSWER_BYTES)})


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = HttpServer("127.0.0.1:0", answer_large)
        await self.server.start()
        host, port = self.server.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port), limit=1024
        )

    async def asyncTearDown(self):
        self.writer.transport.abort()
        await self.server.kill()

    async def read_to_end(self):
        total = 0
        while data := await self.reader.read(1 << 20):
            total += len(data)
        return total

    @mock.patch.object(server, "TAIL_STALL_S", 0.1)
    async def test_an_answer_that_stays_unread_is_dropped(self):
        self.writer.write(b"GET / HTTP/1.0\r\n\r\n")
        await asyncio.sleep(0.4)
        with self.assertRaises(ConnectionError):
            total = await self.read_to_end()
            raise ConnectionError(total) if total < ANSWER_BYTES else AssertionError

    @mock.patch.object(server, "TAIL_STALL_S", 0.1)
    async def test_a_slow_but_steady_reader_gets_all(self):
        self.writer.write(b"GET / HTTP/1.0\r\n\r\n")
        total = 0
        while data := await self.reader.read(1 << 20):
            total += len(data)
            await asyncio.sleep(0.0005)
        self.assertGreaterEqual(total, ANSWER_BYTES)

    @mock.patch.object(server, "HEADER_TIMEOUT_S", 0.05)
    async def test_a_connection_that_sends_no_request_is_closed(self):
        host, port = self.server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nX-Half: ")
        async with asyncio.timeout(2):
            self.assertEqual(b"", await reader.read())
        writer.close()
