"""Tests of the log lines about a request."""

import asyncio

from tests.forwarding_case import STREAM_HEADERS, ForwardingTestCase, request


class RequestLogTest(ForwardingTestCase):
    def kinds(self):
        """Return the event names of the request's lines, in order."""
        return [name for name, fields in self.lines if fields.get("request_id") == "a1"]

    def fields(self, kind):
        (found,) = [f for name, f in self.lines if name == kind]
        return found

    async def test_lines_of_an_answered_request(self):
        await self.add_engines("app", "s1")
        await self.send_request("/safe/x")
        self.assertEqual(["request-placed", "request-ended"], self.kinds())
        placed = self.fields("request-placed")
        self.assertEqual(
            ("safe", 1, "s1", 0),
            (placed["route"], placed["version"], placed["target"], placed["sends"]),
        )
        self.assertEqual(0.0, placed["age_s"])
        ended = self.fields("request-ended")
        self.assertGreaterEqual(ended["connection_age_s"], 0.0)
        self.assertEqual(
            ("answered", 200, 1), (ended["outcome"], ended["status"], ended["sends"])
        )

    async def test_lines_of_a_retried_request(self):
        engines = await self.add_engines("app", "s1", "s2")
        for engine in engines:
            engine.statuses = [500]
        await self.send_request("/safe/x")
        self.assertEqual(
            ["request-placed", "attempt-failed", "request-placed", "request-ended"],
            self.kinds(),
        )

    async def test_lines_of_a_refused_request(self):
        await self.send_request("/safe/x")
        self.assertEqual(["request-refused"], self.kinds())
        refused = self.fields("request-refused")
        self.assertEqual(503, refused["status"])
        self.assertIn("waited_s", refused)

    async def test_lines_of_a_resumed_stream(self):
        engines = await self.add_engines("llm", "e1", "e2")
        for engine in engines:
            engine.copies = {"a1"}
            engine.break_after = 3
        response_task = asyncio.ensure_future(
            self.send_request("/stream/x", *STREAM_HEADERS)
        )
        await self.wait_until(lambda: any(engine.requests for engine in engines))
        for engine in engines:
            if not engine.requests:
                engine.break_after = None
        await response_task
        self.assertEqual(
            ["request-placed", "attempt-failed", "stream-resumed", "request-ended"],
            self.kinds(),
        )
        self.assertEqual(1, self.fields("request-ended")["resumes"])

    async def test_lines_of_a_run_that_breaks_off_at_its_start(self):
        """The parts of the prompt tell which runs that engines end have in common."""
        (engine,) = await self.add_engines("llm", "e1")
        engine.break_after = 0
        connection = await self.connect()
        connection.send(request("/stream/x", *STREAM_HEADERS))
        await connection.head()
        await self.wait_until(lambda: "request-ended" in self.kinds())
        failed = self.fields("attempt-failed")
        self.assertEqual((0, ("5c",)), (failed["run_events"], failed["prompt_parts"]))
        self.assertLess(failed["head_age_s"], 1.0)

    async def test_requests_that_are_alike_have_the_same_digest(self):
        await self.add_engines("app", "s1")
        for path, body in (
            ("/safe/x", b"a"),
            ("/safe/x", b"a"),
            ("/safe/x", b"b"),
            ("/safe/y", b"a"),
            ("/safe/x?q=1", b"a"),
        ):
            await self.send_request(path, body=body)
        placed = [f for name, f in self.lines if name == "request-placed"]
        digests = [fields["request_digest"] for fields in placed]
        self.assertEqual(digests[0], digests[1])
        self.assertEqual(4, len(set(digests)))

    async def test_keys_are_not_logged(self):
        await self.add_engines("app", "s1")
        await self.send_request("/keyed/x", (b"Api-Key", b"k1"))
        await self.send_request("/keyed/x", (b"Api-Key", b"stolen"))
        for _, fields in self.lines:
            self.assertNotIn("k1", map(str, fields.values()))
            self.assertNotIn("stolen", map(str, fields.values()))
