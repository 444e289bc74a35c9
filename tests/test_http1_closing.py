"""Tests of the planned end of a listener."""

import asyncio

from endivesill.http1 import close_listener
from endivesill.http1.closing import POLL_PERIOD_S
from endivesill.http1.server import LINGER_S
from tests.http1_fakes import settle
from tests.test_http1_server import HEAD, ServerTestCase

REQUEST = HEAD + b"Content-Length: 0\r\n\r\n"
MAX_WAIT_S = 2.0


class CloseListenerTest(ServerTestCase):
    async def begin_close(self):
        task = asyncio.ensure_future(close_listener(self.listener, MAX_WAIT_S))
        await settle()
        return task

    async def test_an_idle_connection_is_closed_at_once(self):
        connection, transport = self.connect()
        closing = await self.begin_close()
        self.assertTrue(transport.eof_written)
        connection.connection_lost(None)
        await self.timer.advance(POLL_PERIOD_S)
        self.assertTrue(closing.done())
        self.assertEqual(0, await closing)

    async def test_a_request_that_was_read_is_answered(self):
        answer = asyncio.Event()

        async def respond(exchange):
            await answer.wait()
            exchange.respond(200, [], b"late")

        self.listener.handler = respond
        connection, transport = await self.send(REQUEST)
        closing = await self.begin_close()
        await self.timer.advance(MAX_WAIT_S / 2)
        self.assertFalse(closing.done())
        answer.set()
        await settle()
        self.assertTrue(transport.written.endswith(b"late"))
        self.assertIn(b"Connection: close", transport.written)
        await self.timer.advance(LINGER_S / 2)
        self.assertFalse(transport.aborted)
        connection.connection_lost(None)
        await self.timer.advance(POLL_PERIOD_S)
        self.assertEqual(0, await closing)

    async def test_a_request_that_takes_too_long_is_cut_and_counted(self):
        async def hang(exchange):
            await exchange.disconnected.wait()

        self.listener.handler = hang
        _, transport = await self.send(REQUEST)
        closing = await self.begin_close()
        await self.timer.advance(MAX_WAIT_S + POLL_PERIOD_S)
        self.assertTrue(transport.aborted)
        self.assertEqual(1, await closing)
