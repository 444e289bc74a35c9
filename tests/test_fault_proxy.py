"""Tests of the proxy that injects faults into connections."""

import asyncio
import contextlib
import unittest

from bench.fault_proxy import CutKind, FaultProxy, LinkState


class ProxyTestCase(unittest.IsolatedAsyncioTestCase):
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

    async def connect(self, source="127.0.0.1"):
        host, _, port = self.proxy.address.rpartition(":")
        return await asyncio.open_connection(host, int(port), local_addr=(source, 0))


class FaultProxyTest(ProxyTestCase):
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


class CutTest(ProxyTestCase):
    """The link from 127.0.0.2 is cut; the one from 127.0.0.1 is not."""

    async def echo(self, connection):
        reader, writer = connection
        writer.write(b"one")
        return await reader.readexactly(3)

    async def assert_hangs(self, awaitable):
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(awaitable, 0.1)

    async def test_a_cut_holds_new_connections_of_one_host(self):
        for kind in CutKind:
            self.proxy.cut(["127.0.0.2"], kind)
            await self.assert_hangs(self.connect("127.0.0.2"))
            self.assertEqual(b"one", await self.echo(await self.connect()))
            self.proxy.heal(["127.0.0.2"])
            self.assertEqual(b"one", await self.echo(await self.connect("127.0.0.2")))

    async def test_open_connections_hang(self):
        for kind in (CutKind.HANGS, CutKind.ONE_WAY):
            connection = await self.connect("127.0.0.2")
            await self.echo(connection)
            self.proxy.cut(["127.0.0.2"], kind)
            await self.assert_hangs(self.echo(connection))
            self.proxy.heal(["127.0.0.2"])

    async def test_open_connections_live_on(self):
        connection = await self.connect("127.0.0.2")
        await self.echo(connection)
        self.proxy.cut(["127.0.0.2"], CutKind.ONLY_NEW)
        self.assertEqual(b"one", await self.echo(connection))

    async def test_open_connections_are_reset(self):
        connection = await self.connect("127.0.0.2")
        await self.echo(connection)
        self.proxy.cut(["127.0.0.2"], CutKind.RESET)
        with self.assertRaises(ConnectionResetError):
            await self.echo(connection)
