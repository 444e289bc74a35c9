"""Tests of the target adapters and the stand-in engine and service."""

import asyncio
import pathlib
import ssl
import unittest

import aiohttp

from bench.standin_engine import EngineOptions, StandinEngine
from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.server import HttpServer
from endivesill.targets import (
    EngineAdapter,
    GenerationRequest,
    Order,
    PlainAdapter,
    PlainCall,
    TargetClient,
    TargetRequest,
)
from endivesill.targets.client import split_target_url
from endivesill.timer import ManualTimer, SystemTimer
from tests.entry_fakes import ScriptedTarget, until

DATA = pathlib.Path(__file__).parent / "data"


def target_at(address):
    return Target("t", service="s", url=f"http://{address}", data_centre="a")


class SessionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = TargetClient(SystemTimer())
        self.adapter = PlainAdapter(self.client, SystemTimer())

    async def asyncTearDown(self):
        await self.client.close()

    async def test_an_idempotent_method_is_not_sent_twice_by_the_client(self):
        async def once_then_close(target, reader, writer):
            await target.read_request(reader)
            writer.write(b"HTTP/1.1 204 No\r\n\r\n")
            await target.read_request(reader)

        target = ScriptedTarget(once_then_close)
        target_config = target_at(await target.start())
        call = PlainCall("PUT", "/x", (), b"body", "a")
        answer = await self.adapter.call(target_config, call, 2.0)
        answer.close()
        with self.assertRaises(errors.TargetError) as caught:
            await self.adapter.call(target_config, call, 2.0)
        self.assertEqual(errors.RunState.UNKNOWN, caught.exception.run)
        self.assertEqual((1, 2), (target.connections, len(target.ran)))
        await target.stop()

    async def test_a_refused_connection_is_not_run(self):
        target = ScriptedTarget()
        target_config = target_at(await target.start())
        await target.stop()
        with self.assertRaises(errors.TargetUnreachableError) as caught:
            await self.adapter.call(
                target_config, PlainCall("GET", "/", (), b"", "a"), 2.0
            )
        self.assertEqual(errors.RunState.NOT_RUN, caught.exception.run)

    async def test_the_outcome_of_a_late_answer_is_unknown(self):
        async def late(target, reader, writer):
            await target.read_request(reader)
            await asyncio.sleep(1)

        target = ScriptedTarget(late)
        target_config = target_at(await target.start())
        with self.assertRaises(errors.TargetError) as caught:
            await self.adapter.call(
                target_config, PlainCall("GET", "/", (), b"", "a"), 0.1
            )
        self.assertEqual(errors.RunState.UNKNOWN, caught.exception.run)
        await target.stop()


class EngineProtocolTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.engine = StandinEngine(
            EngineOptions(token_s=1.0, report_lag_s=5.0, cold_slots=1, warm_after=1),
            timer=self.timer,
        )
        self.server = HttpServer("127.0.0.1:0", self.engine.application())
        await self.server.start()
        self.client = TargetClient(SystemTimer())
        self.adapter = EngineAdapter(self.client, SystemTimer())
        self.target = target_at(self.server.address)

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.kill()

    async def generate(self, generation_id="g", prompt="", attempt="1"):
        body = b'{"prompt": "%s", "max_tokens": 3}' % prompt.encode()
        request = GenerationRequest("/v1/completions", body, generation_id, attempt, 0)
        return await self.adapter.generate(self.target, request)

    async def test_load_reports_lag(self):
        await self.adapter.load(self.target)
        stream = await self.generate()
        await until(lambda: self.engine.running)
        self.assertEqual(0, (await self.adapter.load(self.target)).running)
        await self.timer.advance(0.5)
        await self.adapter.load(self.target)
        self.timer.jump(6.0)
        self.assertEqual(1, (await self.adapter.load(self.target)).running)
        stream.close()

    async def test_cache_events_have_sequence_numbers(self):
        stream = await self.generate(prompt="x" * 1100)
        found = await self.adapter.cache_events(self.target, 0)
        self.assertEqual(
            [(1, 128), (2, 256)], [(e.sequence, e.tokens) for e in found.events]
        )
        later = await self.adapter.cache_events(self.target, 1)
        self.assertEqual([2], [event.sequence for event in later.events])
        self.assertEqual(self.engine.boot_id, later.boot_id)
        stream.close()

    async def test_a_cold_engine_is_slow_under_load_until_it_has_warmed_up(self):
        streams = [await self.generate(str(number)) for number in range(3)]
        await until(lambda: self.engine.running == 3)
        self.assertEqual(9.0, self.engine.slowdown())
        for _ in range(40):
            await self.timer.advance(1.0)
        await until(lambda: not self.engine.running)
        self.assertFalse(self.engine.is_cold)
        for stream in streams:
            stream.close()

    async def test_an_old_fencing_token_is_refused_unless_fencing_is_ignored(self):
        await self.adapter.order(self.target, Order("1", 7, "load-model", "m", "2"))
        old = Order("2", 6, "change-role", "decode")
        with self.assertRaises(errors.TargetRefusedError):
            await self.adapter.order(self.target, old)
        self.engine.options.checks_fencing = False
        report = await self.adapter.order(self.target, old)
        self.assertEqual(("m@2", "decode"), (report.model, report.role))

    async def test_a_resent_order_runs_once(self):
        order = Order("1", 1, "load-adapter", "a", "1")
        for _ in range(2):
            report = await self.adapter.order(self.target, order)
        self.assertEqual(("a@1",), report.adapters)

    async def test_a_resume_of_an_older_attempt_is_refused(self):
        first = await self.generate()
        second = await self.adapter.resume(self.target, "g", 0, "2")
        with self.assertRaises(errors.SupersededError):
            await self.adapter.resume(self.target, "g", 0, "3", ("1",))
        third = await self.adapter.resume(self.target, "g", 0, "4", ("2", "3"))
        for stream in (first, second, third):
            stream.close()

    async def test_a_cancel_of_an_older_attempt_does_nothing(self):
        first = await self.generate()
        second = await self.adapter.resume(self.target, "g", 0, "2")
        await self.adapter.cancel(self.target, "g", ("1",))
        self.assertEqual([], self.engine.cancelled)
        await self.adapter.cancel(self.target, "g", ("2",))
        self.assertEqual(["g"], self.engine.cancelled)
        first.close()
        second.close()

    async def test_a_generation_without_a_reader_ends_in_time(self):
        self.engine.options.orphan_s = 2.0
        self.engine.options.token_s = 1.5
        stream = await self.generate()
        stream.close()
        generation = self.engine.generations["g"]
        await until(lambda: not generation.readers)
        await self.timer.advance(6.0)
        self.assertTrue(generation.cancelled)

    async def test_a_leaving_notice_is_in_the_load_report(self):
        async with aiohttp.ClientSession() as session:
            await session.post(f"{self.target.url}/standin/leave?in_s=9")
        report = await self.adapter.load(self.target)
        self.assertEqual(9.0, report.leaving_in_s)


class TargetClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = TargetClient(SystemTimer())
        self.addAsyncCleanup(self.client.close)

    async def scripted(self, answer):
        async def script(target, reader, writer):
            await target.read_request(reader)
            writer.write(answer)

        target = ScriptedTarget(script)
        target_config = target_at(await target.start())
        self.addAsyncCleanup(target.stop)
        return target_config

    async def test_a_json_answer_is_parsed(self):
        target_config = await self.scripted(
            b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a": 1}'
        )
        found = await self.client.json(target_config, TargetRequest("GET", "/x"), 2.0)
        self.assertEqual((200, {"a": 1}), found)

    async def test_an_answer_without_json_is_an_error(self):
        target_config = await self.scripted(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"
        )
        with self.assertRaises(errors.TargetError):
            await self.client.json(target_config, TargetRequest("GET", "/x"), 2.0)

    async def test_an_answer_that_is_nested_too_deeply_is_an_error(self):
        target_config = await self.scripted(
            b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"[" * 100_000
        )
        with self.assertRaises(errors.TargetError):
            await self.client.json(target_config, TargetRequest("GET", "/x"), 2.0)

    async def test_the_default_port_follows_the_scheme(self):
        self.assertEqual(("10.0.0.1:80", ""), split_target_url("http://10.0.0.1"))
        self.assertEqual(("https://h:443", "/p"), split_target_url("https://h/p"))
        self.assertEqual(("[::1]:8080", ""), split_target_url("http://[::1]:8080"))

    async def test_https_targets_use_tls(self):
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(DATA / "tls-certificate.pem", DATA / "tls-key.pem")

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        server = await asyncio.start_server(answer, "127.0.0.1", 0, ssl=context)
        port = server.sockets[0].getsockname()[1]
        target_config = Target(
            "t", service="s", url=f"https://127.0.0.1:{port}", data_centre="a"
        )
        # The certificate of the tests is not trusted by default.
        with self.assertRaises(errors.TargetUnreachableError):
            await self.client.open(target_config, TargetRequest("GET", "/"))
        self.client._pool._tls = ssl.create_default_context(
            cafile=str(DATA / "tls-certificate.pem")
        )
        self.client._pool._tls.check_hostname = False
        answer = await self.client.open(target_config, TargetRequest("GET", "/"))
        self.assertEqual(b"ok", await answer.read_all())
        answer.close()
        server.close()
        await server.wait_closed()

    async def test_closing_an_answer_wakes_its_reader(self):
        target_config = await self.scripted(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
        )
        answer = await self.client.open(target_config, TargetRequest("GET", "/x"))
        reading = asyncio.ensure_future(answer.read())
        await asyncio.sleep(0)
        answer.close()
        with self.assertRaises(errors.TargetError):
            await reading
        with self.assertRaises(errors.TargetError):
            await answer.read()
