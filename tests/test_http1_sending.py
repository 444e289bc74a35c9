"""Tests of sending one request: whether it may have run after each failure."""

import unittest

from endivesill.http1 import (
    ConnectionPool,
    HttpListener,
    SendError,
    SendFailure,
    send_request,
)
from endivesill.timer import SystemTimer

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class SendRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = SystemTimer()
        self.pool = ConnectionPool(self.timer, 0.5, 5.0)
        self.listener = HttpListener(self.timer, "127.0.0.1:0", self.handle)
        await self.listener.start()
        self.response_names = [b"own"]
        self.request_count = 0
        self.start_count = 0

    async def asyncTearDown(self):
        self.pool.close()
        await self.listener.stop()

    async def handle(self, exchange):
        """Send all responses at once; reset the connection if there are none."""
        self.request_count += 1
        if not self.response_names:
            exchange.abort()
            return
        for name in self.response_names:
            exchange.respond(200, [(b"X-Name", name)], b"ok")
            exchange.finished = name == self.response_names[-1]

    def count_start(self):
        self.start_count += 1

    async def send(self, **changes):
        return await send_request(
            self.pool,
            changes.pop("address", self.listener.address),
            lambda: REQUEST,
            on_started=self.count_start,
            is_own_response=lambda head, is_first: head.header(b"x-name") == b"own",
            **changes,
        )

    async def send_failure(self, **changes):
        with self.assertRaises(SendError) as caught:
            await self.send(**changes)
        return caught.exception.failure

    async def test_the_response_head_is_returned(self):
        connection, head = await self.send()
        self.assertEqual((200, 1), (head.status, self.start_count))
        self.assertEqual(b"ok", await connection.read_all())
        self.pool.release(connection)

    async def test_a_request_without_a_connection_has_not_run(self):
        failure = await self.send_failure(address="127.0.0.1:1")
        self.assertIs(SendFailure.NO_CONNECTION, failure)
        self.assertTrue(failure.not_run)
        self.assertEqual(0, self.start_count)

    async def test_a_request_that_may_not_start_is_not_sent(self):
        failure = await self.send_failure(may_start=lambda: False)
        self.assertIs(SendFailure.NOT_STARTED, failure)
        self.assertTrue(failure.not_run)
        self.assertEqual((0, 0), (self.start_count, self.request_count))

    async def test_a_request_with_a_broken_response_may_have_run(self):
        self.response_names = []
        failure = await self.send_failure()
        self.assertIs(SendFailure.BROKEN, failure)
        self.assertFalse(failure.not_run)
        self.assertEqual(1, self.start_count)

    async def test_late_responses_to_other_requests_are_skipped(self):
        self.response_names = [b"late", b"own"]
        connection, head = await self.send(max_foreign_responses=1)
        self.assertEqual(b"own", head.header(b"x-name"))
        self.pool.release(connection)

    async def test_too_many_responses_to_other_requests_are_a_failure(self):
        self.response_names = [b"late", b"later", b"own"]
        failure = await self.send_failure(max_foreign_responses=1)
        self.assertIs(SendFailure.FOREIGN_RESPONSE, failure)
        self.assertFalse(failure.not_run)

    async def test_a_new_connection_does_not_close_idle_ones(self):
        connection, _ = await self.send()
        await connection.read_all()
        self.pool.release(connection)
        new, _ = await self.send(max_idle_s=0.0)
        self.assertIsNot(connection, new)
        await new.read_all()
        self.pool.release(new)
        self.assertTrue(connection.is_usable(5.0))
        self.assertEqual(2, self.pool.connect_attempts)
        reused, _ = await self.send()
        self.assertIs(new, reused)
        self.pool.release(reused)
