"""Tests of one sending of a request: what each failure says of it."""

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
        self.listener = HttpListener(self.timer, "127.0.0.1:0", self.answer)
        await self.listener.start()
        self.names = [b"own"]
        self.asked = 0
        self.started = 0

    async def asyncTearDown(self):
        self.pool.close()
        await self.listener.stop()

    async def answer(self, exchange):
        """Give all answers at once; without any, end the connection."""
        self.asked += 1
        if not self.names:
            exchange.abort()
            return
        for name in self.names:
            exchange.respond(200, [(b"X-Name", name)], b"ok")
            exchange.finished = name == self.names[-1]

    def note_start(self):
        self.started += 1

    async def send(self, **changes):
        return await send_request(
            self.pool,
            changes.pop("address", self.listener.address),
            lambda: REQUEST,
            on_started=self.note_start,
            is_own_response=lambda head: head.header(b"x-name") == b"own",
            **changes,
        )

    async def failure(self, **changes):
        with self.assertRaises(SendError) as caught:
            await self.send(**changes)
        return caught.exception.failure

    async def test_the_head_of_the_answer(self):
        connection, head = await self.send()
        self.assertEqual((200, 1), (head.status, self.started))
        self.assertEqual(b"ok", await connection.read_all())
        self.pool.release(connection)

    async def test_without_a_connection_it_has_not_run(self):
        failure = await self.failure(address="127.0.0.1:1")
        self.assertIs(SendFailure.NO_CONNECTION, failure)
        self.assertTrue(failure.not_run)
        self.assertEqual(0, self.started)

    async def test_what_may_not_start_any_more_is_not_sent(self):
        failure = await self.failure(may_start=lambda: False)
        self.assertIs(SendFailure.NOT_STARTED, failure)
        self.assertTrue(failure.not_run)
        self.assertEqual((0, 0), (self.started, self.asked))

    async def test_a_broken_answer_may_have_run(self):
        self.names = []
        failure = await self.failure()
        self.assertIs(SendFailure.BROKEN, failure)
        self.assertFalse(failure.not_run)
        self.assertEqual(1, self.started)

    async def test_late_answers_to_others_are_skipped(self):
        self.names = [b"late", b"own"]
        connection, head = await self.send(max_foreign_responses=1)
        self.assertEqual(b"own", head.header(b"x-name"))
        self.pool.release(connection)

    async def test_more_answers_to_others_than_that_are_a_failure(self):
        self.names = [b"late", b"later", b"own"]
        failure = await self.failure(max_foreign_responses=1)
        self.assertIs(SendFailure.FOREIGN_RESPONSE, failure)
        self.assertFalse(failure.not_run)

    async def test_a_new_connection_leaves_the_idle_ones(self):
        connection, _ = await self.send()
        await connection.read_all()
        self.pool.release(connection)
        fresh, _ = await self.send(max_idle_s=0.0)
        self.assertIsNot(connection, fresh)
        await fresh.read_all()
        self.pool.release(fresh)
        self.assertTrue(connection.is_usable(5.0))
        self.assertEqual(2, self.pool.connect_attempts)
        again, _ = await self.send()
        self.assertIs(fresh, again)
        self.pool.release(again)
