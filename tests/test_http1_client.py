"""Tests of the client side of HTTP/1.1: what an answer is, and reuse."""

import unittest

from endivesill.http1 import UpstreamConnection, UpstreamError, strip_hop_by_hop
from endivesill.timer import ManualTimer
from tests.http1_fakes import FakeTransport

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClientTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.connection = UpstreamConnection(self.timer, "10.0.0.1:80")
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)

    def ask(self):
        self.connection.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")

    async def answer(self, *parts: bytes):
        self.ask()
        for part in parts:
            self.connection.data_received(part)
        head = await self.connection.head()
        return head, await self.connection.read_all()


class AnswerTest(ClientTestCase):
    async def test_a_whole_answer_leaves_the_connection_clean(self):
        head, body = await self.answer(WHOLE[:20], WHOLE[20:])
        self.assertEqual((200, b"ok"), (head.status, body))
        self.assertTrue(self.connection.end_exchange())
        self.assertTrue(self.connection.is_usable(10.0))

    async def test_a_short_answer_is_broken(self):
        self.ask()
        self.connection.data_received(WHOLE[:-1])
        self.connection.eof_received()
        await self.connection.head()
        with self.assertRaises(UpstreamError) as caught:
            await self.connection.read_all()
        self.assertTrue(caught.exception.sent)

    async def test_an_answer_without_a_length_ends_with_the_connection(self):
        self.ask()
        self.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        self.connection.eof_received()
        await self.connection.head()
        self.assertEqual(b"all of it", await self.connection.read_all())
        self.assertFalse(self.connection.end_exchange())

    async def test_an_answer_without_a_length_that_is_reset_is_broken(self):
        self.ask()
        self.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nsome of it")
        self.connection.connection_lost(ConnectionResetError())
        await self.connection.head()
        with self.assertRaises(UpstreamError):
            await self.connection.read_all()

    async def test_chunks_that_do_not_end_are_broken(self):
        self.ask()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.connection.data_received(head + b"2\r\nab\r\n")
        self.connection.eof_received()
        await self.connection.head()
        with self.assertRaises(UpstreamError):
            await self.connection.read_all()

    async def test_bytes_that_are_no_answer(self):
        self.ask()
        self.connection.data_received(b"\x00\x01 nonsense\r\n\r\n")
        with self.assertRaises(UpstreamError):
            await self.connection.head()

    async def test_an_early_answer_to_a_body_that_is_not_sent_ends_the_connection(self):
        self.transport.unsent_bytes = 100
        await self.answer(WHOLE)
        self.assertFalse(self.connection.end_exchange())
        self.assertTrue(self.transport.aborted)


class ReuseTest(ClientTestCase):
    async def test_an_answer_after_the_answer_ends_the_connection(self):
        _, body = await self.answer(WHOLE + WHOLE)
        self.assertEqual(b"ok", body)
        self.assertFalse(self.connection.end_exchange())

    async def test_a_late_answer_on_an_idle_connection_ends_it(self):
        await self.answer(WHOLE)
        self.assertTrue(self.connection.end_exchange())
        self.connection.data_received(WHOLE)
        self.assertFalse(self.connection.is_usable(10.0))
        with self.assertRaises(UpstreamError) as caught:
            self.ask()
        self.assertFalse(caught.exception.sent)

    async def test_a_connection_that_the_peer_ends_is_not_used_again(self):
        await self.answer(WHOLE.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"))
        self.assertFalse(self.connection.end_exchange())

    async def test_the_peers_keep_alive_time_bounds_the_idle_time(self):
        await self.answer(WHOLE.replace(b"OK\r\n", b"OK\r\nKeep-Alive: timeout=2\r\n"))
        self.connection.end_exchange()
        await self.timer.advance(1.4)
        self.assertTrue(self.connection.is_usable(10.0))
        await self.timer.advance(0.2)
        self.assertFalse(self.connection.is_usable(10.0))

    async def test_a_skipped_answer_gives_way_to_the_next(self):
        self.ask()
        self.connection.data_received(WHOLE)
        await self.connection.head()
        await self.connection.read_all()
        self.connection.skip_response()
        self.connection.data_received(WHOLE.replace(b"200 OK", b"201 OK"))
        self.assertEqual(201, (await self.connection.head()).status)


class HeaderTest(unittest.TestCase):
    def test_headers_of_one_connection_are_not_passed_on(self):
        headers = [
            (b"Connection", b"close, X-Other, Foo"),
            (b"Foo", b"1"),
            (b"Keep-Alive", b"timeout=1"),
            (b"TE", b"trailers"),
            (b"Bar", b"2"),
        ]
        self.assertEqual([(b"Bar", b"2")], strip_hop_by_hop(headers))

    def test_a_caller_cannot_remove_what_engines_rely_on(self):
        headers = [(b"Connection", b"X-Request-Name"), (b"X-Request-Name", b"1")]
        self.assertEqual([(b"X-Request-Name", b"1")], strip_hop_by_hop(headers))
