"""Tests of the peer port."""

import asyncio
import unittest

import aiohttp
from aiohttp import test_utils, web

from endivesill import errors
from endivesill.http_peers import MAX_BODY_BYTES, HttpPeerTransport
from endivesill.keys import KeyRing
from endivesill.peer_port import STOP_TIMEOUT_S, PeerPort
from endivesill.timer import ManualTimer, SystemTimer


class PeerPortTest(unittest.IsolatedAsyncioTestCase):
    async def test_stop_ends_although_a_handler_hangs(self):
        timer = ManualTimer()
        keys = KeyRing(["a-key-for-this-test"])
        transport = HttpPeerTransport("127.0.0.1:0", keys)
        called = asyncio.Event()

        async def hang(message):
            called.set()
            await asyncio.get_running_loop().create_future()

        transport.handle("/hang", hang)
        port = PeerPort(timer, transport)
        await port.start()
        client = HttpPeerTransport("127.0.0.1:1", keys)
        call = asyncio.ensure_future(client.call(port.address, "/hang", {}, 30.0))
        await called.wait()
        stop = asyncio.ensure_future(port.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(stop.done())
        await timer.advance(STOP_TIMEOUT_S + 0.1)
        await stop
        with self.assertRaises(errors.PeerUnreachableError):
            await call
        await client.close()

    async def test_a_message_that_is_nested_too_deeply_is_a_400(self):
        keys = KeyRing(["a-key-for-this-test"])
        transport = HttpPeerTransport("127.0.0.1:0", keys)

        async def respond(message):
            return {}

        transport.handle("/x", respond)
        port = PeerPort(SystemTimer(), transport)
        await port.start()
        self.addAsyncCleanup(port.stop)
        headers = {"Authorization": keys.authorization()}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(f"http://{port.address}/x", data=b"[" * 100_000) as response,
        ):
            self.assertEqual(400, response.status)

    async def test_a_response_that_is_nested_too_deeply_is_a_failed_call(self):
        async def respond(request):
            return web.Response(text="[" * 100_000)

        application = web.Application()
        application.router.add_post("/x", respond)
        client = HttpPeerTransport("127.0.0.1:1", KeyRing(["a-key-for-this-test"]))
        self.addAsyncCleanup(client.close)
        async with test_utils.TestServer(application, host="127.0.0.1") as server:
            with self.assertRaises(errors.PeerUnreachableError):
                await client.call(f"127.0.0.1:{server.port}", "/x", {}, 5.0)

    async def test_a_response_without_end_is_a_failed_call(self):
        """Guards against bytes without end, which were all kept."""
        sent_bytes = 0

        async def respond(request):
            nonlocal sent_bytes
            response = web.StreamResponse()
            await response.prepare(request)
            while sent_bytes < 8 * MAX_BODY_BYTES:
                await response.write(b"x" * 1_048_576)
                sent_bytes += 1_048_576
            return response

        application = web.Application()
        application.router.add_post("/x", respond)
        client = HttpPeerTransport("127.0.0.1:1", KeyRing(["a-key-for-this-test"]))
        self.addAsyncCleanup(client.close)
        async with test_utils.TestServer(application, host="127.0.0.1") as server:
            with self.assertRaises(errors.PeerUnreachableError):
                await client.call(f"127.0.0.1:{server.port}", "/x", {}, 30.0)
        self.assertLess(sent_bytes, 2 * MAX_BODY_BYTES)
