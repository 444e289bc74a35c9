"""Tests of the server side of HTTP/1.1."""

import unittest

from endivesill.http1 import ConnectionLimits, HttpListener, ServerConnection
from endivesill.http1.server import LINGER_S, SWEEP_S
from endivesill.timer import ManualTimer
from tests.http1_fakes import FakeTransport, settle

HEAD = b"POST /a/b HTTP/1.1\r\nHost: x.example\r\n"


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    """A listener without a socket; connections are made by hand."""

    def setUp(self):
        self.timer = ManualTimer()
        self.exchanges = []
        limits = ConnectionLimits(
            header_bytes=1_000, body_bytes=2_000, header_timeout_s=3, idle_timeout_s=15
        )
        self.listener = HttpListener(self.timer, "x:1", self.handle, limits)

    async def handle(self, exchange):
        self.exchanges.append(exchange)
        exchange.respond(200, [(b"X-Number", b"%d" % len(self.exchanges))], b"ok")

    def connect(self):
        connection = ServerConnection(self.listener)
        transport = FakeTransport()
        connection.connection_made(transport)
        return connection, transport

    async def send(self, data: bytes):
        connection, transport = self.connect()
        connection.data_received(data)
        await settle()
        return connection, transport


class RequestTest(ServerTestCase):
    async def test_a_request_is_handed_over_byte_for_byte(self):
        data = HEAD + b"X-Odd-CASE:  a b \r\nContent-Length: 3\r\n\r\n\x00\xff\n"
        _, transport = await self.send(data)
        exchange = self.exchanges[0]
        self.assertEqual("POST", exchange.method)
        self.assertEqual(b"/a/b", exchange.target)
        self.assertEqual(b"\x00\xff\n", exchange.body)
        self.assertIn(b"X-Odd-CASE", [name for name, _ in exchange.headers])
        self.assertIn(b"200 OK", transport.written)

    async def test_a_body_in_chunks_is_joined(self):
        data = (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        await self.send(data)
        self.assertEqual(b"abc", self.exchanges[0].body)

    async def test_pipelined_requests_are_answered_in_their_order(self):
        one = b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
        two = b"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
        _, transport = await self.send(one + two)
        self.assertEqual([b"/1", b"/2"], [e.target for e in self.exchanges])
        first = transport.written.index(b"X-Number: 1")
        self.assertLess(first, transport.written.index(b"X-Number: 2"))

    async def test_an_expected_continue_is_given_before_the_body(self):
        head = HEAD + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        connection, transport = await self.send(head)
        self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", transport.written)
        connection.data_received(b"x")
        await settle()
        self.assertEqual(b"x", self.exchanges[0].body)


class RefusedInputTest(ServerTestCase):
    async def refused(self, data: bytes, status: bytes):
        _, transport = await self.send(data)
        self.assertEqual([], self.exchanges)
        self.assertTrue(transport.written.startswith(b"HTTP/1.1 " + status))
        self.assertIn(b"Connection: close", transport.written)
        self.assertTrue(transport.eof)

    async def test_two_lengths(self):
        lengths = b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"
        await self.refused(HEAD + lengths, b"400")

    async def test_a_length_with_chunks(self):
        both = b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        await self.refused(HEAD + both, b"400")

    async def test_a_second_transfer_coding(self):
        coding = b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
        await self.refused(HEAD + coding, b"400")

    async def test_a_signed_length(self):
        await self.refused(HEAD + b"Content-Length: +1\r\n\r\na", b"400")

    async def test_bare_line_ends(self):
        await self.refused(b"GET / HTTP/1.1\nHost: x\n\n", b"400")

    async def test_two_hosts(self):
        await self.refused(HEAD + b"Host: other\r\n\r\n", b"400")

    async def test_no_host(self):
        await self.refused(b"GET / HTTP/1.1\r\n\r\n", b"400")

    async def test_a_large_head(self):
        await self.refused(HEAD + b"X: " + b"a" * 1_100 + b"\r\n\r\n", b"431")

    async def test_a_large_head_that_does_not_end(self):
        await self.refused(b"GET /" + b"a" * 1_100, b"431")

    async def test_a_large_body_is_refused_before_it_comes(self):
        await self.refused(HEAD + b"Content-Length: 2001\r\n\r\n", b"413")

    async def test_a_large_body_in_chunks(self):
        chunk = b"Transfer-Encoding: chunked\r\n\r\n7d1\r\n" + b"a" * 2_001
        await self.refused(HEAD + chunk, b"413")

    async def test_a_request_hidden_behind_a_refused_one_is_not_read(self):
        hidden = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
        await self.refused(
            HEAD + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab" + hidden, b"400"
        )


class LifeTest(ServerTestCase):
    async def test_a_slow_head_is_ended(self):
        connection, transport = await self.send(b"GET / HT")
        connection.expire(self.timer.now_s() + 2.9)
        await settle()
        self.assertEqual(b"", transport.written)
        connection.expire(self.timer.now_s() + 3.1)
        await settle()
        self.assertIn(b"408", transport.written)

    async def test_an_idle_connection_is_kept_for_the_idle_time(self):
        connection, transport = await self.send(HEAD + b"Content-Length: 0\r\n\r\n")
        connection.expire(self.timer.now_s() + 14.9)
        self.assertFalse(transport.eof)
        connection.expire(self.timer.now_s() + 15.1)
        self.assertTrue(transport.eof)

    async def test_a_closing_listener_says_so_before_it_closes(self):
        self.listener.closing = True
        _, transport = await self.send(HEAD + b"Content-Length: 0\r\n\r\n")
        self.assertIn(b"Connection: close", transport.written)
        self.assertTrue(transport.eof)

    async def test_a_closed_connection_discards_input_before_it_is_released(self):
        self.listener.closing = True
        connection, transport = await self.send(HEAD + b"Content-Length: 0\r\n\r\n")
        connection.data_received(HEAD + b"Content-Length: 0\r\n\r\n")
        await settle()
        self.assertEqual(1, len(self.exchanges))
        self.assertFalse(transport.closed)
        await self.timer.advance(LINGER_S + SWEEP_S)
        self.assertTrue(transport.closed)

    async def test_the_end_of_the_caller_is_told_to_the_handler(self):
        left = []

        async def handle(exchange):
            exchange.on_disconnect = lambda: left.append(exchange)
            await exchange.disconnected.wait()

        self.listener.handler = handle
        connection, _ = await self.send(HEAD + b"Content-Length: 0\r\n\r\n")
        connection.eof_received()
        await settle()
        self.assertEqual(1, len(left))

    async def test_a_handler_that_fails_does_not_leave_half_an_answer(self):
        async def handle(exchange):
            exchange.start(200, [])
            exchange.send(b"part")
            raise ValueError("as the test wants")

        self.listener.handler = handle
        _, transport = await self.send(HEAD + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(transport.aborted)
        self.assertNotIn(b"0\r\n\r\n", transport.written)
