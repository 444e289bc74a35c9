"""End-to-end tests of an entry in one process, with sockets on loopback."""

import asyncio
import json
import unittest

from tests.entry_fakes import KEY, FleetTestCase, numbered, until, words


class EndToEndTest(FleetTestCase, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = await self.fleet.add_engine()
        self.plain = await self.fleet.add_plain()
        self.url = await self.fleet.add_entry()

    async def test_a_streamed_generation_has_each_token_once_in_order(self):
        response, text = await self.stream(self.url, max_tokens=30)
        self.assertEqual(200, response.status)
        self.assertEqual(numbered(30), words(text))
        self.assertTrue(text.endswith("data: [DONE]\n\n"))

    async def test_requests_and_tokens_are_counted(self):
        await self.stream(self.url, max_tokens=30)
        await self.stream(self.url, model="nil")
        application = self.fleet.entries[0].application
        await until(lambda: not application.running)
        text = application._context.metrics.text()
        self.assertIn("endivesill_entry_tokens_total 30\n", text)
        for outcome in ("answered", "refused"):
            line = f'endivesill_entry_requests_total{{outcome="{outcome}"}} 1\n'
            self.assertIn(line, text)

    async def test_a_buffered_response_joins_the_tokens(self):
        messages = [{"role": "user", "content": "plan"}]
        body = {"model": "llm", "messages": messages, "max_tokens": 3}
        _, document = await self.post(
            f"{self.url}/v1/chat/completions", json.dumps(body)
        )
        self.assertEqual("w0 w1 w2 ", document["choices"][0]["message"]["content"])
        self.assertEqual("length", document["choices"][0]["finish_reason"])

    async def test_a_plain_call_arrives_unchanged(self):
        response, _ = await self.post(f"{self.url}/app/a%2Fb?x=1&y=%20", b"raw")
        self.assertEqual(200, response.status)
        self.assertEqual("x=1&y=%20", self.plain.ran[0]["query"])
        self.assertEqual("raw", self.plain.ran[0]["body"])

    async def test_a_graceful_stop_waits_for_all_streams(self):
        stream = asyncio.ensure_future(self.stream(self.url, max_tokens=200))
        await until(lambda: self.engine.starts)
        await self.fleet.kernels[0].stop()
        _, text = await stream
        self.assertEqual(numbered(200), words(text))

    async def test_a_draining_entry_closes_connections_after_their_responses(self):
        seen = []
        for self.fleet.draining in (False, True):
            response, _ = await self.post(f"{self.url}/app/x")
            seen.append(response.headers.get("Connection"))
        self.assertEqual([None, "close"], seen)

    async def test_a_drain_past_the_balancer_lag_refuses_as_not_run(self):
        self.fleet.accepting = False
        response, document = await self.post(f"{self.url}/app/x")
        self.assertEqual(503, response.status)
        found = (document["title"], document["run"])
        self.assertEqual(("draining", "not-run"), found)
        self.assertEqual("1", response.headers["Retry-After"])
        self.assertEqual([], self.plain.ran)

    async def test_readiness_follows_the_lease_and_the_drain(self):
        seen = []
        for lease, draining in ((True, False), (False, False), (True, True)):
            self.fleet.source.lease, self.fleet.draining = lease, draining
            async with self.session.get(f"{self.url}/health/ready") as response:
                seen.append(response.status)
        async with self.session.get(f"{self.url}/health/live") as response:
            self.assertEqual(200, response.status)
        self.assertEqual([200, 503, 503], seen)

    async def test_without_a_lease_no_new_work_starts(self):
        self.fleet.source.lease = False
        response, document = await self.post(
            f"{self.url}/v1/completions", json.dumps({"model": "llm", "prompt": "x"})
        )
        self.assertEqual(
            (503, "no-lease", "not-run"),
            (response.status, document["title"], document["run"]),
        )
        self.assertEqual("1", response.headers["Retry-After"])
        self.assertEqual({}, self.engine.starts)


class RefusalTest(FleetTestCase, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = await self.fleet.add_engine()
        self.plain = await self.fleet.add_plain()
        self.url = await self.fleet.add_entry()

    async def asyncTearDown(self):
        self.assertEqual({}, self.engine.starts)
        self.assertEqual([], self.plain.ran)
        await super().asyncTearDown()

    async def check(self, path, body, status, field, headers=KEY):
        async with self.session.post(
            f"{self.url}{path}", data=body, headers=headers
        ) as response:
            document = await response.json(content_type=None)
            self.assertEqual(
                (status, field, "not-run", "application/problem+json"),
                (
                    response.status,
                    document.get("field"),
                    document["run"],
                    response.headers["Content-Type"],
                ),
                body,
            )

    async def test_an_invalid_request_names_its_field(self):
        cases = [
            (b"{", 400, "body"),
            (b"[1]", 400, "body"),
            (b'{"model": NaN}', 400, "body"),
            (b'{"prompt": "x"}', 400, "model"),
            (b'{"model": 7, "prompt": "x"}', 400, "model"),
            (b'{"model": "nil", "prompt": "x"}', 404, "model"),
            (b'{"model": "app", "prompt": "x"}', 404, "model"),
            (b'{"model": "llm"}', 400, "prompt"),
            (b'{"model": "llm", "prompt": 1}', 400, "prompt"),
            (b'{"model": "llm", "prompt": "x", "stream": 1}', 400, "stream"),
            (b'{"model": "llm", "prompt": "x", "max_tokens": -1}', 400, "max_tokens"),
            (b'{"model": "llm", "prompt": "x", "max_tokens": true}', 400, "max_tokens"),
            (b'{"model": "llm", "prompt": "x", "n": 2}', 400, "n"),
        ]
        for body, status, field in cases:
            await self.check("/v1/completions", body, status, field)
        body = b'{"model": "llm", "messages": [{"content": 1}]}'
        await self.check("/v1/chat/completions", body, 400, "messages[0]")

    async def test_a_missing_or_unknown_key_is_refused(self):
        for headers in ({}, {"Authorization": "Bearer x"}, {"Authorization": "Basic"}):
            await self.check("/v1/completions", b"{}", 401, "authorization", headers)

    async def test_an_unknown_path_is_refused(self):
        await self.check("/nowhere", b"", 404, "path")

    async def test_a_body_over_the_limit_is_refused(self):
        self.fleet.configure(limits__default={"body_bytes": 1024})
        await self.check("/app/x", b"x" * 2000, 413, "body")

        async def chunks():
            for _ in range(30):
                yield b"x" * 100

        await self.check("/app/x", chunks(), 413, "body")

    async def test_headers_over_the_limit_are_refused(self):
        self.fleet.configure(limits__default={"header_bytes": 1024})
        headers = {**KEY, "X-Long": "x" * 2000}
        await self.check("/app/x", b"", 431, None, headers)

    async def test_an_endless_header_block_is_refused(self):
        host, port = self.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /app/x HTTP/1.1\r\n" + b"X-A: " + b"x" * 70_000)
        answer = await reader.read()
        writer.close()
        self.assertTrue(answer.startswith(b"HTTP/1.1 431"))

    async def test_a_slow_sender_is_refused(self):
        self.fleet.configure(limits__default={"slow_sender_s": 0.2})

        async def chunks():
            yield b"x"
            await asyncio.sleep(1.0)
            yield b"x"

        await self.check("/app/x", chunks(), 408, "body")


class ConcurrencyLimitTest(FleetTestCase, unittest.IsolatedAsyncioTestCase):
    async def test_an_organisation_over_its_limit_gets_a_retry_after(self):
        await self.fleet.add_engine()
        plain = await self.fleet.add_plain(delay_s=0.2)
        url = await self.fleet.add_entry()
        self.fleet.configure(organisation__o={"maximum_requests": 2})
        answers = await asyncio.gather(
            *(self.post(f"{url}/app/x") for _ in range(3)),
        )
        statuses = sorted(response.status for response, _ in answers)
        self.assertEqual([200, 200, 429], statuses)
        refused = next(a for a in answers if a[0].status == 429)
        self.assertEqual("1", refused[0].headers["Retry-After"])
        self.assertEqual("not-run", refused[1]["run"])
        self.assertEqual(2, len(plain.ran))
        response, _ = await self.post(f"{url}/app/x")
        self.assertEqual(200, response.status)
