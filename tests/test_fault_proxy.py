"""Tests of the proxy that injects faults into connections."""

import asyncio
import contextlib
import unittest

from bench.fault_proxy import FaultProxy, LinkState


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        self.server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = FaultProxy(f"127.0.0.1:{port}")
        await self.proxy.start()
        self.addAsyncCleanup(self._close)

    async def _close(self):
        await self.proxy.stop()
        self.server.close()

    async def connect(self):
        host, _, port = self.proxy.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def test_open_link_forwards_both_directions(self):
        reader, writer = await self.connect()
        writer.write(b"one")
        self.assertEqual(b"one", await reader.readexactly(3))
        writer.write_eof()
        self.assertEqual(b"", await reader.read())

    async def test_held_bytes_are_forwarded_once_the_link_is_open(self):
        for state in (LinkState.SILENT, LinkState.NO_ANSWERS, LinkState.NO_REQUESTS):
            reader, writer = await self.connect()
            self.proxy.set(state)
            writer.write(b"two")
            reading = asyncio.ensure_future(reader.readexactly(3))
            await asyncio.sleep(0.02)
            self.assertFalse(reading.done())
            self.proxy.set(LinkState.OPEN)
            self.assertEqual(b"two", await reading)
            writer.close()

    async def test_reset_applies_to_existing_and_new_connections(self):
        reader, writer = await self.connect()
        writer.write(b"one")
        await reader.readexactly(3)
        self.proxy.set(LinkState.RESET)
        with self.assertRaises(ConnectionResetError):
            await reader.readexactly(1)
        reader, writer = await self.connect()
        with contextlib.suppress(ConnectionResetError):
            self.assertEqual(b"", await reader.read())

    async def test_delayed_link_forwards_all_bytes(self):
        self.proxy.set(LinkState.DELAYED)
        reader, writer = await self.connect()
        writer.write(b"three")
        self.assertEqual(b"three", await reader.readexactly(5))
