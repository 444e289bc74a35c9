"""One request during which a process fails at a chosen moment.

A `PausingTarget` acts as a plain service and as an engine. It pauses at one moment
of its first exchange and resumes after the failure has been injected.
"""

import asyncio
import contextlib
import json

import aiohttp
import attrs

from endivesill.entry.settings import EntrySettings
from tests.entry_fakes import (
    KEY,
    Fleet,
    ScriptedEngine,
    generation_of,
    last_id,
    until,
    words,
)

MOMENTS = (
    "before connect",
    "after connect",
    "mid-body",
    "before the first byte",
    "mid-answer",
    "after the last token",
)
ACTORS = ("target", "entry", "home", "caller")
KINDS = ("repeatable", "non-repeatable", "with a key", "generation")
TOKENS = 4
BODY_BYTES = 4096
LIMIT_S = 10.0
SETTINGS = EntrySettings(
    stall_s=1.0, resume_backoff_s=0.01, resume_attempts=2, resume_window_s=0.05
)


class PausingTarget:
    """A target that pauses at one moment of its first exchange."""

    def __init__(self, moment):
        self.moment = moment
        self.paused = asyncio.Event()
        self.resume = asyncio.Event()
        self.runs = 0
        self.cancels = 0
        self.delivered = 0
        self.dead = False
        self.generation_id = None
        self.server = None
        self.reader = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    def die(self):
        self.dead = True
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _pause(self, moment):
        if moment == self.moment and not self.paused.is_set():
            self.paused.set()
            await self.resume.wait()

    def has_buffered_body(self):
        """Return whether the rest of the first request is buffered unread."""
        return len(self.reader._buffer) >= BODY_BYTES // 2

    async def _serve(self, reader, writer):
        self.reader = self.reader or reader
        self.writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await self._exchange(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def _exchange(self, reader, writer):
        await self._pause("after connect")
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line = head.split("\r\n")[0]
        headers = dict(h.lower().split(": ", 1) for h in head.split("\r\n")[1:] if h)
        length = int(headers.get("content-length", "0"))
        await reader.readexactly(length // 2)
        if "/generations/" not in line:
            await self._pause("mid-body")
        await reader.readexactly(length - length // 2)
        if self.dead:
            return
        if "/cancel" in line:
            self.cancels += 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        elif "/v1/" in line:
            await self._generate(line, headers, writer)
        else:
            self.runs += 1
            await self._respond(writer)
        await writer.drain()

    async def _respond(self, writer):
        await self._pause("before the first byte")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        ScriptedEngine.chunk(writer, b"half ")
        await writer.drain()
        await self._pause("mid-answer")
        ScriptedEngine.chunk(writer, b"whole")
        await writer.drain()
        await self._pause("after the last token")
        writer.write(b"0\r\n\r\n")

    async def _generate(self, line, headers, writer):
        if "/resume" in line:
            generation_id, first = generation_of(line)
            if generation_id != self.generation_id:
                writer.write(b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
                return
        else:
            self.runs += 1
            generation_id, first = headers["x-generation-id"], 0
            self.generation_id = generation_id
        await self._pause("before the first byte")
        ScriptedEngine.begin(writer, headers)
        for index in range(first, TOKENS):
            if index == TOKENS // 2:
                await self._pause("mid-answer")
            ScriptedEngine.chunk(writer, ScriptedEngine.event(generation_id, index))
            await writer.drain()
        await self._pause("after the last token")
        ScriptedEngine.chunk(writer, b"data: [DONE]\n\n")
        writer.write(b"0\r\n\r\n")


@attrs.define
class Row:
    """The outcome of one request."""

    actor: str
    moment: str
    kind: str
    ran: str
    reported: str
    consistent: bool

    def line(self):
        truth = "true" if self.consistent else "FALSE"
        columns = (self.actor, self.moment, self.kind, self.ran, self.reported)
        widths = (7, 22, 15, 26, 64)
        cells = [c.ljust(w) for c, w in zip(columns, widths, strict=True)]
        return " | ".join([*cells, truth])


class Scenario:
    """One request with one injected failure."""

    def __init__(self, actor, moment, kind):
        self.actor, self.moment, self.kind = actor, moment, kind
        self.fleet = Fleet()
        self.first, self.second = PausingTarget(moment), PausingTarget("never")
        self.session = None
        self.stream_text = ""
        self.grant_is_revoked = False
        self.router_paused = asyncio.Event()
        self.router_resume = asyncio.Event()

    async def run(self):
        async with aiohttp.ClientSession() as self.session:
            urls = await self._set_up()
            try:
                async with asyncio.timeout(LIMIT_S):
                    reported = await self._execute(urls)
                return self._row(reported)
            finally:
                self.first.resume.set()
                self.router_resume.set()
                for target in (self.first, self.second):
                    target.server.close()
                await self.fleet.stop()

    async def _set_up(self):
        service = "llm" if self.kind == "generation" else "app"
        self.fleet.configure(
            service__app={"deadline_s": 2.0}, service__llm={"deadline_s": 2.0}
        )
        for name, target in (("a", self.first), ("b", self.second)):
            self.fleet.add_target(name, service, await target.start())
        urls = []
        for _ in range(2):
            urls.append(
                await self.fleet.add_entry(
                    SETTINGS, is_gone=lambda name: self._entry_killed
                )
            )
        self._entry_killed = False
        self._hook_router(self.fleet.kernels[0])
        return urls

    def _hook_router(self, kernel):
        router = kernel._services["router"]
        acquire = router.acquire

        async def acquire_and_pause(request):
            grant = await acquire(request)
            grant.may_start = lambda: not self.grant_is_revoked
            if self.moment == "before connect" and not self.router_paused.is_set():
                self.router_paused.set()
                await self.router_resume.wait()
            return grant

        router.acquire = acquire_and_pause

    async def _execute(self, urls):
        request = asyncio.ensure_future(self._request(urls[0]))
        if self.moment == "before connect":
            await self.router_paused.wait()
        else:
            await self.first.paused.wait()
        if self.moment in ("after connect", "mid-body"):
            await until(self.first.has_buffered_body)
        await until(lambda: self._has_received(self.moment))
        await self._inject_failure(request)
        self.router_resume.set()
        self.first.resume.set()
        reported = await self._result_of(request)
        if self.actor == "entry":
            reported += "; then " + await self._retry(urls[1])
        if self.actor == "caller" and self.kind == "with a key":
            reported += "; then " + await self._retry(urls[1])
        await self._wait_until_idle()
        return reported

    def _has_received(self, moment):
        if moment not in ("mid-answer", "after the last token"):
            return True
        share = 1 if moment == "mid-answer" else 2
        if self.kind == "generation":
            return len(words(self.stream_text)) == share * TOKENS // 2
        return len(self.stream_text) == share * len("whole")

    async def _wait_until_idle(self):
        """Wait until the entries and targets have no requests in progress."""
        entries = self.fleet.entries[1 if self.actor == "entry" else 0 :]
        await until(lambda: not any(e.application.running for e in entries))
        if self.actor == "entry":
            await until(lambda: not self.first.writers)
        if self.actor == "caller" and self.kind == "generation":
            sent = self.moment != "before connect"
            await until(lambda: self.first.cancels == sent)

    async def _inject_failure(self, request):
        if self.actor == "target":
            self.first.die()
        elif self.actor == "entry":
            self._entry_killed = True
            await self.fleet.entries[0].kill()
        elif self.actor == "home":
            self.grant_is_revoked = True
        else:
            request.cancel()
            await asyncio.sleep(0)
            if self.kind == "generation":
                await until(lambda: not self.fleet.entries[0].application.running)

    async def _result_of(self, request):
        try:
            return await request
        except asyncio.CancelledError:
            return "nothing: it went away"
        except aiohttp.ClientError:
            return "cut" + self._received()

    def _received(self):
        if self.kind == "generation":
            return f" after {len(words(self.stream_text))} tokens"
        return f" after {len(self.stream_text)} bytes"

    async def _request(self, url, **headers):
        if self.kind == "generation":
            path, body = "/v1/completions", self._generation_body()
        elif self.kind == "repeatable":
            path, body = "/app/notes", b"x" * BODY_BYTES
        else:
            path, body = "/app/bookings", b"x" * BODY_BYTES
        if self.kind == "with a key":
            headers["Idempotency-Key"] = "k"
        async with self.session.post(
            f"{url}{path}", data=body, headers={**KEY, **headers}
        ) as response:
            self.response = response
            async for data in response.content.iter_any():
                self.stream_text += data.decode()
        return self._describe(response)

    def _generation_body(self):
        prompt = "x" * BODY_BYTES
        return json.dumps({"model": "llm", "prompt": prompt, "stream": True}).encode()

    def _describe(self, response):
        text = self.stream_text
        if response.status != 200:
            problem = json.loads(text)
            return f"{response.status} {problem['title']}, run={problem['run']}"
        if "event: error" in text:
            error = json.loads(text.split("event: error\ndata: ")[1])
            return f"error event at token {error['next_index']}, run={error['run']}"
        replayed = response.headers.get("Idempotency-Replayed")
        return "the stored answer" if replayed else "the whole answer"

    async def _retry(self, url):
        """Retry or reconnect like a caller whose connection broke."""
        if self.kind == "non-repeatable":
            return "it cannot repeat"
        headers = {}
        if self.kind == "generation" and words(self.stream_text):
            headers["Last-Event-ID"] = last_id(self.stream_text)
        else:
            self.stream_text = ""
        reported = await self._result_of(
            asyncio.ensure_future(self._request(url, **headers))
        )
        if self.kind == "generation" and reported == "the whole answer":
            assert words(self.stream_text) == [f"w{i} " for i in range(TOKENS)]
        return reported

    def _row(self, reported):
        runs = self.first.runs + self.second.runs
        ran = f"{self.first.runs} at a, {self.second.runs} at b"
        if self.first.cancels or self.second.cancels:
            ran += ", cancelled"
        return Row(
            self.actor,
            self.moment,
            self.kind,
            ran,
            reported,
            self._is_consistent(reported, runs),
        )

    def _is_consistent(self, reported, runs):
        if self.kind in ("non-repeatable", "with a key") and runs > 1:
            return False
        if "run=not-run" in reported and runs:
            return False
        return not ("answer" in reported and not runs)
