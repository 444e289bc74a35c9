"""Tests of streams: each token once, in order and from one generation."""

import asyncio
import json
import unittest

import aiohttp

from endivesill import events
from endivesill.entry.identity import GenerationIds
from endivesill.entry.settings import EntrySettings
from tests.entry_fakes import (
    FAST_SETTINGS,
    KEY,
    OTHER_KEY,
    PEER_KEYS,
    FleetTestCase,
    ScriptedEngine,
    answering,
    breaking,
    dying,
    last_id,
    numbered,
    serving,
    silent,
    until,
    words,
)


class StreamTestCase(FleetTestCase, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.seen = []
        self.addCleanup(events.listen(lambda kind, fields: self.seen.append(kind.name)))

    async def add_scripted(self, *scripts, name="s"):
        engine = ScriptedEngine(*scripts)
        self.fleet.add_target(name, "llm", await engine.start())
        self.addAsyncCleanup(engine.stop)
        return engine

    def error_of(self, text):
        return json.loads(text.split("event: error\ndata: ")[1])


class BrokenStreamTest(StreamTestCase):
    async def test_a_broken_stream_is_resumed_at_the_same_engine(self):
        engine = await self.add_scripted(serving(0, 3, breaking), serving(3, 6))
        url = await self.fleet.add_entry()
        _, text = await self.stream(url)
        self.assertEqual(numbered(6), words(text))
        self.assertIn("/resume?from=3", engine.ran[1])

    async def test_a_stalled_stream_is_resumed_on_a_new_connection(self):
        engine = await self.add_scripted(serving(0, 3, silent), serving(3, 6))
        url = await self.fleet.add_entry()
        _, text = await self.stream(url)
        self.assertEqual(numbered(6), words(text))
        self.assertEqual(2, engine.connections)
        self.assertIn("stream-stalled", self.seen)

    async def test_tokens_that_an_engine_repeats_are_dropped(self):
        await self.add_scripted(serving(0, 4, breaking), serving(1, 6))
        url = await self.fleet.add_entry()
        _, text = await self.stream(url)
        self.assertEqual(numbered(6), words(text))

    async def test_a_gap_is_requested_again(self):
        await self.add_scripted(serving(0, 2, breaking), serving(3, 6), serving(2, 6))
        url = await self.fleet.add_entry()
        _, text = await self.stream(url)
        self.assertEqual(numbered(6), words(text))

    async def test_an_engine_that_fails_before_the_first_token_is_replaced(self):
        dead = await self.add_scripted(dying, name="a")
        engine = await self.fleet.add_engine("b")
        url = await self.fleet.add_entry()
        _, text = await self.stream(url, max_tokens=5)
        self.assertEqual(numbered(5), words(text))
        self.assertEqual((1, 1), (len(dead.starts), len(engine.starts)))

    async def test_an_engine_that_fails_after_a_token_gives_an_error_event(self):
        await self.add_scripted(serving(0, 2, breaking), answering(410), name="a")
        other = await self.fleet.add_engine("b")
        url = await self.fleet.add_entry()
        response, text = await self.stream(url)
        error = self.error_of(text)
        self.assertEqual(200, response.status)
        self.assertEqual(numbered(2), words(text))
        self.assertEqual((2, "unknown"), (error["next_index"], error["run"]))
        self.assertEqual(response.headers["X-Generation-Id"], error["generation"])
        self.assertEqual({}, other.starts)

    async def test_a_buffered_response_restarts_when_its_engine_fails(self):
        await self.add_scripted(serving(0, 2, breaking), answering(410), name="a")
        await self.fleet.add_engine("b")
        url = await self.fleet.add_entry()
        body = {"model": "llm", "prompt": "x", "max_tokens": 3}
        _, document = await self.post(f"{url}/v1/completions", json.dumps(body))
        self.assertEqual("w0 w1 w2 ", document["choices"][0]["text"])
        self.assertEqual(3, document["usage"]["completion_tokens"])

    async def test_a_response_to_another_attempt_is_dropped(self):
        async def crossed(engine, writer, line, headers):
            engine.begin(writer, headers, "another")
            engine.tokens(writer, headers["x-generation-id"], 0, 3)

        await self.add_scripted(crossed, name="a")
        await self.fleet.add_engine("b")
        url = await self.fleet.add_entry()
        _, text = await self.stream(url, max_tokens=4)
        self.assertEqual(numbered(4), words(text))
        self.assertIn("answer-dropped", self.seen)

    async def test_a_token_of_another_generation_is_never_forwarded(self):
        async def foreign(engine, writer, generation_id):
            engine.tokens(writer, "f" * 48, 2, 5)

        await self.add_scripted(serving(0, 2, foreign), serving(None, 4))
        url = await self.fleet.add_entry()
        _, text = await self.stream(url)
        self.assertNotIn("f" * 48, text)
        self.assertEqual(numbered(4), words(text))

    async def test_a_generation_that_may_have_run_is_not_reported_as_not_run(self):
        await self.add_scripted(dying)
        url = await self.fleet.add_entry()
        response, text = await self.stream(url)
        self.assertEqual("unknown", json.loads(text)["run"])
        self.assertEqual(503, response.status)

    async def test_a_late_first_token_is_refused_at_the_deadline(self):
        self.fleet.configure(service__llm={"deadline_s": 0.3})
        engine = await self.add_scripted(serving(0, 0, silent))
        url = await self.fleet.add_entry()
        response, text = await self.stream(url)
        document = json.loads(text)
        self.assertEqual(
            (504, "deadline", "unknown"),
            (response.status, document["title"], document["run"]),
        )
        await until(lambda: any("/cancel" in line for line in engine.ran))

    async def test_a_grant_that_expires_while_connecting_sends_no_byte(self):
        engine = await self.add_scripted(serving(0, 3))
        url = await self.fleet.add_entry()
        leases = iter([True])
        self.fleet.source.holds_lease = lambda: next(leases, False)
        response, text = await self.stream(url)
        document = json.loads(text)
        self.assertEqual((503, "not-run"), (response.status, document["run"]))
        self.assertEqual([], engine.ran)


class ReconnectTest(StreamTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = await self.fleet.add_engine("a")
        self.other = await self.fleet.add_engine("b")
        self.urls = [await self.fleet.add_entry() for _ in range(2)]

    async def read_and_disconnect(self, url, tokens=200):
        """Read a few events of a stream and disconnect; return the complete ones."""
        body = {"model": "llm", "prompt": "x", "stream": True, "max_tokens": tokens}
        async with self.session.post(
            f"{url}/v1/completions", json=body, headers=KEY
        ) as response:
            text = ""
            while text.count("\n\n") < 3:
                text += (await response.content.readany()).decode()
            response.close()
        return text[: text.rindex("\n\n") + 2]

    async def test_a_caller_resumes_through_another_entry(self):
        first = await self.read_and_disconnect(self.urls[0])
        _, rest = await self.stream(
            self.urls[1], headers={**KEY, "Last-Event-ID": last_id(first)}
        )
        self.assertEqual(numbered(200), words(first) + words(rest))
        await asyncio.sleep(2 * FAST_SETTINGS.resume_window_s)
        self.assertEqual([], self.engine.cancelled + self.other.cancelled)
        self.assertEqual(1, len(self.engine.starts) + len(self.other.starts))

    async def test_a_caller_resumes_through_the_same_entry(self):
        first = await self.read_and_disconnect(self.urls[0])
        _, rest = await self.stream(
            self.urls[0], headers={**KEY, "Last-Event-ID": last_id(first)}
        )
        self.assertEqual(numbered(200), words(first) + words(rest))
        self.assertIn("stream-reconnected", self.seen)

    async def test_an_early_reconnect_takes_the_stream_over(self):
        body = {"model": "llm", "prompt": "x", "stream": True, "max_tokens": 300}
        async with self.session.post(
            f"{self.urls[0]}/v1/completions", json=body, headers=KEY
        ) as response:
            text = ""
            while text.count("\n\n") < 3:
                text += (await response.content.readany()).decode()
            first = text[: text.rindex("\n\n") + 2]
            _, rest = await self.stream(
                self.urls[1], headers={**KEY, "Last-Event-ID": last_id(first)}
            )
            with self.assertRaises(aiohttp.ClientError):
                await response.content.read()
        self.assertEqual(numbered(300), words(first) + words(rest))
        self.assertNotIn("[DONE]", text)

    async def test_a_generation_is_cancelled_without_a_reconnect_in_the_window(self):
        await self.read_and_disconnect(self.urls[0], tokens=5000)
        table = self.fleet.entries[0].application.table
        await until(lambda: table.retained_count() == 1)
        self.assertEqual([], self.engine.cancelled)
        await until(lambda: self.engine.cancelled)
        self.assertEqual(0, table.retained_count())

    async def test_a_finished_generation_can_be_read_to_its_end(self):
        _, text = await self.stream(self.urls[0], max_tokens=10)
        third = [e for e in text.split("\n\n") if e][2]
        _, rest = await self.stream(
            self.urls[1], headers={**KEY, "Last-Event-ID": last_id(third)}
        )
        self.assertEqual(numbered(10, 3), words(rest))

    async def test_another_organisation_cannot_read_a_generation(self):
        first = await self.read_and_disconnect(self.urls[0])
        response, text = await self.stream(
            self.urls[1], headers={**OTHER_KEY, "Last-Event-ID": last_id(first)}
        )
        self.assertEqual(404, response.status)
        self.assertEqual("last-event-id", json.loads(text)["field"])

    async def test_an_invalid_event_id_is_refused(self):
        for value in ("x", "0:1", "f" * 48, "f" * 48 + ":x"):
            response, _ = await self.stream(
                self.urls[0], headers={**KEY, "Last-Event-ID": value}
            )
            self.assertEqual(400, response.status, value)
        gone = GenerationIds(PEER_KEYS).make("a", "o")
        response, text = await self.stream(
            self.urls[0], headers={**KEY, "Last-Event-ID": f"{gone}:0"}
        )
        self.assertEqual((410, "unknown"), (response.status, json.loads(text)["run"]))


class MoveTest(StreamTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = await self.fleet.add_engine("a")
        self.urls = [await self.fleet.add_entry() for _ in range(2)]

    async def test_a_leaving_engine_migrates_its_generation(self):
        stream = asyncio.ensure_future(self.stream(self.urls[0], max_tokens=300))
        await until(lambda: self.engine.generated_tokens > 10)
        other = await self.fleet.add_engine("b")
        self.fleet.entries[0].target_leaving("a")
        await until(lambda: other.generations)
        await self.fleet.servers["a"].kill()
        _, text = await stream
        self.assertEqual(numbered(300), words(text))
        self.assertEqual({}, other.starts)
        self.assertIn("generation-moved", self.seen)
        third = [e for e in text.split("\n\n") if e][2]
        _, rest = await self.stream(
            self.urls[1], headers={**KEY, "Last-Event-ID": last_id(third)}
        )
        self.assertEqual(numbered(300, 3), words(rest))

    async def test_a_redirect_loop_between_engines_ends(self):
        first, second = ScriptedEngine(), ScriptedEngine()
        urls = [f"http://{await engine.start()}" for engine in (first, second)]
        to_first, to_second = (answering(410, f"X-Moved-To: {url}") for url in urls)
        first.scripts = [serving(0, 2, breaking), to_second]
        second.scripts = [to_first]
        for name, engine, url in zip("xy", (first, second), urls, strict=True):
            self.fleet.add_target(name, "llm", url.removeprefix("http://"))
            self.addAsyncCleanup(engine.stop)
        self.fleet.configure(target__a={"leaving": True}, target__y={"leaving": True})
        _, text = await self.stream(self.urls[0])
        self.assertEqual(2, self.error_of(text)["next_index"])
        self.assertLess(len(first.starts) + len(second.starts), 12)

    async def test_an_engine_without_migration_keeps_its_generation(self):
        self.engine.options.offers_moves = False
        stream = asyncio.ensure_future(self.stream(self.urls[0], max_tokens=100))
        await until(lambda: self.engine.generated_tokens > 10)
        await self.fleet.add_engine("b")
        await self.fleet.entries[0].application.move_generations("a")
        _, text = await stream
        self.assertEqual(numbered(100), words(text))
        self.assertIn("generation-stayed", self.seen)


class SlowReaderTest(StreamTestCase):
    async def test_a_stalled_reader_is_disconnected_and_its_generation_cancelled(self):
        async def flood(engine, writer, generation_id):
            for index in range(2000):
                event = f"id: {generation_id}:{index}\ndata: {'x' * 65_536}\n\n"
                engine.chunk(writer, event.encode())
                await writer.drain()
                flooded.append(index)

        flooded = []
        self.fleet.configure(limits__default={"slow_reader_s": 0.5})
        engine = await self.add_scripted(serving(0, 0, flood))
        url = await self.fleet.add_entry(EntrySettings(stall_s=0.2))
        host, port = url.removeprefix("http://").split(":")
        _, writer = await asyncio.open_connection(host, int(port), limit=1024)
        body = b'{"model":"llm","prompt":"x","stream":true}'
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: {KEY['Authorization']}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await until(lambda: any("/cancel" in line for line in engine.ran))
        writer.transport.abort()
        self.assertLess(len(flooded), 1000)
        self.assertIn("reader-stalled", self.seen)
        self.assertNotIn("stream-stalled", self.seen)
        self.assertEqual(0, self.fleet.entries[0].application.table.retained_count())
