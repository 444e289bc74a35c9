"""Tests of engines that repeat a refusal, or stop in the head of a response."""

import asyncio
from unittest import mock

from endivesill.fleet.model import EngineInfo
from endivesill.forwarding import target_client
from tests.forwarding_case import STREAM_HEADERS, ForwardingTestCase, request

REFUSAL = (
    b"HTTP/1.1 503 Full\r\n%bX-Endivesill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
ATTEMPT_ID = "X-Endivesill-Request-Attempt-Id"
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Endivesill-Request-Attempt-Id: %b\r\n"
    b"X-Endivesill-Response-Seal: 1.2.3\r\n%b\r\n"
)
LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"


class ScriptedEngine:
    """An engine that writes the bytes of a script.

    Args:
      script: returns what it writes for a request, given the number of the request on
        its connection and the attempt id.

    Attributes:
      connections: number of connections that it has accepted.
      runs: attempt ids of the requests that it has run.
      closes: whether it closes each connection after its first response.
    """

    def __init__(self, script):
        self.script = script
        self.connections = 0
        self.runs = []
        self.closes = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        self.connections += 1
        number = 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = dict(
                    line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
                )
                await reader.readexactly(int(lines.get(b"content-length", b"0")))
                number += 1
                attempt_id = lines[ATTEMPT_ID.lower().encode()]
                writer.write(self.script(number, attempt_id))
                if self.closes:
                    return
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()


class FaultyEngineTestCase(ForwardingTestCase):
    async def add_scripted(self, service, script):
        engine = ScriptedEngine(script)
        address = await engine.start()
        self.addCleanup(engine.server.close)
        name = f"s{len(self.view.engines)}"
        info = EngineInfo(name, f"{name}@1", service, address, "a", 24, False, 0.0)
        self.view.engines[info.incarnation] = info
        self.table.update_engines()
        return engine

    async def send(self, path, attempt_id):
        headers = STREAM_HEADERS if path == "/stream/x" else []
        connection = await self.connect()
        connection.send(request(path, *headers).replace(b"a1", attempt_id, 1))
        return await connection.head(), await connection.read_all()


class UnnamedAttemptTest(FaultyEngineTestCase):
    """Guards against the answer to another caller where neither names its attempt.

    On a kept connection, the engine writes its earlier response once more.
    """

    async def bodies(self, path):
        def respond(number, attempt_id):
            engine.runs.append(attempt_id)
            responses = [
                HEAD % (b"", b"Content-Length: 2\r\n") + b"%02d" % run
                for run in range(1, len(engine.runs) + 1)
            ]
            return b"".join(responses[-number:])

        engine = await self.add_scripted("app", respond)
        bodies = []
        for _ in range(3):
            connection = await self.connect()
            connection.send(request(path).replace(b"-Id: a1", b"-Id: "))
            await connection.head()
            bodies.append(await connection.read_all())
        return bodies

    async def test_an_unsafe_request(self):
        self.assertEqual([b"01", b"02", b"03"], await self.bodies("/unsafe/x"))

    async def test_a_safe_request(self):
        self.assertEqual([b"01", b"02", b"03"], await self.bodies("/safe/x"))


class RepeatedRefusalTest(FaultyEngineTestCase):
    """Guards against the refusal of an earlier request that is taken for a new one.

    On a kept connection, the engine writes the refusal of an earlier request once more
    and then runs the request.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # After a silence, which a pause of this process is as well, the link to the
        # engine would be tried with another connection.
        patch = mock.patch.object(target_client, "SILENCE_S", 60.0)
        patch.start()
        self.addCleanup(patch.stop)

    async def add_engine(self, service, body, *, names_attempt):
        line = f"{ATTEMPT_ID}: earlier\r\n".encode() if names_attempt else b""

        def respond(number, attempt_id):
            engine.runs.append(attempt_id)
            response = HEAD % (attempt_id, b"Content-Length: %d\r\n" % len(body)) + body
            return response if number == 1 else REFUSAL % line + response

        engine = await self.add_scripted(service, respond)
        return engine

    async def check(self, path, service, body, *, names_attempt):
        engine = await self.add_engine(service, body, names_attempt=names_attempt)
        for attempt_id in (b"first", b"second"):
            head, received = await self.send(path, attempt_id)
            self.assertEqual((200, body), (head.status, received))
        self.assertEqual([b"first", b"second"], engine.runs)
        self.assertEqual(1, engine.connections)

    async def test_an_unsafe_request(self):
        await self.check("/unsafe/x", "app", b"ok", names_attempt=True)

    async def test_an_unsafe_request_and_a_refusal_that_names_none(self):
        await self.check("/unsafe/x", "app", b"ok", names_attempt=False)

    async def test_a_safe_request_and_a_refusal_that_names_none(self):
        await self.check("/safe/x", "app", b"ok", names_attempt=False)

    async def test_a_stream(self):
        await self.check("/stream/x", "llm", EVENTS, names_attempt=True)

    async def test_a_stream_and_a_refusal_that_names_none(self):
        await self.check("/stream/x", "llm", EVENTS, names_attempt=False)

    async def test_a_request_runs_at_one_engine_only(self):
        """The other engine would get the request if the refusal counted."""
        engines = [
            await self.add_engine("app", b"ok", names_attempt=False) for _ in range(2)
        ]
        for number in range(20):
            await self.send("/unsafe/x", b"n%d" % number)
        runs = engines[0].runs + engines[1].runs
        self.assertEqual(sorted(b"n%d" % number for number in range(20)), sorted(runs))


class TruncatedHeadTest(FaultyEngineTestCase):
    """Guards against a head that is cut off and passes for a whole response."""

    async def check(self, path, service, framing, body):
        whole = HEAD % (b"cut", framing) + body
        head_bytes = len(whole) - len(body)
        length = 0

        engine = await self.add_scripted(service, lambda *_: whole[:length])
        engine.closes = True
        for length in range(0, head_bytes, 7):
            head, _ = await self.send(path, b"cut")
            self.assertEqual(502, head.status, whole[:length])
        length = head_bytes - 1
        head, _ = await self.send(path, b"cut")
        self.assertEqual(502, head.status)

    async def test_a_response_with_a_length(self):
        await self.check("/unsafe/x", "app", LENGTH, b"ok")

    async def test_a_response_in_chunks(self):
        await self.check("/unsafe/x", "app", CHUNKED, b"2\r\nok\r\n0\r\n\r\n")

    async def test_a_response_without_a_length(self):
        await self.check("/unsafe/x", "app", b"", b"ok")

    async def test_a_stream(self):
        await self.check("/stream/x", "llm", b"", EVENTS)


class InvalidStatusTest(FaultyEngineTestCase):
    """Guards against bytes with the status 000 that reach a caller as an answer."""

    async def add_faulty(self, service, status, framing, body):
        """Add an engine whose bytes have an invalid status and then an answer."""
        own = f"{ATTEMPT_ID}: ".encode()
        answer = HEAD + b"ok" if service == "app" else HEAD + EVENTS

        def respond(number, attempt_id):
            engine.runs.append(attempt_id)
            invalid = b"HTTP/1.1 %b Trouble\r\n%b%b\r\n" % (status, own, attempt_id)
            length = LENGTH if service == "app" else b""
            return invalid + framing + b"\r\n" + body + answer % (attempt_id, length)

        engine = await self.add_scripted(service, respond)
        return engine

    async def check(self, path, service, statuses):
        for status in (b"000", b"099", b"600", b"999"):
            for framing, body in ((LENGTH, b"xx"), (b"", b"")):
                self.view.engines.clear()
                engine = await self.add_faulty(service, status, framing, body)
                head, received = await self.send(path, b"a1")
                self.assertIn(head.status, statuses)
                self.assertEqual(b"", received)
                self.assertEqual([b"a1"], engine.runs)

    async def test_an_unsafe_request(self):
        await self.check("/unsafe/x", "app", [502])

    async def test_a_stream(self):
        await self.check("/stream/x", "llm", [502])

    async def test_a_safe_request_is_sent_to_another_engine(self):
        await self.add_faulty("app", b"000", LENGTH, b"xx")
        await self.add_engines("app", "e1")
        for number in range(8):
            head, body = await self.send("/safe/x", b"n%d" % number)
            self.assertEqual((200, b"e1"), (head.status, body))


class ForeignPageTest(FaultyEngineTestCase):
    """Guards against a page of something else that a caller gets as the answer.

    A 503 of such a page said "not run" of a request that had run, and a 200 counted as
    a success.
    """

    async def add_page(self, service, status, names_attempt):
        def respond(number, attempt_id):
            engine.runs.append(attempt_id)
            own = ATTEMPT_ID.encode() + b": " + attempt_id + b"\r\n"
            return b"HTTP/1.1 %d Page\r\n%bContent-Length: 4\r\n\r\npage" % (
                status,
                own if names_attempt else b"",
            )

        engine = await self.add_scripted(service, respond)
        return engine

    async def check(self, path, service):
        for status in (200, 206, 301, 404, 408, 429, 500, 503, 504):
            for names_attempt in (False, True):
                self.view.engines.clear()
                engine = await self.add_page(service, status, names_attempt)
                head, body = await self.send(path, b"a1")
                self.assertEqual((502, b""), (head.status, body))
                self.assertEqual([b"a1"], engine.runs)

    async def test_an_unsafe_request(self):
        await self.check("/unsafe/x", "app")

    async def test_a_stream(self):
        await self.check("/stream/x", "llm")

    async def test_a_safe_request_is_sent_to_another_engine(self):
        await self.add_page("app", 200, names_attempt=True)
        await self.add_engines("app", "e1")
        for number in range(8):
            head, body = await self.send("/safe/x", b"n%d" % number)
            self.assertEqual((200, b"e1"), (head.status, body))

    async def test_answers_of_engines_are_passed_on(self):
        for status in (200, 204, 404, 409, 500, 503, 504):
            self.view.engines.clear()
            (engine,) = await self.add_engines("app", f"e{status}")
            engine.statuses = [status]
            head, _ = await self.send("/unsafe/x", b"s%d" % status)
            self.assertEqual(status, head.status)
