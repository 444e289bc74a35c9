"""Starts the project's programs as separate processes on loopback addresses.

Only the standard library is used. Times are those of the monotonic clock since the
start of the run. `Record` writes what was sent, answered and run to `record.txt`.
"""

from __future__ import annotations

import asyncio
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
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
PEER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT = (
    7200,
    8748,
    8740,
    8749,
    9464,
)
ZONES = ("dk-west-a", "dk-west-b", "dk-west-c")
ATTEMPT_ID = "X-Endivesill-Request-Attempt-Id"
SEAL = "X-Endivesill-Response-Seal"
# The bounds of the sheet of hovslag-rounds.
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revocation": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 54,
    "cold_factor": 1.5,
    "cold_slack": 5,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 4.6,
}


class CannotRunError(Exception):
    """The case cannot be run here."""


class Record:
    """The log of a run, with a time on each line."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._start_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._start_s

    def note(self, text: str) -> None:
        """Write a line."""
        line = f"{self.now_s():8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Machine:
    """One machine with one process; its settings file is like that of DEPLOY.md."""

    def __init__(self, fleet: Fleet, name: str, role: str, zone: str, ip: str) -> None:
        self.fleet, self.name, self.role, self.zone, self.ip = (
            fleet,
            name,
            role,
            zone,
            ip,
        )
        self.folder = fleet.folder / name
        self.disk = self.folder / "disk"
        self.folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self._bootstrap = False

    def start(self, *, bootstrap: bool) -> None:
        """Write the settings and start the process."""
        self._bootstrap = bootstrap
        settings = self.write_settings()
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ENDIVESILL_NODE_FILE": str(settings),
        }
        with (self.folder / "output.log").open("ab") as output:
            self.process = subprocess.Popen(
                self.fleet.commands[self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def forget_first_start(self) -> None:
        """Write the settings anew; the whole system does not start any more."""
        self._bootstrap = False
        self.write_settings()

    def write_settings(self) -> pathlib.Path:
        """Write the settings file, as the platform does at any time."""
        fleet, bootstrap = self.fleet, self._bootstrap
        listen = {"control": f"{self.ip}:{CONTROL_PORT}"}
        if self.role == "entry":
            listen = {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            }
        else:
            self.disk.mkdir(exist_ok=True)
        is_core = self.role == "control"
        fields: dict[str, Any] = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "core" if is_core else "front",
            "serves": ["control" if is_core else "front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "dk-west",
            "internal_port_range": [PEER_PORT, PEER_PORT + 15],
            "seeds": fleet.seeds,
            "bootstrap": bootstrap,
            "counts_toward_tolerance": is_core,
            "discovery": "cloud",
            "entry": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "places",
            ],
            "configuration_mode": "highest",
        }
        if is_core:
            fields["data_directory"] = str(self.disk)
        tables = {
            "zones": dict.fromkeys(ZONES, "dk-west"),
            "listen_addresses": listen,
            "limits": {
                "cpu_share": 0.86 if is_core else 0.537,
                "cores": 3 if is_core else 2,
                "memory_mb": 296 if is_core else 150,
                "file_descriptors": 4096 if is_core else 4100,
                "link_mbps": 1000.0,
                "disk_mb": 128 if is_core else 0,
            },
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "cloud": {
                "address": fleet.list_address,
                "rate_per_s": 42.0,
                "duties": [],
                "max_lag_ms": 800,
            },
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(v)}" for key, v in values.items()]
        settings = self.folder / "local.toml"
        settings.write_text("\n".join(lines) + "\n")
        return settings

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal, if it runs."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def wait_end(self) -> None:
        """Wait until the process has ended by itself."""
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)

    def wipe(self) -> None:
        """Lose the disk; the process must have ended."""
        shutil.rmtree(self.disk, ignore_errors=True)


class Fleet:
    """Machines at loopback addresses of one free network."""

    def __init__(self, record: Record) -> None:
        self.record = record
        deps = ROOT / "target" / "deps"
        if not deps.is_dir():
            raise CannotRunError("target/deps is missing: build the deploy file first")
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.machines: list[Machine] = []
        self.list_address = ""
        self.seeds: list[str] = []
        self._network = _free_network()
        self._hosts = 9

    def add(self, name: str, role: str, zone: str) -> Machine:
        """Add a machine, which is not started yet."""
        self._hosts += 1
        machine = Machine(self, name, role, zone, f"{self._network}.{self._hosts}")
        self.machines.append(machine)
        return machine

    def address(self) -> str:
        """Return a further free address of the network, without a machine."""
        self._hosts += 1
        return f"{self._network}.{self._hosts}"

    def stop(self) -> None:
        """Kill all processes and remove their files."""
        for machine in self.machines:
            machine.kill()
        if "KEEP" in os.environ:
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def first_start(self, cores: int, fronts: int) -> None:
        """Start the whole system for the first time."""
        for index in range(cores):
            self.add(f"core-{index + 1}", "control", ZONES[(0, 1, 2, 0, 1)[index % 5]])
        for index in range(fronts):
            self.add(f"front-{index + 1}", "entry", ZONES[index % 3])
        self.seeds = [f"{m.ip}:{CONTROL_PORT}" for m in self.cores()[:3]]
        for machine in self.machines:
            machine.start(bootstrap=True)

    def name_seeds(self) -> None:
        """Name three core machines that run in all settings, and send SIGHUP."""
        running = [m for m in self.cores() if m.is_running]
        self.seeds = [f"{m.ip}:{CONTROL_PORT}" for m in running[-3:]]
        for machine in self.machines:
            if machine.is_running:
                machine.forget_first_start()
                machine.send(signal.SIGHUP)

    def cores(self) -> list[Machine]:
        """Return the machines that serve `control`."""
        return [m for m in self.machines if m.role == "control"]

    def fronts(self) -> list[Machine]:
        """Return the machines that serve `front`."""
        return [m for m in self.machines if m.role == "entry"]


def _free_network() -> str:
    for _ in range(50):
        network = f"127.{random.randint(100, 250)}.{random.randint(1, 250)}"
        try:
            for host in range(10, 30):
                for port in (PEER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT):
                    with socket.socket() as sock:
                        sock.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
    raise CannotRunError("no free loopback network")


# HTTP.


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )


Handler = Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve HTTP/1.1; a handler returns whether the channel is kept."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ")
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                if not await handler(
                    Request(method, target, headers, body), reader, writer
                ):
                    return
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(accept, host, port)


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded response."""
    lines = [f"HTTP/1.1 {status} S"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
    source: str = "",
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new channel and return the whole answer.

    Raises:
      OSError, EOFError, TimeoutError: there is no whole answer.
    """
    async with asyncio.timeout(timeout_s):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=(source, 0) if source else None
        )
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": address, **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, answered = await _read_head(reader)
            status = int(first.split(" ")[1])
            if answered.get("transfer-encoding") == "chunked":
                parts = []
                while size := int((await reader.readline()).split(b";")[0], 16):
                    parts.append(await reader.readexactly(size))
                    await reader.readexactly(2)
                data = b"".join(parts)
            else:
                data = await reader.readexactly(int(answered.get("content-length", 0)))
            return status, answered, data
        finally:
            writer.close()


# The platform and the operator.


class Listing:
    """The provider's list of engines; its rows may be changed at any time."""

    def __init__(self, record: Record) -> None:
        self.rows: list[dict[str, Any]] = []
        self._record = record

    async def start(self, fleet: Fleet) -> None:
        """Serve the list at an address of its own."""
        host = fleet.address()
        server = await serve(self._handle, host, 8742)
        self._server = server
        fleet.list_address = f"{host}:8742"

    async def _handle(self, request: Request, reader: Any, writer: Any) -> bool:
        body = json.dumps({"instances": self.rows, "next": None}).encode()
        writer.write(response(200, {"Content-Type": "application/json"}, body))
        return True


class Operator:
    """Sends orders as the page says: another node after a failure, the same again."""

    def __init__(self, record: Record, nodes: Callable[[], Iterable[Machine]]) -> None:
        self._record = record
        self._nodes = nodes

    async def replace(
        self, document: dict[str, Any], longest_s: float = 15.0
    ) -> Machine | None:
        """Send a desired state until it is acknowledged; return the node that did."""
        body = json.dumps(document).encode()
        pause_s = 0.1
        end_s = time.monotonic() + longest_s
        while time.monotonic() < end_s:
            node = random.choice([m for m in self._nodes() if m.is_running])
            try:
                status, _, _ = await call(
                    f"{node.ip}:{CONTROL_PORT}",
                    "POST",
                    "/Configuration.Replace",
                    {"Content-Type": "application/json"},
                    body,
                )
            except (OSError, EOFError, TimeoutError) as error:
                status = repr(error)
            self._record.note(
                f"operator: version {document['version']} to {node.name}: {status}"
            )
            if status == 200:
                return node
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, 1.0)
        return None

    async def read(self, node: Machine) -> int | None:
        """Read the desired state once; return its version, or None without one."""
        try:
            status, _, body = await call(
                f"{node.ip}:{CONTROL_PORT}", "GET", "/Configuration.Get"
            )
        except (OSError, EOFError, TimeoutError) as error:
            self._record.note(f"operator: read at {node.name}: {error!r}")
            return None
        version = json.loads(body)["version"] if status == 200 else None
        self._record.note(f"operator: read at {node.name}: {status}, version {version}")
        return version


async def metrics(machine: Machine) -> dict[str, float]:
    """Return a machine's own metrics; used for the record only, never judged."""
    try:
        _, _, body = await call(f"{machine.ip}:{METRICS_PORT}", "GET", "/metrics")
    except (OSError, EOFError, TimeoutError):
        return {}
    values = {}
    for line in body.decode().splitlines():
        name, _, value = line.rpartition(" ")
        try:
            values[name] = float(value)
        except ValueError:
            continue
    return values


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: Callable[[Record], Awaitable[bool]], folder: pathlib.Path) -> None:
    """Run a case: exit with 1 if its rule was broken, 0 if not, 2 if it can't run."""
    record = Record(folder)
    # So that the processes are ended as well if this one is told to stop.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def run() -> bool:
        async with asyncio.timeout(115):
            return await case(record)

    try:
        broken = asyncio.run(run())
    except CannotRunError as error:
        record.note(f"cannot run: {error}")
        sys.exit(2)
    except (Exception, KeyboardInterrupt) as error:
        record.note(f"cannot run: {error!r}")
        sys.exit(2)
    record.note("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
