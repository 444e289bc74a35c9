"""A small fleet of real processes on loopback, for the demo and the soak.

All processes are children of the script that uses it.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs

from bench.ports import free_ports
from endivesill.keys import hash_key

__all__ = ["Fleet", "FleetPlan", "ManagedProcess"]

PEER_KEY = "fleet-key-for-one-run"
CALLER_KEY = "caller-key-for-one-run"
STARTUP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1


class ManagedProcess:
    """A child process that can be killed, stopped, suspended and restarted.

    Args:
      name: its name; its output goes to NAME.out.
      arguments: its command line.
      folder: folder of the output file, to which each start appends.
    """

    def __init__(
        self, name: str, arguments: Sequence[str], folder: pathlib.Path
    ) -> None:
        self.name = name
        self._arguments = list(arguments)
        self._output = folder / f"{name}.out"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """The process id; 0 before the first start."""
        return self._process.pid if self._process else 0

    def start(self) -> None:
        """Start the process; it must not be running."""
        with self._output.open("ab") as output:
            self._process = subprocess.Popen(
                self._arguments, stdout=output, stderr=output, stdin=subprocess.DEVNULL
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, if it is running, and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def wait_stopped(self, limit_s: float) -> int | None:
        """Wait for the process to exit; return its exit code, None on timeout."""
        waited_s = 0.0
        while self.is_running and waited_s < limit_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            waited_s += POLL_INTERVAL_S
        return self._process.poll() if self._process else None


@attrs.frozen
class FleetPlan:
    """Size of the fleet; VMs and targets go to the data centres in rotation.

    Attributes:
      data_centres: names of the data centres.
      vms: number of entries; the first `control_vms` of them are control VMs too.
      control_vms: number of control VMs.
      engines: number of stand-in engines.
      plain_services: number of stand-ins of the plain service.
      token_s: time between tokens of an engine.
      balancer_lag_s: the VMs' setting of that name.
    """

    data_centres: tuple[str, ...] = ("dk-west-a", "dk-west-b", "dk-west-c")
    vms: int = 3
    control_vms: int = 3
    engines: int = 2
    plain_services: int = 1
    token_s: float = 0.02
    balancer_lag_s: float = 1.0


class Fleet:
    """Daemons and stand-ins with their settings in one folder.

    Args:
      plan: the size of the fleet.
      folder: folder for settings, state and logs; deleted first.

    Attributes:
      vm_names: names of the VMs; vm-1 is the first.
      caller_addresses: HOST:PORT for callers, by VM name.
      operator_addresses: HOST:PORT for operators, by VM name.
      peer_addresses: HOST:PORT for peers, by VM name.
      engines: HOST:PORT of the stand-in engines, by name.
      plain_services: HOST:PORT of the stand-ins of the plain service, by name.
      key_file: file with the key of operators and peers.
      processes: all processes, by name.
    """

    def __init__(self, plan: FleetPlan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        ports = iter(free_ports(3 * plan.vms + plan.engines + plan.plain_services))
        self.vm_names = [f"vm-{number}" for number in range(1, plan.vms + 1)]
        self.caller_addresses = {
            name: f"127.0.0.1:{next(ports)}" for name in self.vm_names
        }
        self.operator_addresses = {
            name: f"127.0.0.1:{next(ports)}" for name in self.vm_names
        }
        self.peer_addresses = {
            name: f"127.0.0.1:{next(ports)}" for name in self.vm_names
        }
        self.engines = {
            f"engine-{n}": f"127.0.0.1:{next(ports)}"
            for n in range(1, plan.engines + 1)
        }
        self.plain_services = {
            f"app-{n}": f"127.0.0.1:{next(ports)}"
            for n in range(1, plan.plain_services + 1)
        }
        self.key_file = folder / "keys.txt"
        self.key_file.write_text(PEER_KEY + "\n", encoding="utf-8")
        self.processes: dict[str, ManagedProcess] = {}
        self._write_operator_folder()
        for name in self.vm_names:
            self._add_daemon(name)
        self._add_standins()

    @property
    def operator_folder(self) -> pathlib.Path:
        """The folder of configuration documents that operators apply."""
        return self.folder / "operators"

    def data_centre(self, number: int) -> str:
        """Return the data centre of a VM, engine or plain service, counted from 0."""
        return self.plan.data_centres[number % len(self.plan.data_centres)]

    def _write_operator_folder(self) -> None:
        self.operator_folder.mkdir()
        lines = []
        for name in self.plan.data_centres:
            lines += [f"[data-centre {name}]", "region = dk-west", ""]
        for number, name in enumerate(self.vm_names):
            lines += [f"[vm {name}]", f"data_centre = {self.data_centre(number)}", ""]
        self._write_ini("10-places.ini", lines)
        lines = [
            "[service plan-llm]",
            "protocol = engine",
            "",
            "[service stable-app]",
            "protocol = plain",
            "path_prefix = /stable",
            "deadline_s = 10",
            "non_repeatable = POST:/bookings",
            "",
            "[organisation farriers]",
            f"key_sha256 = {hash_key(CALLER_KEY)}",
            "maximum_requests = 1000",
        ]
        self._write_ini("20-services.ini", lines)
        lines = []
        for number, (name, address) in enumerate(self.engines.items()):
            lines += self._target_section(name, "plan-llm", address, number)
            lines += ["memory_tokens = 100000", "checks_fencing = yes", ""]
        for number, (name, address) in enumerate(self.plain_services.items()):
            lines += [*self._target_section(name, "stable-app", address, number), ""]
        self._write_ini("30-targets.ini", lines)

    def _target_section(
        self, name: str, service: str, address: str, number: int
    ) -> list[str]:
        return [
            f"[target {name}]",
            f"service = {service}",
            f"url = http://{address}",
            f"data_centre = {self.data_centre(number)}",
        ]

    def _write_ini(self, name: str, lines: list[str]) -> None:
        text = "\n".join(lines) + "\n"
        (self.operator_folder / name).write_text(text, encoding="utf-8")

    def _add_daemon(self, name: str) -> None:
        number = self.vm_names.index(name)
        controls = [
            self.peer_addresses[vm] for vm in self.vm_names[: self.plan.control_vms]
        ]
        roles = "entry control" if number < self.plan.control_vms else "entry"
        text = f"""[vm]
name = {name}
data_centre = {self.data_centre(number)}
region = dk-west
roles = {roles}
caller_address = {self.caller_addresses[name]}
operator_address = {self.operator_addresses[name]}
peer_address = {self.peer_addresses[name]}
join_addresses = {" ".join(self.peer_addresses.values())}
control_addresses = {" ".join(controls)}
data_folder = {self.folder / name}
key_file = {self.key_file}
log_file = {self.folder / (name + ".log")}
balancer_lag_s = {self.plan.balancer_lag_s}
"""
        settings = self.folder / f"{name}.ini"
        settings.write_text(text, encoding="utf-8")
        arguments = [sys.executable, "-m", "endivesill.daemon", str(settings)]
        self.processes[name] = ManagedProcess(name, arguments, self.folder)

    def _add_standins(self) -> None:
        token_s = str(self.plan.token_s)
        for name, address in self.engines.items():
            arguments = [sys.executable, "-m", "bench.standin_engine", address]
            arguments += [
                "--token-s",
                token_s,
                "--record",
                str(self._record_path(name)),
            ]
            self.processes[name] = ManagedProcess(name, arguments, self.folder)
        for name, address in self.plain_services.items():
            arguments = [sys.executable, "-m", "bench.standin_plain", address]
            arguments += ["--record", str(self._record_path(name))]
            self.processes[name] = ManagedProcess(name, arguments, self.folder)

    async def start(self) -> None:
        """Start all processes, apply the folder and wait until all VMs are ready.

        Raises:
          RuntimeError: the fleet is not ready in time.
        """
        for process in self.processes.values():
            process.start()
        await self._wait_until_operable()
        await self.run_command(
            "config", "apply", str(self.operator_folder), "--number", "1"
        )
        for name in self.vm_names:
            await self.wait_until_ready(name)

    async def _wait_until_operable(self) -> None:
        waited_s = 0.0
        while True:
            try:
                await self.run_command("control", "status")
                return
            except RuntimeError:
                if waited_s > STARTUP_TIMEOUT_S:
                    raise
            await asyncio.sleep(POLL_INTERVAL_S)
            waited_s += POLL_INTERVAL_S

    async def wait_until_ready(
        self, name: str, limit_s: float = STARTUP_TIMEOUT_S
    ) -> None:
        """Wait until an entry reports ready to the load balancer.

        Raises:
          RuntimeError: it is not ready in time.
        """
        waited_s = 0.0
        while not await self.is_ready(name):
            if waited_s > limit_s:
                raise RuntimeError(f"{name} is not ready within {limit_s} s")
            await asyncio.sleep(POLL_INTERVAL_S)
            waited_s += POLL_INTERVAL_S

    async def is_ready(self, name: str) -> bool:
        """Tell whether an entry reports ready; False if it does not respond."""
        url = f"http://{self.caller_addresses[name]}/health/ready"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def run_command(self, *arguments: str) -> Any:
        """Run the command-line tool against the fleet; return its decoded JSON.

        Raises:
          RuntimeError: it exited with a non-zero status.
        """
        servers: list[str] = []
        for address in self.operator_addresses.values():
            servers += ["--server", address]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "endivesill",
            *arguments,
            *servers,
            "--key-file",
            str(self.key_file),
            "--output",
            "json",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, error = await process.communicate()
        if process.returncode != 0:
            text = " ".join(arguments)
            raise RuntimeError(
                f"{text} exited with {process.returncode}: {error.decode().strip()}"
            )
        return json.loads(output) if output.strip() else None

    def _record_path(self, standin: str) -> pathlib.Path:
        return self.folder / f"{standin}.record"

    def recorded_tags(self, standin: str) -> collections.Counter[str]:
        """Return how often a stand-in ran each tag, over all its restarts.

        Read from the file that the stand-in appends to.
        """
        path = self._record_path(standin)
        if not path.exists():
            return collections.Counter()
        return collections.Counter(path.read_text(encoding="utf-8").splitlines())

    async def reclaim(self, engine: str, notice_s: float = 5.0) -> None:
        """Give an engine notice that it will be reclaimed in `notice_s` seconds."""
        url = f"http://{self.engines[engine]}/standin/leave?in_s={notice_s}"
        async with aiohttp.ClientSession() as session, session.post(url):
            return

    async def fetch_runs(self, standin: str) -> Any:
        """Return the runs that a stand-in reports since its last start.

        For an engine the number of starts by generation id, for a plain service the
        list of its calls.
        """
        address = {**self.engines, **self.plain_services}[standin]
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}/standin/ran") as response,
        ):
            return await response.json()

    def stop(self) -> None:
        """Kill all processes that are running, also suspended ones."""
        for process in self.processes.values():
            if process.is_running:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
