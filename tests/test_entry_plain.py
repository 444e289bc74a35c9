"""Tests of plain calls: repeatable ones, and others that run at most once."""

import asyncio
import unittest
from unittest import mock

import aiohttp

from endivesill import errors
from endivesill.entry.exchange import PlainExchange
from tests.entry_fakes import KEY, FleetTestCase, ScriptedTarget, until


async def close_without_response(target, reader, writer):
    await target.read_request(reader)


async def respond(target, reader, writer):
    await target.read_request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    await writer.drain()


async def truncated_response(target, reader, writer):
    await target.read_request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf")
    await writer.drain()


async def keep_alive_then_close(target, reader, writer):
    """Respond to the first request of a connection, and close on the second."""
    await respond(target, reader, writer)
    await target.read_request(reader)


class PlainTestCase(FleetTestCase, unittest.IsolatedAsyncioTestCase):
    async def add_scripted(self, *scripts, name="s"):
        target = ScriptedTarget(*scripts)
        self.fleet.add_target(name, "app", await target.start())
        self.addAsyncCleanup(target.stop)
        return target


class RepeatableCallTest(PlainTestCase):
    async def test_a_broken_call_is_sent_again_to_another_target(self):
        broken = await self.add_scripted(close_without_response, name="a")
        plain = await self.fleet.add_plain("b")
        url = await self.fleet.add_entry()
        response, _ = await self.post(f"{url}/app/notes")
        self.assertEqual(200, response.status)
        self.assertEqual((1, 1), (len(broken.ran), len(plain.ran)))

    async def test_retries_end_with_the_budget(self):
        for name in "abcd":
            await self.add_scripted(close_without_response, name=name)
        url = await self.fleet.add_entry()
        response, document = await self.post(f"{url}/app/notes")
        self.assertEqual((502, "unknown"), (response.status, document["run"]))

    async def test_a_truncated_response_is_truncated_for_the_caller_too(self):
        target = await self.add_scripted(truncated_response)
        url = await self.fleet.add_entry()
        with self.assertRaises(Exception):  # noqa: B017
            await self.post(f"{url}/app/notes")
        self.assertEqual(1, len(target.ran))

    async def test_a_large_response_is_streamed(self):
        async def large(target, reader, writer):
            await target.read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n")
            for _ in range(30):
                writer.write(b"x" * 100_000)
                await writer.drain()

        await self.add_scripted(large)
        url = await self.fleet.add_entry()
        response, text = await self.post(f"{url}/app/notes")
        self.assertEqual((200, 3_000_000), (response.status, len(text)))

    async def test_an_endless_response_ends_when_its_caller_disconnects(self):
        ended = asyncio.Event()

        async def endless(target, reader, writer):
            await target.read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            try:
                while True:
                    writer.write(b"1\r\nx\r\n")
                    await writer.drain()
                    await asyncio.sleep(0.005)
            finally:
                ended.set()

        await self.add_scripted(endless)
        url = await self.fleet.add_entry()
        async with self.session.get(f"{url}/app/watch", headers=KEY) as response:
            await response.content.readany()
            response.close()
        async with asyncio.timeout(5):
            await ended.wait()

    async def test_the_callers_key_and_hop_by_hop_headers_are_not_forwarded(self):
        seen = {}

        async def look(target, reader, writer):
            _, headers, _ = await target.read_request(reader)
            seen.update(headers)
            writer.write(b"HTTP/1.1 204 No\r\n\r\n")

        await self.add_scripted(look)
        url = await self.fleet.add_entry()
        await self.post(f"{url}/app/n", X_Mine="1", X_Hop="2", Connection="X-Hop")
        self.assertEqual("1", seen["x-mine"])
        self.assertNotIn("authorization", seen)
        self.assertNotIn("x-hop", seen)


class NonRepeatableCallTest(PlainTestCase):
    async def book(self, url, data=b"booking", path="/app/bookings", **headers):
        return await self.post(f"{url}{path}", data, **headers)

    async def test_a_broken_call_is_never_sent_again(self):
        broken = await self.add_scripted(close_without_response, respond, name="a")
        plain = await self.fleet.add_plain("b")
        url = await self.fleet.add_entry()
        for path in ("/app/bookings", "/app/%62ookings/1", "/app/x/../bookings"):
            response, document = await self.book(url, path=path)
            if response.status == 502:
                self.assertEqual("unknown", document["run"])
        self.assertEqual(3, len(broken.ran) + len(plain.ran))
        self.assertEqual(0, sum(call["body"] != "booking" for call in plain.ran))

    async def test_a_path_is_non_repeatable_in_every_encoding(self):
        paths = ("/bookings", "/%62ookings/1", "//bookings", "/bookings/./1")
        for number, path in enumerate(paths):
            broken = await self.add_scripted(close_without_response, name=f"t{number}")
            self.fleet.configure(service__app={"routing_policy": "least-outstanding"})
            url = await self.fleet.add_entry()
            response, _ = await self.book(url, path=f"/app{path}")
            self.assertEqual((502, 1), (response.status, len(broken.ran)), path)
            self.fleet.configure(**{f"target__t{number}": {"leaving": True}})

    async def test_an_unreachable_target_is_skipped(self):
        closed = ScriptedTarget(respond)
        address = await closed.start()
        await closed.stop()
        self.fleet.add_target("a", "app", address)
        plain = await self.fleet.add_plain("b")
        url = await self.fleet.add_entry()
        response, _ = await self.book(url)
        self.assertEqual((200, 1), (response.status, len(plain.ran)))

    async def test_a_targets_report_of_not_run_is_forwarded(self):
        plain = await self.fleet.add_plain()
        plain.refusing = True
        url = await self.fleet.add_entry()
        response, document = await self.book(url)
        self.assertEqual((503, "not-run"), (response.status, document["run"]))

    async def test_a_pooled_connection_is_never_used(self):
        target = await self.add_scripted(keep_alive_then_close)
        url = await self.fleet.add_entry()
        await self.post(f"{url}/app/notes")
        response, _ = await self.book(url)
        self.assertEqual(200, response.status)
        self.assertEqual((2, 2), (target.connections, len(target.ran)))

    async def test_a_booking_sent_twice_runs_once(self):
        plain = await self.fleet.add_plain(delay_s=0.1)
        urls = [await self.fleet.add_entry() for _ in range(2)]
        responses = await asyncio.gather(
            *(self.book(url, Idempotency_Key="k") for url in urls)
        )
        self.assertEqual(1, len(plain.ran))
        self.assertEqual(responses[0][1], responses[1][1])
        replays = [a[0].headers.get("Idempotency-Replayed") for a in responses]
        self.assertCountEqual([None, "true"], replays)

    async def test_a_key_used_for_another_request_is_refused(self):
        plain = await self.fleet.add_plain()
        url = await self.fleet.add_entry()
        await self.book(url, Idempotency_Key="k")
        response, document = await self.book(url, b"other", Idempotency_Key="k")
        self.assertEqual((422, "idempotency-key"), (response.status, document["field"]))
        self.assertEqual(1, len(plain.ran))

    async def test_a_broken_call_leaves_its_key_unknown(self):
        target = await self.add_scripted(close_without_response)
        url = await self.fleet.add_entry()
        for status in (502, 409, 409):
            response, document = await self.book(url, Idempotency_Key="k")
            self.assertEqual((status, "unknown"), (response.status, document["run"]))
        self.assertEqual(1, len(target.ran))

    async def test_a_malformed_response_leaves_its_key_unknown(self):
        async def bad_header(target, reader, writer):
            await target.read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nX-A: \x01\r\nContent-Length: 0\r\n\r\n")

        target = await self.add_scripted(bad_header)
        url = await self.fleet.add_entry()
        for status in (502, 409):
            response, document = await self.book(url, Idempotency_Key="k")
            self.assertEqual((status, "unknown"), (response.status, document["run"]))
        self.assertEqual(1, len(target.ran))

    async def test_a_response_that_cannot_be_forwarded_leaves_its_key_unknown(self):
        async def good(target, reader, writer):
            await target.read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        target = await self.add_scripted(good)
        url = await self.fleet.add_entry()

        async def start_and_fail(exchange, target_answer):
            await exchange._response.start(200, [])
            raise RuntimeError("injected by the test")

        broken = mock.patch.object(PlainExchange, "_forward_response", start_and_fail)
        with broken, self.assertRaises(aiohttp.ClientError):
            await self.book(url, Idempotency_Key="k")
        await until(lambda: not self.fleet.entries[0].application.running)
        response, document = await self.book(url, Idempotency_Key="k")
        self.assertEqual((409, "outcome-unknown"), (response.status, document["title"]))
        self.assertEqual(1, len(target.ran))

    async def test_a_call_that_did_not_run_releases_its_key(self):
        plain = await self.fleet.add_plain()
        plain.refusing = True
        url = await self.fleet.add_entry()
        await self.book(url, Idempotency_Key="k")
        plain.refusing = False
        response, _ = await self.book(url, Idempotency_Key="k")
        self.assertEqual((200, 1), (response.status, len(plain.ran)))

    async def test_without_control_state_nothing_is_sent(self):
        plain = await self.fleet.add_plain()
        url = await self.fleet.add_entry()
        self.fleet.control.failure = errors.UnavailableError("no leader")
        response, document = await self.book(url, Idempotency_Key="k")
        self.assertEqual((503, "not-run"), (response.status, document["run"]))
        self.assertEqual([], plain.ran)
        self.fleet.control.failure = None

    async def test_a_response_is_sent_even_if_its_outcome_cannot_be_recorded(self):
        plain = await self.fleet.add_plain(delay_s=0.1)
        url = await self.fleet.add_entry()
        booking = asyncio.ensure_future(self.book(url, Idempotency_Key="k"))
        await until(lambda: plain.ran)
        self.fleet.control.failure = errors.UnavailableError("no leader")
        response, _ = await booking
        self.assertEqual(200, response.status)
        self.fleet.control.failure = None
        response, _ = await self.book(url, Idempotency_Key="k")
        self.assertEqual("true", response.headers["Idempotency-Replayed"])

    async def test_a_call_whose_response_is_too_large_to_store_is_not_run_again(self):
        async def large(target, reader, writer):
            await target.read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n")
            writer.write(b"x" * 50_000)
            await writer.drain()

        target = await self.add_scripted(large)
        url = await self.fleet.add_entry()
        response, text = await self.book(url, Idempotency_Key="k")
        self.assertEqual((200, 50_000), (response.status, len(text)))
        response, document = await self.book(url, Idempotency_Key="k")
        self.assertEqual((409, "answer-not-kept"), (response.status, document["title"]))
        self.assertEqual(1, len(target.ran))
