"""Tests of the peer port."""

import asyncio
import unittest

from endivesill import errors
from endivesill.http_peers import HttpPeerTransport
from endivesill.keys import KeyRing
from endivesill.peer_port import STOP_TIMEOUT_S, PeerPort
from endivesill.timer import ManualTimer


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
