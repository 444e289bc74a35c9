"""Tests of the limits of the HTTP listener."""

import asyncio
import unittest
from unittest import mock

from endivesill import server
from endivesill.server import HttpServer

RESPONSE_BYTES = 32 << 20


async def respond_large(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": bytes(RESPONSE_BYTES)})


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = HttpServer("127.0.0.1:0", respond_large)
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

    @mock.patch.object(server, "UNREAD_RESPONSE_TIMEOUT_S", 0.1)
    async def test_a_response_that_stays_unread_is_dropped(self):
        self.writer.write(b"GET / HTTP/1.0\r\n\r\n")
        await asyncio.sleep(0.4)
        with self.assertRaises(ConnectionError):
            total = await self.read_to_end()
            raise ConnectionError(total) if total < RESPONSE_BYTES else AssertionError

    @mock.patch.object(server, "UNREAD_RESPONSE_TIMEOUT_S", 0.1)
    async def test_a_slow_but_steady_reader_receives_everything(self):
        self.writer.write(b"GET / HTTP/1.0\r\n\r\n")
        total = 0
        while data := await self.reader.read(1 << 20):
            total += len(data)
            await asyncio.sleep(0.0005)
        self.assertGreaterEqual(total, RESPONSE_BYTES)

    @mock.patch.object(server, "HEADER_TIMEOUT_S", 0.05)
    async def test_a_connection_that_sends_no_request_is_closed(self):
        host, port = self.server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nX-Half: ")
        async with asyncio.timeout(2):
            self.assertEqual(b"", await reader.read())
        writer.close()
