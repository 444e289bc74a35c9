"""A small deployment of the project's own programs, for the third review.

The programs are started with the commands of the deploy file, each on an address of its
own, with settings like those of the sheet of Hovslag: five core machines, some front
machines, model engines and plain ones.
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
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

from standins_3 import Answer, Engine, Provider, Request, call

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("dk-west-a", "dk-west-b", "dk-west-c")
PEER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT = 7200, 8748, 8740, 8749
ENGINE_PORT, LIST_PORT, METRICS_PORT = 8080, 8742, 9464
CORES, SLOTS, PLAIN_SLOTS, MEMORY_TOKENS = 5, 24, 6, 34_238
KEY, TENANT, HOST = "xd9dnn2ctnfzs989anu6", "huka270", "ficu95.example"
# A tenant with the highest priority on all routes.
URGENT_KEY, URGENT_TENANT = "wsjnbanfqasnmgkcuyj8", "yomu118"
START_S = 30.0

SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "dk-west"
internal_port_range = [{peer_port},{last_peer_port}]
seeds = [{seeds}]
bootstrap = true
counts_toward_tolerance = {counts}
discovery = "cloud"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = [{contracts}]
configuration_mode = "highest"
{data_directory}
[zones]
dk-west-a = "dk-west"
dk-west-b = "dk-west"
dk-west-c = "dk-west"
[listen_addresses]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = {disk_mb}
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
address = "{list_address}"
rate_per_s = 42.0
duties = []
max_lag_ms = 800
"""
CONTRACTS = (
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
)


def route(
    name: str,
    kind: str,
    service: str,
    timeout_ms: int,
    target_ms: int,
    priority: int,
    **fields: Any,
) -> dict[str, Any]:
    """Return a route of the desired state, with the prefix /NAME/."""
    attempts = 2 if kind == "safe" else 1
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": priority,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        "session_affinity": kind == "streaming",
        "stream_resumption": False,
        "gap_target_ms": 180,
        **fields,
    }


def desired_state(routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a desired state like that of the pages' example."""
    engine = {
        "slots": SLOTS,
        "kv_capacity_tokens": MEMORY_TOKENS,
        "kv_token_bytes": 35_136,
        "link_mbps": 5_100.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "most": 12,
        "pin_ms": 4_000.0,
        "hold_ms": 2_000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    common = {"health_path": "/health", "protocol": "h1", "tls": False}
    model = {"max_connections": 242, "cold_start_s": 1.0, "cold_per_s": 40.0}
    plain = {"max_connections": 100, "cold_start_s": 0.0, "cold_per_s": 0.0}
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {"name": "huvo11a", **common, **model, "engine": engine},
            {"name": "wuno96b", **common, **plain},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": TENANT, "api_keys": [KEY]},
            {"name": URGENT_TENANT, "api_keys": [URGENT_KEY], "priority": 0},
        ],
    }


class CannotRunError(Exception):
    """The case could not be run."""


class Deployment:
    """Processes of the project, with stand-ins around them.

    Args:
      folder: folder of the case; `record.txt` is written there.
      fronts: number of front machines.

    Attributes:
      model_engines: the engines of the model.
      plain_engines: the engines of the plain service.
      fronts: addresses for requesters.
      on_run: called with an engine and a request as it begins to run there.
    """

    def __init__(self, folder: pathlib.Path, fronts: int = 2) -> None:
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: list[subprocess.Popen[bytes]] = []
        self._logs: list[Any] = []
        self._block = _free_block()
        self._front_count = fronts
        self._list_address = f"{self._block}.200:{LIST_PORT}"
        self._next_id = random.getrandbits(40)
        self.on_run: Callable[[Engine, Request], None] = lambda engine, request: None
        self.model_engines: list[Engine] = []
        self.plain_engines: list[Engine] = []
        for number in range(9):
            is_model = number < 6
            engine = Engine(
                f"i-{number:08x}",
                "huvo11a" if is_model else "wuno96b",
                ZONES[number % 3],
                f"{self._block}.{100 + number}:{ENGINE_PORT}",
                slots=SLOTS if is_model else PLAIN_SLOTS,
                memory_tokens=MEMORY_TOKENS if is_model else 0,
                seen=self._note_seen,
            )
            (self.model_engines if is_model else self.plain_engines).append(engine)
        self.engines = [*self.model_engines, *self.plain_engines]
        by_address = {engine.address: engine for engine in self.model_engines}
        for engine in self.model_engines:
            engine.others = by_address
        self._provider = Provider(self._list_address, self.engines)
        self.fronts = [f"{self._block}.{20 + n}:{FRONT_PORT}" for n in range(fronts)]

    def record(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._record.write(f"{time.monotonic() - self._started_s:9.3f}  {text}\n")
        self._record.flush()

    def _note_seen(self, engine: Engine, request: Request, outcome: str) -> None:
        attempt_id = request.headers.get("x-endivesill-request-attempt-id", "-")
        extra = "".join(
            f" {name}={request.headers[name]}"
            for name in ("kv-from", "last-event-id", "x-endivesill-expected-version")
            if name in request.headers
        )
        self.record(f"{engine.identity} {outcome} {attempt_id}{extra}")
        if outcome == "run":
            self.on_run(engine, request)

    async def start(self, state: dict[str, Any]) -> None:
        """Start all, and wait until the desired state is in force at the fronts.

        Raises:
          CannotRunError: it is not, after some time.
        """
        await self._provider.start()
        for engine in self.engines:
            await engine.start()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        roles = {role["serves"][0]: role["run"] for role in deploy["roles"].values()}
        for number in range(CORES):
            self._launch("control", roles["control"], number)
        for number in range(self._front_count):
            self._launch("front", roles["front"], number)
        await self.replace(state)
        ends_s = time.monotonic() + START_S
        while not all([await self._is_ready(front) for front in self.fronts]):
            if time.monotonic() > ends_s:
                raise CannotRunError("the fronts are not ready")
            await asyncio.sleep(0.2)
        # Engines are verified, and leases of the fronts are granted.
        await asyncio.sleep(5.0)
        self.record("ready")

    async def replace(self, state: dict[str, Any]) -> None:
        """Send a desired state until it has an ack.

        Raises:
          CannotRunError: it has none, after some time.
        """
        ends_s = time.monotonic() + START_S
        while not await self._replace(state):
            if time.monotonic() > ends_s:
                raise CannotRunError("the desired state has no ack")
            await asyncio.sleep(0.2)
        self.record(f"ack of the desired state {state['version']}")

    async def _replace(self, state: dict[str, Any]) -> bool:
        address = f"{self._block}.{10 + random.randrange(CORES)}:{CONTROL_PORT}"
        headers = {"Host": address, "Content-Type": "application/json"}
        body = json.dumps(state).encode()
        path = "/Configuration.Replace"
        answer = await call(address, "POST", path, headers, body, timeout_s=2)
        return answer.status == 200

    async def _is_ready(self, front: str) -> bool:
        address = front.replace(f":{FRONT_PORT}", f":{READY_PORT}")
        headers = {"Host": address}
        answer = await call(address, "GET", "/readiness", headers, timeout_s=1)
        return answer.status == 200

    def _launch(self, serves: str, command: str, number: int) -> None:
        is_front = serves == "front"
        ip = f"{self._block}.{(20 if is_front else 10) + number}"
        name = f"{serves}-{number}"
        folder = self._folder / name
        folder.mkdir()
        seeds = [f"{self._block}.{10 + n}:{CONTROL_PORT}" for n in range(3)]
        listen = (
            f'front = "{ip}:{FRONT_PORT}"\nready = "{ip}:{READY_PORT}"'
            if is_front
            else f'control = "{ip}:{CONTROL_PORT}"'
        )
        text = SETTINGS.format(
            name=name,
            role="entry" if is_front else "control",
            machine_class="front" if is_front else "core",
            serves=serves,
            ip=ip,
            zone=ZONES[number % 3],
            peer_port=PEER_PORT,
            last_peer_port=PEER_PORT + 15,
            seeds=",".join(f'"{seed}"' for seed in seeds),
            counts="false" if is_front else "true",
            contracts=",".join(f'"{item}"' for item in CONTRACTS),
            data_directory=(
                "" if is_front else f'data_directory = "{folder / "disk"}"'
            ),
            listen=listen,
            memory_mb=150 if is_front else 296,
            disk_mb=0 if is_front else 128,
            list_address=self._list_address,
        )
        settings = folder / "local.toml"
        settings.write_text(text)
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ENDIVESILL_NODE_FILE"] = str(settings)
        log = (folder / "log").open("wb")
        self._logs.append(log)
        process = subprocess.Popen(
            command.split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self._processes.append(process)

    def new_id(self) -> str:
        """Return the id of a new requester attempt."""
        self._next_id += 1
        return f"{self._next_id:016x}"

    async def ask(
        self,
        name: str,
        *,
        front: int = 0,
        tokens: tuple[int, int] | None = None,
        remaining_ms: int = 6_000,
        session: str = "",
        leaves_at: bytes = b"",
        **headers: str,
    ) -> Answer:
        """Send one request of a route, and record what became of it.

        Args:
          name: the route.
          front: the front machine.
          tokens: tokens of the prompt, and most of the output, of a generation.
          remaining_ms: time budget.
          session: last part of the prompt; one of its own by default.
          leaves_at: bytes of the body after which the client closes the channel.
          headers: further headers, with `_` for `-`.
        """
        attempt_id = self.new_id()
        fields = {
            "Host": HOST,
            "X-Endivesill-Request-Attempt-Id": attempt_id,
            "X-Endivesill-Deadline-Remaining": str(remaining_ms),
            "Api-Key": KEY,
        }
        if tokens is not None:
            fields["X-Endivesill-Model"] = "m"
            fields["X-Endivesill-Token-Counts"] = f"{tokens[0]},{tokens[1]}"
            fields["X-Endivesill-Prompt-Prefix"] = (
                f"{session or attempt_id}:{tokens[0]}"
            )
        fields |= {key.replace("_", "-"): value for key, value in headers.items()}
        method = "GET" if name.endswith("-read") else "POST"
        body = b"" if method == "GET" else b"{}"
        self.record(f"sent {attempt_id} {name} to front-{front} {tokens or ''}")
        answer = await call(
            self.fronts[front],
            method,
            f"/{name}/2f",
            fields,
            body,
            timeout_s=remaining_ms / 1_000,
            leaves_at=leaves_at,
        )
        answer.headers["attempt"] = attempt_id
        self.record(
            f"answered {attempt_id} {name} {answer.status or 'nothing'}"
            f" {'whole' if answer.is_whole else 'cut'} after {answer.took_s:.3f} s"
        )
        return answer

    async def stop(self) -> None:
        """End all that was started."""
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self._processes:
            process.wait()
        for log in self._logs:
            log.close()
        for server in (*self.engines, self._provider):
            await server.stop()
        if os.environ.get("KEEP"):
            self.record(f"logs are kept in {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)
        self._record.close()


def _free_block() -> str:
    """Return the first three bytes of loopback addresses that nobody uses."""
    for _ in range(50):
        block = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        try:
            for host in (10, 20, 100, 200):
                for port in (PEER_PORT, FRONT_PORT, CONTROL_PORT, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{block}.{host}", port))
        except OSError:
            continue
        return block
    raise CannotRunError("no free loopback addresses")


def has_trouble() -> bool:
    """Return whether the disruption is to be made; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    file: str, play: Callable[[Deployment], Awaitable[int]], fronts: int
) -> int:
    """Play a case in a deployment of its own; return the exit status.

    Args:
      file: the program of the case; its folder gets the record.
      play: plays it, and returns 1 if the rule was broken, else 0.
      fronts: number of front machines.
    """

    async def run(deployment: Deployment) -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await play(deployment)
        except CannotRunError as error:
            deployment.record(f"could not run: {error}")
            return 2
        finally:
            await deployment.stop()

    return asyncio.run(run(Deployment(pathlib.Path(file).resolve().parent, fronts)))
