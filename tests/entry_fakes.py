"""A whole entry on loopback, with stand-ins and scripted targets behind it."""

import asyncio
import contextlib
import json

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

KEY = {"Authorization": "Bearer test-key"}
OTHER_KEY = {"Authorization": "Bearer other-key"}
PEER_KEYS = KeyRing(["a-peer-key-for-tests"])
FAST = EntrySettings(
    stall_s=0.3, resume_backoff_s=0.01, resume_attempts=3, resume_window_s=0.3
)


def base_documents():
    return {
        "data-centre/a": {"region": "r"},
        "service/llm": {"protocol": "engine", "deadline_s": 3.0},
        "service/app": {
            "protocol": "plain",
            "path_prefix": "/app",
            "deadline_s": 3.0,
            "non_repeatable": ["POST:/bookings"],
        },
        "organisation/o": {"key_sha256": hash_key("test-key")},
        "organisation/p": {"key_sha256": hash_key("other-key")},
    }


class Fleet:
    """Entries over one control state, with targets by name."""

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

    def configure(self, **changes):
        """Merge documents by key (with / for __) and put them in force."""
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

    async def add_entry(self, settings=FAST, **options):
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
            **options,
        )
        kernel.add("entry", entry)
        await kernel.start()
        self.kernels.append(kernel)
        self.entries.append(entry)
        return f"http://{entry.address}"

    async def stop(self):
        servers = [server.kill() for server in self.servers.values()]
        await asyncio.gather(*(kernel.stop() for kernel in self.kernels), *servers)


class FleetTestCase:
    """Mixin: a fleet and a caller's session for each test."""

    async def asyncSetUp(self):
        self.fleet = Fleet()
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.fleet.stop()

    async def stream(self, url, headers=KEY, **body):
        """Return status and text of a streamed generation."""
        document = {"model": "llm", "prompt": "plan", "stream": True, **body}
        async with self.session.post(
            f"{url}/v1/completions", json=document, headers=headers
        ) as response:
            return response, await response.text()

    async def post(self, url, data=b"x", **headers):
        """Return an answer and its JSON document, if it is one."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.session.post(url, data=data, headers=KEY | names) as response:
            text = await response.text()
        with contextlib.suppress(ValueError):
            return response, json.loads(text)
        return response, text


async def until(condition, limit_s=5.0):
    """Wait until a condition holds.

    Raises:
      TimeoutError: it does not hold within the limit.
    """
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


def words(text):
    """Return the words of a stream's tokens, in order."""
    found = []
    for event in text.split("\n\n"):
        if event.startswith("id: "):
            choice = json.loads(event.split("data: ")[1])["choices"][0]
            found.append(choice.get("text") or choice["delta"]["content"])
    return found


def numbered(count, first=0):
    return [f"w{index} " for index in range(first, count)]


def last_id(text):
    """Return the id of the last whole event of a stream."""
    ids = [e[4:].split("\n")[0] for e in text.split("\n\n") if e.startswith("id: ")]
    return ids[-1]


class ScriptedTarget:
    """A raw TCP target that runs one script for each connection.

    A script is an async function of reader, writer and the request (head and
    body bytes); `ran` counts the requests that arrived whole.
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
        except (ConnectionError, asyncio.IncompleteReadError):
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
