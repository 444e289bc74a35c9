"""Tests of HTTP/1.1 client connections: complete responses and reuse."""

import asyncio
import tracemalloc
import unittest
from unittest import mock

from endivesill.http1 import (
    ConnectionPool,
    HttpListener,
    UpstreamConnection,
    UpstreamError,
    bounds_exceeded,
    sockets,
    strip_hop_by_hop,
)
from endivesill.timer import ManualTimer, SystemTimer
from tests.http1_fakes import FakeTransport, settle

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClientTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.connection = UpstreamConnection(self.timer, "10.0.0.1:80")
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)

    def send_request(self):
        self.connection.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")

    async def exchange(self, *parts: bytes):
        self.send_request()
        for part in parts:
            self.connection.data_received(part)
        head = await self.connection.head()
        return head, await self.connection.read_all()


class ResponseTest(ClientTestCase):
    async def test_a_complete_response_leaves_the_connection_reusable(self):
        head, body = await self.exchange(RESPONSE[:20], RESPONSE[20:])
        self.assertEqual((200, b"ok"), (head.status, body))
        self.assertTrue(self.connection.end_exchange())
        self.assertTrue(self.connection.is_usable(10.0))

    async def test_a_truncated_response_is_incomplete(self):
        self.send_request()
        self.connection.data_received(RESPONSE[:-1])
        self.connection.eof_received()
        await self.connection.head()
        with self.assertRaises(UpstreamError) as caught:
            await self.connection.read_all()
        self.assertTrue(caught.exception.sent)

    async def test_an_unframed_response_ends_with_the_stream(self):
        self.send_request()
        self.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        self.connection.eof_received()
        await self.connection.head()
        self.assertEqual(b"all of it", await self.connection.read_all())
        self.assertFalse(self.connection.end_exchange())

    async def test_an_unframed_response_that_is_reset_is_incomplete(self):
        self.send_request()
        self.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nsome of it")
        self.connection.connection_lost(ConnectionResetError())
        await self.connection.head()
        with self.assertRaises(UpstreamError):
            await self.connection.read_all()

    async def test_a_chunked_response_without_last_chunk_is_incomplete(self):
        self.send_request()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.connection.data_received(head + b"2\r\nab\r\n")
        self.connection.eof_received()
        await self.connection.head()
        with self.assertRaises(UpstreamError):
            await self.connection.read_all()

    async def test_bytes_that_are_not_http(self):
        self.send_request()
        self.connection.data_received(b"\x00\x01 nonsense\r\n\r\n")
        with self.assertRaises(UpstreamError):
            await self.connection.head()

    async def test_an_early_response_closes_the_connection(self):
        self.transport.unsent_bytes = 100
        await self.exchange(RESPONSE)
        self.assertFalse(self.connection.end_exchange())
        self.assertTrue(self.transport.aborted)


class StatusTest(ClientTestCase):
    """Guards against bytes with an impossible status that count as an answer.

    One below 200 counted as an interim response, whose body then became the start of
    the body of the response after it; one above 599 was passed on.
    """

    async def check_refused(self, first: bytes):
        with self.assertRaises(UpstreamError) as caught:
            await self.exchange(first + RESPONSE)
        self.assertTrue(caught.exception.sent)
        self.assertTrue(self.transport.aborted)

    async def test_statuses_that_http_does_not_have(self):
        for status in (b"000", b"001", b"099", b"600", b"999"):
            for end in (b" Trouble\r\n", b"\r\n"):
                for framing in (b"Content-Length: 3\r\n\r\nbad", b"\r\n"):
                    with self.subTest(status=status, end=end, framing=framing):
                        self.setUp()
                        await self.check_refused(b"HTTP/1.1 " + status + end + framing)

    async def test_an_interim_response_with_a_body(self):
        for status in (b"100", b"102", b"103", b"199"):
            with self.subTest(status=status):
                self.setUp()
                await self.check_refused(
                    b"HTTP/1.1 " + status + b" X\r\nContent-Length: 3\r\n\r\nbad"
                )

    async def test_an_invalid_status_after_a_response_does_not_spoil_it(self):
        head, body = await self.exchange(RESPONSE + b"HTTP/1.1 000 X\r\n\r\n")
        self.assertEqual((200, b"ok"), (head.status, body))
        self.assertFalse(self.connection.end_exchange())

    async def test_all_final_statuses_are_answers(self):
        for status in range(200, 600):
            self.setUp()
            head, _ = await self.exchange(
                b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
            )
            self.assertEqual(status, head.status)


class TruncationTest(ClientTestCase):
    """Guards against a response that is cut off anywhere and passes for a whole one."""

    async def check_prefixes(self, response, first_whole_bytes):
        for length in range(first_whole_bytes):
            for ends_with_reset in (False, True):
                self.setUp()
                self.send_request()
                self.connection.data_received(response[:length])
                if ends_with_reset:
                    self.connection.connection_lost(ConnectionResetError())
                else:
                    self.connection.eof_received()
                with self.assertRaises(UpstreamError, msg=response[:length]):
                    await self.connection.head()
                    await self.connection.read_all()
                self.assertFalse(self.connection.end_exchange())

    async def test_a_response_with_a_length(self):
        await self.check_prefixes(RESPONSE, len(RESPONSE))

    async def test_a_response_in_chunks_with_trailers(self):
        response = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nX-Seal: 1\r\n\r\n"
        )
        await self.check_prefixes(response, len(response))

    async def test_a_response_without_a_length(self):
        head = b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\n\r\n"
        await self.check_prefixes(head + b"all of it", len(head))

    async def test_a_response_after_an_interim_one(self):
        response = b"HTTP/1.1 102 Processing\r\nX-Part: 1\r\n\r\n" + RESPONSE
        await self.check_prefixes(response, len(response))


class ReuseTest(ClientTestCase):
    async def test_a_second_response_closes_the_connection(self):
        _, body = await self.exchange(RESPONSE + RESPONSE)
        self.assertEqual(b"ok", body)
        self.assertFalse(self.connection.end_exchange())

    async def test_data_on_an_idle_connection_closes_it(self):
        await self.exchange(RESPONSE)
        self.assertTrue(self.connection.end_exchange())
        self.connection.data_received(RESPONSE)
        self.assertFalse(self.connection.is_usable(10.0))
        with self.assertRaises(UpstreamError) as caught:
            self.send_request()
        self.assertFalse(caught.exception.sent)

    async def test_connection_close_prevents_reuse(self):
        await self.exchange(RESPONSE.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"))
        self.assertFalse(self.connection.end_exchange())

    async def test_the_announced_keep_alive_timeout_limits_the_idle_time(self):
        await self.exchange(
            RESPONSE.replace(b"OK\r\n", b"OK\r\nKeep-Alive: timeout=2\r\n")
        )
        self.connection.end_exchange()
        await self.timer.advance(1.4)
        self.assertTrue(self.connection.is_usable(10.0))
        await self.timer.advance(0.2)
        self.assertFalse(self.connection.is_usable(10.0))

    async def test_the_response_after_a_skipped_one_is_read(self):
        self.send_request()
        self.connection.data_received(RESPONSE)
        await self.connection.head()
        await self.connection.read_all()
        self.connection.skip_response()
        self.connection.data_received(RESPONSE.replace(b"200 OK", b"201 OK"))
        self.assertEqual(201, (await self.connection.head()).status)


class SocketOptionsTest(unittest.TestCase):
    def test_the_user_timeout_leaves_all_keep_alive_probes_their_time(self):
        """On Linux it also ends a connection whose probes are not answered."""
        probing_s = sockets.KEEPALIVE_IDLE_S + (
            sockets.KEEPALIVE_PERIOD_S * sockets.KEEPALIVE_PROBES
        )
        self.assertGreaterEqual(sockets.USER_TIMEOUT_MS, 1_000 * probing_s)


class SourceAddressTest(unittest.IsolatedAsyncioTestCase):
    async def test_connections_come_from_the_source_address(self):
        async def handle(exchange):
            peer = exchange.connection.transport.get_extra_info("peername")
            exchange.respond(200, [], peer[0].encode())

        timer = SystemTimer()
        listener = HttpListener(timer, "127.0.0.1:0", handle)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        pool = ConnectionPool(timer, 1.0, 1.0, source_host="127.0.0.2")
        self.addCleanup(pool.close)
        _, body = await pool.exchange(
            listener.address, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        self.assertEqual(b"127.0.0.2", body)


class LostConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_whose_caller_has_gone_is_closed(self):
        """Guards against descriptors that stay open after a cancelled request."""
        loop = asyncio.get_running_loop()
        connected = loop.create_future()
        connection = mock.Mock()
        pool = ConnectionPool(SystemTimer(), 1.0, 1.0)
        connect = mock.Mock(return_value=connected)
        with mock.patch.object(loop, "create_connection", connect):
            task = asyncio.ensure_future(pool.acquire("127.0.0.1:1"))
            await asyncio.sleep(0)
            connected.set_result((None, connection))
            task.cancel()
            await asyncio.wait({task})
        self.assertTrue(task.cancelled())
        connection.abort.assert_called_once_with()


class BoundsTest(ClientTestCase):
    """Peers that send bytes without end."""

    # Growth that one connection may cause before it is closed.
    MAX_GROWTH_BYTES = 4_000_000
    CHUNK_BYTES = 65_536

    async def feed_until_closed(self, start: bytes, pattern: bytes, bound: str):
        """Feed a pattern up to 64 MB; return the peak growth of memory in bytes."""
        before = bounds_exceeded[bound]
        block = pattern * (self.CHUNK_BYTES // len(pattern))
        self.send_request()
        tracemalloc.start()
        try:
            self.connection.data_received(start)
            for _ in range(1_000):
                if self.transport.aborted:
                    break
                self.connection.data_received(block)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertTrue(self.transport.aborted, "the connection is still open")
        self.assertEqual(before + 1, bounds_exceeded[bound])
        self.assertLess(peak_bytes, self.MAX_GROWTH_BYTES)

    async def assert_broken(self):
        with self.assertRaises(UpstreamError) as caught:
            await self.connection.head()
            await self.connection.read_all()
        self.assertTrue(caught.exception.sent)

    async def test_header_lines_without_end(self):
        await self.feed_until_closed(
            b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n", "header fields"
        )
        await self.assert_broken()

    async def test_a_header_value_without_end(self):
        await self.feed_until_closed(b"HTTP/1.1 200 OK\r\nX-A: ", b"a", "framing bytes")
        await self.assert_broken()

    async def test_interim_responses_without_end(self):
        await self.feed_until_closed(
            b"", b"HTTP/1.1 102 Processing\r\n\r\n", "framing bytes"
        )
        await self.assert_broken()

    async def test_a_chunk_extension_without_end(self):
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x="
        await self.feed_until_closed(start, b"a", "framing bytes")
        await self.assert_broken()

    async def test_trailers_without_end(self):
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: "
        await self.feed_until_closed(start, b"a", "framing bytes")
        await self.assert_broken()

    async def test_responses_without_end(self):
        await self.feed_until_closed(RESPONSE, RESPONSE, "responses")
        self.assertEqual(b"ok", await self.connection.read_all())
        self.assertFalse(self.connection.end_exchange())

    async def test_a_body_without_end_that_is_read_as_a_whole(self):
        self.send_request()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.connection.data_received(head)
        reading = asyncio.ensure_future(self.connection.read_all())
        tracemalloc.start()
        try:
            while not self.transport.aborted:
                self.connection.data_received(b"8000\r\n" + b"a" * 0x8000 + b"\r\n")
                await settle()
            with self.assertRaises(UpstreamError):
                await reading
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak_bytes, self.MAX_GROWTH_BYTES)

    async def test_many_small_chunks_of_a_stream_are_within_the_bounds(self):
        self.send_request()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.connection.data_received(head)
        for _ in range(20_000):
            self.connection.data_received(b"4\r\nabcd\r\n")
            await self.connection.read()
        self.assertFalse(self.transport.aborted)


class HopByHopHeaderTest(unittest.TestCase):
    def test_hop_by_hop_headers_are_removed(self):
        headers = [
            (b"Connection", b"close, X-Other, Foo"),
            (b"Foo", b"1"),
            (b"Keep-Alive", b"timeout=1"),
            (b"TE", b"trailers"),
            (b"Bar", b"2"),
        ]
        self.assertEqual([(b"Bar", b"2")], strip_hop_by_hop(headers))

    def test_connection_does_not_remove_extension_headers(self):
        headers = [(b"Connection", b"X-Request-Name"), (b"X-Request-Name", b"1")]
        self.assertEqual([(b"X-Request-Name", b"1")], strip_hop_by_hop(headers))
