"""Stand-ins for the review's scripts: the platform's list, engines, callers, operator.

Only the standard library is used. A script starts the programs of `deploy/system.toml`
as processes of their own on loopback addresses, and everything else in its own process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT = (
    8740,
    8749,
    8748,
    7200,
    9464,
)
SEAL = "X-Endivesill-Response-Seal"
ATTEMPT = "X-Endivesill-Request-Attempt-Id"
HOST = "review.example"
KEY = "key-of-the-review"
Headers = list[tuple[str, str]]

SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{kind}"
serves = ["{kind_served}"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internal_port_range = [{peer},{peer_end}]
seeds = [{seeds}]
bootstrap = {bootstrap}
counts_toward_tolerance = {counts}
discovery = "cloud"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = [
  "base", "drain", "config", "cost", "retry",
  "recover", "engine", "stream", "tenants", "places",
]
configuration_mode = "highest"
{data}
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen_addresses]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 296
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 128
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 54
cold_factor = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 4.6
[cloud]
address = "{cloud}"
rate_per_s = 42.0
duties = []
max_lag_ms = 800
"""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._start_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> float:
        """Write a line; return its time."""
        now_s = self.now_s()
        self._file.write(f"{now_s:8.3f}  {text}\n")
        self._file.flush()
        return now_s

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)


# HTTP.


class Request:
    """A request that a stand-in has read."""

    def __init__(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method, self.path, self.headers, self.body = method, path, headers, body


class Channel:
    """A channel to a stand-in server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer

    @property
    def closed(self) -> bool:
        """Whether the peer has closed the channel."""
        return self.reader.at_eof() or self.writer.is_closing()

    async def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def start(self, status: int, headers: Headers) -> None:
        """Start."""
        lines = [f"HTTP/1.1 {status} Status", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self.writer.drain()

    async def send(self, data: bytes) -> None:
        """Send one chunk."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.writer.drain()

    async def finish(self) -> None:
        """End a chunked response."""
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()


Handler = Callable[[Request, Channel], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read a head; return its first line and the headers."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    return first, [(name.strip(), value.strip()) for name, _, value in pairs]


class Server:
    """A server on one address, one request at a time on a channel."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Start."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Refuse channels and reset the open ones, like a server that has ended."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                fields = {name.lower(): value for name, value in headers}
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, path, _ = first.split(" ")
                await self._handler(
                    Request(method, path, fields, body), Channel(reader, writer)
                )
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes] | None:
    """Send one request on a new channel; None without a complete response in time.

    The channel is closed afterwards, also after the time-out.
    """
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange() -> tuple[int, dict[str, str], bytes]:
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers)]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        first, received = await read_head(reader)
        fields = {name.lower(): value for name, value in received}
        if fields.get("transfer-encoding") == "chunked":
            parts = []
            while size := int(await reader.readline(), 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            return int(first.split(" ")[1]), fields, b"".join(parts)
        data = await reader.readexactly(int(fields.get("content-length", 0)))
        return int(first.split(" ")[1]), fields, data

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The programs under test.


class Node:
    """One machine with one process of the system."""

    def __init__(
        self, name: str, role: str, ip: str, zone: str, folder: pathlib.Path
    ) -> None:
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.folder = folder / name
        self.process: subprocess.Popen[bytes] | None = None

    def signal(self, number: int) -> None:
        """Send the process a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """The processes of both roles, as the deploy file starts them."""

    def __init__(self, record: Record, controls: int = 5, entries: int = 3) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.base = _free_base()
        self.cloud = f"{self.base}.200:8742"
        self.is_first_start = True
        document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._runs = {
            role["serves"][0]: role["run"].split()
            for role in document["roles"].values()
        }
        self.controls = [self._node("core", i, 10) for i in range(controls)]
        self.entries = [self._node("front", i, 40) for i in range(entries)]

    def _node(self, role: str, number: int, first_host: int) -> Node:
        ip = f"{self.base}.{first_host + number}"
        zone = ZONES[number % len(ZONES)]
        return Node(f"{role}-{number + 1}", role, ip, zone, self.folder)

    @property
    def nodes(self) -> list[Node]:
        """All machines."""
        return [*self.controls, *self.entries]

    def start(self) -> None:
        """Start."""
        for node in self.nodes:
            self.launch(node)
        self.is_first_start = False

    def launch(self, node: Node) -> None:
        """Start the process of a machine on the data that it has."""
        is_front = node.role == "front"
        served = "front" if is_front else "control"
        listen = f'control = "{node.ip}:{CONTROL_PORT}"'
        if is_front:
            listen = (
                f'front = "{node.ip}:{FRONT_PORT}"\nready = "{node.ip}:{READY_PORT}"'
            )
        node.folder.mkdir(exist_ok=True)
        settings = node.folder / "local.toml"
        settings.write_text(
            SETTINGS.format(
                name=node.name,
                role="entry" if is_front else "control",
                kind=node.role,
                kind_served=served,
                ip=node.ip,
                zone=node.zone,
                peer=PEER_PORT,
                peer_end=PEER_PORT + 15,
                seeds=",".join(f'"{c.ip}:{CONTROL_PORT}"' for c in self.controls[:3]),
                bootstrap=str(self.is_first_start).lower(),
                counts=str(not is_front).lower(),
                data="" if is_front else f'data_directory = "{node.folder / "disk"}"',
                listen=listen,
                cloud=self.cloud,
            )
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ENDIVESILL_NODE_FILE"] = str(settings)
        with (node.folder / "output.log").open("ab") as output:
            node.process = subprocess.Popen(
                self._runs[served],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def stop(self) -> None:
        """Stop."""
        for node in self.nodes:
            node.end()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until all entries say that they are ready."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            answers = [
                await call(
                    f"{e.ip}:{READY_PORT}", "GET", "/readiness", [("Host", e.ip)]
                )
                for e in self.entries
            ]
            if all(answer is not None and answer[0] == 200 for answer in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def find_leader(self) -> Node | None:
        """Return the control machine that says it leads."""
        for node in self.controls:
            answer = await call(
                f"{node.ip}:{METRICS_PORT}",
                "GET",
                "/metrics",
                [("Host", node.ip)],
                timeout_s=0.5,
            )
            if answer is not None and b"endivesill_control_leads 1\n" in answer[2]:
                return node
        return None


def _free_base() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    for _ in range(50):
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (10, 11, 12, 13, 14, 40, 41, 42, 200):
                for port in (
                    FRONT_PORT,
                    READY_PORT,
                    CONTROL_PORT,
                    PEER_PORT,
                    METRICS_PORT,
                    8742,
                ):
                    with socket.socket() as sock:
                        sock.bind((f"{base}.{host}", port))
        except OSError:
            continue
        return base
    raise RuntimeError("no free addresses")


# The platform's list, the operator and callers.


class EngineList:
    """The platform's list of engines; `extra` are entries of another writer."""

    def __init__(self, record: Record) -> None:
        self.entries: list[dict[str, Any]] = []
        self.extra: list[bytes] = []
        self.served = 0
        self._server = Server(self._handle)
        self._record = record

    async def start(self, address: str) -> None:
        """Start."""
        host, _, port = address.rpartition(":")
        await self._server.start(host, int(port))

    def stop(self) -> None:
        """Stop."""
        self._server.stop()

    async def _handle(self, request: Request, channel: Channel) -> None:
        if request.path.partition("?")[0] != "/instances":
            await channel.respond(404, [])
            return
        self.served += 1
        rows = [json.dumps(entry).encode() for entry in self.entries] + self.extra
        body = b'{"instances":[' + b",".join(rows) + b'],"next":null}'
        await channel.respond(200, [("Content-Type", "application/json")], body)


class Operator:
    """Sends orders to control nodes, and again to others without a clear response."""

    def __init__(self, record: Record, fleet: Fleet) -> None:
        self._record, self._fleet = record, fleet

    async def order(
        self, path: str, body: bytes, nodes: list[Node], tries: int = 20
    ) -> bool:
        """Send an order to the nodes in turn until one acknowledges it."""
        for number in range(tries):
            node = nodes[number % len(nodes)]
            self._record.write(f"operator sends POST {path} to {node.name}")
            answer = await call(
                f"{node.ip}:{CONTROL_PORT}",
                "POST",
                path,
                [("Host", node.ip), ("Content-Type", "application/json")],
                body,
                timeout_s=1.0,
            )
            text = (
                "no complete response"
                if answer is None
                else f"{answer[0]} {answer[2]!r}"
            )
            self._record.write(f"operator got from {node.name} for {path}: {text}")
            if answer is not None and 200 <= answer[0] < 300:
                return True
            if answer is not None and answer[0] in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(min(0.05 * 2**number, 0.4))
        return False

    async def configure(self, document: dict[str, Any]) -> bool:
        """Send a desired state until it is acknowledged."""
        body = json.dumps(document).encode()
        return await self.order("/Configuration.Replace", body, self._fleet.controls)


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a desired state."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 125,
        "priority": 1,
        "service": service,
        "max_attempts": 2 if kind == "safe" else 1,
        "public": False,
        "session_affinity": kind == "streaming",
        "stream_resumption": False,
        "gap_target_ms": 180,
        **fields,
    }


def desired_state(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a desired state with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}],
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a plain service of a desired state."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 100,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }


class PlainEngine:
    """A plain server with six slots; it drops requests of closed channels."""

    def __init__(
        self, record: Record, identity: str, service: str, address: str, zone: str
    ) -> None:
        self.identity, self.service, self.address, self.zone = (
            identity,
            service,
            address,
            zone,
        )
        self.state = "ready"
        self.work_s = 0.0225
        self.run_ids: list[tuple[float, str]] = []
        self.finished: set[str] = set()
        self._record = record
        self._server = Server(self._handle)

    async def start(self) -> None:
        """Start."""
        host, _, port = self.address.rpartition(":")
        await self._server.start(host, int(port))

    def stop(self) -> None:
        """Stop."""
        self._server.stop()

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list."""
        return {
            "id": self.identity,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
        }

    async def _handle(self, request: Request, channel: Channel) -> None:
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            await channel.respond(status, [("X-Endivesill-Instance-Id", self.identity)])
            return
        attempt = request.headers.get(ATTEMPT.lower(), "")
        echo = [(ATTEMPT, attempt)]
        if (
            request.headers.get("x-endivesill-expected-instance", self.identity)
            != self.identity
        ):
            await channel.respond(421, echo)
            return
        now_s = self._record.write(f"{self.identity} begins to run {attempt}")
        self.run_ids.append((now_s, attempt))
        await asyncio.sleep(self.work_s)
        if channel.closed:
            return
        self.finished.add(attempt)
        body = f"answer to {attempt}".encode()
        await channel.respond(200, [*echo, (SEAL, "review.1")], body)


class Callers:
    """Open-loop callers: requests at a rate, each on a new channel, without retries."""

    def __init__(self, record: Record, fleet: Fleet) -> None:
        self._record, self._fleet = record, fleet
        self.results: dict[str, tuple[float, int | None, bool]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, path: str, per_s: float, deadline_ms: int = 1500) -> None:
        """Send requests until cancelled."""
        number = 0
        while True:
            entry = self._fleet.entries[number % len(self._fleet.entries)]
            number += 1
            task = asyncio.ensure_future(self._one(entry, path, deadline_ms))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))

    async def _one(self, entry: Node, path: str, deadline_ms: int) -> None:
        attempt = uuid.uuid4().hex[:16]
        headers = [
            ("Host", HOST),
            (ATTEMPT, attempt),
            ("X-Endivesill-Deadline-Remaining", str(deadline_ms)),
            ("Api-Key", KEY),
        ]
        sent_s = self._record.write(
            f"caller sends {attempt} POST {path} to {entry.name}"
        )
        answer = await call(
            f"{entry.ip}:{FRONT_PORT}",
            "POST",
            path,
            headers,
            b"booking",
            deadline_ms / 1000 + 1.0,
        )
        status = None if answer is None else answer[0]
        is_right = (
            answer is not None
            and SEAL.lower() in answer[1]
            and answer[2] == f"answer to {attempt}".encode()
        )
        self.results[attempt] = (sent_s, status, is_right)
        self._record.write(f"caller got for {attempt}: {status or 'no answer'}")


def main(
    folder: pathlib.Path,
    play: Callable[[Record, Fleet, bool], Awaitable[int]],
    **fleet_size: int,
) -> None:
    """Play a case and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.say(f"trouble: {trouble}")
    fleet = Fleet(record, **fleet_size)

    async def run() -> int:
        """Send requests until cancelled."""
        try:
            return await asyncio.wait_for(play(record, fleet, trouble), 110.0)
        except TimeoutError:
            record.say("the case took too long")
            return 2

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    status = 2
    try:
        status = asyncio.run(run())
    except Exception as error:  # the case couldn't run
        record.say(f"the case could not run: {error!r}")
    finally:
        with contextlib.suppress(Exception):
            for node in fleet.nodes:
                node.signal(signal.SIGCONT)
        fleet.stop()
    record.say({0: "HELD", 1: "BROKEN", 2: "NOT RUN"}[status])
    sys.exit(status)
