"""Entries on loopback with stand-in and scripted targets."""

import asyncio
import contextlib
import json
import logging

import aiohttp

from bench.standin_engine import EngineOptions, StandinEngine
from bench.standin_plain import StandinPlain
from endivesill.configuration.model import configuration_from_documents
from endivesill.configuration.source import FixedConfiguration
from endivesill.control import LocalControl
from endivesill.entry.service import EntryService
from endivesill.entry.settings import EntrySettings
from endivesill.kernel import Kernel
from endivesill.keys import KeyRing, hash_key
from endivesill.routing import Router
from endivesill.server import HttpServer
from endivesill.timer import SystemTimer

# Killed servers log an error for each aborted request.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)

KEY = {"Authorization": "Bearer test-key"}
OTHER_KEY = {"Authorization": "Bearer other-key"}
PEER_KEYS = KeyRing(["a-peer-key-for-tests"])
FAST_SETTINGS = EntrySettings(
    stall_s=0.2, resume_backoff_s=0.01, resume_attempts=3, resume_window_s=0.2
)


def base_documents():
    return {
        "data-centre/a": {"region": "r"},
        "service/llm": {
            "protocol": "engine",
            "deadline_s": 3.0,
            "gap_target_ms": 20,
            # Breaks ties by name, so that tests know which target is used first.
            "routing_policy": "least-outstanding",
        },
        "service/app": {
            "protocol": "plain",
            "routing_policy": "least-outstanding",
            "path_prefix": "/app",
            "deadline_s": 3.0,
            "non_repeatable": ["POST:/bookings"],
        },
        "organisation/o": {"key_sha256": hash_key("test-key")},
        "organisation/p": {"key_sha256": hash_key("other-key")},
    }


class Fleet:
    """Entries that share one control state, with targets by name."""

    def __init__(self):
        self.timer = SystemTimer()
        self.control = LocalControl(self.timer)
        self.documents = base_documents()
        self.source = FixedConfiguration(
            configuration_from_documents(1, self.documents)
        )
        self.engines = {}
        self.plains = {}
        self.servers = {}
        self.kernels = []
        self.entries = []
        self.draining = False
        self.accepting = True

    def configure(self, **changes):
        """Merge documents by key (`__` stands for `/`) and apply them."""
        for key, document in changes.items():
            key = key.replace("__", "/")
            self.documents[key] = {**self.documents.get(key, {}), **document}
        self.source.replace(configuration_from_documents(2, self.documents))

    def add_target(self, name, service, address):
        url = f"http://{address}"
        target = {"service": service, "url": url, "data_centre": "a"}
        self.configure(**{f"target__{name}": target})

    async def add_engine(self, name="e", **options):
        engine = StandinEngine(EngineOptions(token_s=0.001, **options))
        server = HttpServer("127.0.0.1:0", engine.application())
        await server.start()
        self.engines[name], self.servers[name] = engine, server
        self.add_target(name, "llm", server.address)
        return engine

    async def add_plain(self, name="p", **options):
        plain = StandinPlain(**options)
        server = HttpServer("127.0.0.1:0", plain.application())
        await server.start()
        self.plains[name], self.servers[name] = plain, server
        self.add_target(name, "app", server.address)
        return plain

    async def add_entry(self, settings=FAST_SETTINGS, **options):
        kernel = Kernel(self.timer)
        kernel.add("control", self.control)
        kernel.add("router", Router(self.timer, self.source.current))
        number = len(self.entries)
        entry = EntryService(
            kernel,
            "127.0.0.1:0",
            self.source,
            PEER_KEYS,
            f"vm-{number}",
            settings,
            is_draining=lambda: self.draining,
            accepts=lambda: self.accepting,
            **options,
        )
        kernel.add("entry", entry)
        await kernel.start()
        self.kernels.append(kernel)
        self.entries.append(entry)
        return f"http://{entry.address}"

    async def stop(self):
        running = [*self.entries, *self.servers.values()]
        await asyncio.gather(*(each.kill() for each in running))
        await asyncio.gather(*(kernel.stop() for kernel in self.kernels))


class FleetTestCase:
    """Mixin: a fleet and a client session for each test."""

    async def asyncSetUp(self):
        self.fleet = Fleet()
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.fleet.stop()

    async def stream(self, url, headers=KEY, **body):
        """Return the response and text of a streamed generation."""
        document = {"model": "llm", "prompt": "plan", "stream": True, **body}
        async with self.session.post(
            f"{url}/v1/completions", json=document, headers=headers
        ) as response:
            return response, await response.text()

    async def post(self, url, data=b"x", **headers):
        """Return a response and its body, parsed if it is JSON."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.session.post(url, data=data, headers=KEY | names) as response:
            text = await response.text()
        with contextlib.suppress(ValueError):
            return response, json.loads(text)
        return response, text


async def until(condition, limit_s=5.0):
    """Poll until a condition holds.

    Raises:
      TimeoutError: the condition does not hold within the limit.
    """
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


def words(text):
    """Return the token texts of a stream, in order."""
    found = []
    for event in text.split("\n\n"):
        if event.startswith("id: "):
            choice = json.loads(event.split("data: ")[1])["choices"][0]
            found.append(choice.get("text") or choice["delta"]["content"])
    return found


def numbered(count, first=0):
    return [f"w{index} " for index in range(first, count)]


def last_id(text):
    """Return the id of the last complete event of a stream."""
    ids = [e[4:].split("\n")[0] for e in text.split("\n\n") if e.startswith("id: ")]
    return ids[-1]


class ScriptedTarget:
    """A raw TCP target that runs one script per connection.

    A script is an async function of target, reader and writer; `ran` lists the
    request lines of the requests that arrived completely.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.ran = []
        self.connections = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def _serve(self, reader, writer):
        number = self.connections
        self.connections += 1
        script = self.scripts[min(number, len(self.scripts) - 1)]
        try:
            await script(self, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def read_request(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        headers = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        self.ran.append(head.split("\r\n")[0])
        return head.split("\r\n")[0], headers, body

    async def stop(self):
        if self.server is not None:
            self.server.close()

    @property
    def starts(self):
        """The request lines other than cancellations."""
        return [line for line in self.ran if "/cancel" not in line]


class ScriptedEngine(ScriptedTarget):
    """Scripted target that responds like an engine.

    A script is an async function of engine, writer, request line and headers.
    Cancellations are handled without a script.
    """

    async def _serve(self, reader, writer):
        try:
            line, headers, _ = await self.read_request(reader)
            if "/cancel" in line:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                return
            number = self.connections
            self.connections += 1
            script = self.scripts[min(number, len(self.scripts) - 1)]
            await script(self, writer, line, headers)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def begin(writer, headers, attempt=None):
        """Write the head of a stream."""
        attempt = attempt or headers["x-attempt-id"]
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())

    @staticmethod
    def chunk(writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    @staticmethod
    def event(generation_id, index):
        data = json.dumps({"choices": [{"index": 0, "text": f"w{index} "}]})
        return f"id: {generation_id}:{index}\ndata: {data}\n\n".encode()

    def tokens(self, writer, generation_id, first, end):
        for index in range(first, end):
            self.chunk(writer, self.event(generation_id, index))

    def done(self, writer):
        self.chunk(writer, b"data: [DONE]\n\n")
        writer.write(b"0\r\n\r\n")


def generation_of(line):
    """Return the generation id and first index of the request line of a resume."""
    path = line.split(" ")[1]
    return path.split("/")[3], int(path.split("from=")[1])


def serving(first, end, then=None):
    """Return a script that streams tokens and then ends, or runs `then`.

    If `first` is None, it starts at the token that the resume requests.
    """

    async def script(engine, writer, line, headers):
        generation_id, begin = headers.get("x-generation-id"), first
        if generation_id is None:
            generation_id, wanted = generation_of(line)
            begin = wanted if first is None else first
        engine.begin(writer, headers)
        engine.tokens(writer, generation_id, begin, end)
        if then is not None:
            await then(engine, writer, generation_id)
        else:
            engine.done(writer)

    return script


async def breaking(engine, writer, generation_id):
    """Send half an event and close the connection."""
    half = engine.event(generation_id, 99)[:20]
    engine.chunk(writer, half)


async def silent(engine, writer, generation_id):
    """Keep the connection open without sending anything."""
    await writer.drain()
    await asyncio.sleep(5)


async def dying(engine, writer, line, headers):
    """Close the connection without a response."""


def answering(status, *headers):
    """Return a script that responds with a status and an empty body."""

    async def script(engine, writer, line, request_headers):
        lines = [f"HTTP/1.1 {status} X", *headers, "Content-Length: 0", "", ""]
        writer.write("\r\n".join(lines).encode())

    return script
