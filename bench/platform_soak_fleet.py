"""A fleet of real platform processes on loopback addresses."""

from __future__ import annotations

import contextlib
import os
import pathlib
import resource
import shutil
import signal
import subprocess
import sys

import attrs

from bench.fault_proxy import FaultProxy
from bench.platform_soak_targets import LIST_RATE_PER_S
from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.metrics_port import METRICS_PORT
from endivesill.timer import TimerService

__all__ = [
    "CONTROL_PORT",
    "DATA_CENTRES",
    "FRONT_PORT",
    "GRACE_S",
    "PEER_PORT",
    "READY_PORT",
    "SoakFleet",
    "SoakProcess",
]

REPOSITORY_FOLDER = pathlib.Path(__file__).resolve().parent.parent
DATA_CENTRES = ("a", "b", "c")
PEER_PORT = 7720
CONTROL_PORT = 8748
FRONT_PORT = 8740
READY_PORT = 8749
# Last bytes of the addresses, before the first data centre.
CONTROL_HOST = 10
ENTRY_HOST = 20
# Of control VMs that replace others.
FURTHER_CONTROL_HOST = 200
# Entries in one data centre that the addresses of a fleet have room for.
MAX_ENTRIES = 78
GRACE_S = 4.0
MAX_SEEDS = 3
LEADER_TIMEOUT_S = 0.3

SETTINGS = """
node_name = "{name}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{data_centre}"
internal_port_range = [{peer_port}, {peer_port}]
seeds = [{seeds}]
bootstrap = {bootstrap}
data_directory = "{folder}"
[listen_addresses]
{listen}
[fault_tolerance]
machines = 1
[bounds]
grace_s = {grace_s}
retry_budget_ratio = 0.2
retry_budget_slack = 50
budget_window_s = 10
cold_factor = 1.5
cold_slack = 5
{further_bounds}
[cloud]
address = "{list_address}"
rate_per_s = {list_rate_per_s}
"""


@attrs.define(eq=False)
class SoakProcess:
    """One VM's process.

    Attributes:
      name: the VM's name.
      role: `entry` or `control`.
      ip: its loopback address.
      data_centre: name of its data centre.
      folder: folder of its settings, log and disk.
      process: the process; None after `kill`.
      has_active_fault: whether a fault is in effect on it that excludes others.
    """

    name: str
    role: str
    ip: str
    data_centre: str
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    has_active_fault: bool = False

    @property
    def disk(self) -> pathlib.Path:
        """Its data directory."""
        return self.folder / "disk"

    def signal(self, number: int) -> None:
        """Send the process a signal, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also while suspended, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None
        self.has_active_fault = False

    def wipe_disk(self) -> None:
        """Delete the data directory; the process must not be running."""
        shutil.rmtree(self.disk, ignore_errors=True)

    def limit_file_size(self, size_bytes: int) -> None:
        """Set the process's file size limit; a negative size lifts it.

        Writes beyond the limit fail, as on a disk that is full.
        """
        if self.process is None:
            return
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        soft = resource.RLIM_INFINITY if size_bytes < 0 else size_bytes
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (soft, hard))


class SoakFleet:
    """A control VM and some entries in each of three data centres.

    Args:
      folder: folder for settings, logs and data directories; deleted first.
      number: number of the fleet, unique on the machine, 256 to 65,535; determines
        its loopback addresses.
      list_address: HOST:PORT of the platform's target list.
      grace_s: time from a SIGTERM to the end of a process.
      entries: entries in each data centre, up to `MAX_ENTRIES`.
      further_bounds: further lines of the bounds in the settings.

    Attributes:
      grace_s: the argument.
      processes: the processes by VM name.
      entry_proxies: the proxies between callers and entries, by VM name.
      control_proxies: the proxies between operators and control VMs, by VM name.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        number: int,
        list_address: str,
        grace_s: float = GRACE_S,
        entries: int = 1,
        further_bounds: str = "",
    ) -> None:
        self._further_bounds = further_bounds
        self._list_address = list_address
        self._folder = folder
        self._number = number
        self._further_controls = 0
        self.grace_s = grace_s
        self._is_first_start = True
        self.processes: dict[str, SoakProcess] = {}
        self.entry_proxies: dict[str, FaultProxy] = {}
        self.control_proxies: dict[str, FaultProxy] = {}
        shutil.rmtree(folder, ignore_errors=True)
        for position, data_centre in enumerate(DATA_CENTRES, 1):
            hosts = {f"control-{data_centre}": CONTROL_HOST + position}
            for extra in range(min(entries, MAX_ENTRIES)):
                name = f"entry-{data_centre}{extra + 1 if extra else ''}"
                hosts[name] = ENTRY_HOST + position + extra * len(DATA_CENTRES)
            for name, host in hosts.items():
                self._add_process(name, host, data_centre)

    def _add_process(self, name: str, host: int, data_centre: str) -> SoakProcess:
        folder = self._folder / name
        folder.mkdir(parents=True)
        ip = f"127.{self._number // 256}.{self._number % 256}.{host}"
        role = name.partition("-")[0]
        process = SoakProcess(name, role, ip, data_centre, folder)
        self.processes[name] = process
        return process

    async def add_control(self, data_centre: str) -> SoakProcess:
        """Start a control VM with an empty disk at a new address."""
        self._further_controls += 1
        name = f"control-{data_centre}{self._further_controls}"
        host = FURTHER_CONTROL_HOST + self._further_controls
        process = self._add_process(name, host, data_centre)
        self.launch(process)
        await self._start_control_proxy(process)
        return process

    async def remove_control(self, process: SoakProcess) -> None:
        """Remove a control VM for good; the settings of all others name its peers."""
        process.kill()
        del self.processes[process.name]
        await self.control_proxies.pop(process.name).stop()
        for other in self.processes.values():
            (other.folder / "settings.toml").write_text(self._settings(other))
            other.signal(signal.SIGHUP)

    def with_role(self, role: str) -> list[SoakProcess]:
        """Return the processes with a role."""
        return [p for p in self.processes.values() if p.role == role]

    async def find_leader(self, timer: TimerService) -> str:
        """Return the name of the control VM that says it leads; empty if none does."""
        pool = ConnectionPool(timer, LEADER_TIMEOUT_S, 0.0)
        request = b"GET /metrics HTTP/1.1\r\nHost: soak.example\r\n\r\n"
        for process in self.with_role("control"):
            exchange = pool.exchange(f"{process.ip}:{METRICS_PORT}", request)
            with contextlib.suppress(UpstreamError, errors.DeadlineExceededError):
                _, body = await timer.wait_for(exchange, LEADER_TIMEOUT_S)
                if b"endivesill_control_leads 1\n" in body:
                    return process.name
        return ""

    async def start(self) -> None:
        """Start all processes and proxies; only this start bootstraps the cluster."""
        for process in self.processes.values():
            self.launch(process)
        self._is_first_start = False
        for process in self.with_role("entry"):
            proxy = FaultProxy(f"{process.ip}:{FRONT_PORT}")
            await proxy.start()
            self.entry_proxies[process.name] = proxy
        for process in self.with_role("control"):
            await self._start_control_proxy(process)

    async def _start_control_proxy(self, process: SoakProcess) -> None:
        proxy = FaultProxy(f"{process.ip}:{CONTROL_PORT}")
        await proxy.start()
        self.control_proxies[process.name] = proxy

    async def stop(self) -> None:
        """Stop all proxies and kill all processes."""
        for proxy in [*self.entry_proxies.values(), *self.control_proxies.values()]:
            await proxy.stop()
        for process in self.processes.values():
            process.kill()

    def launch(self, process: SoakProcess) -> None:
        """Start a process on its existing data, unless it is running.

        Overlapping faults may both end by starting the same process.
        """
        if process.process is not None and process.process.poll() is None:
            return
        settings = process.folder / "settings.toml"
        settings.write_text(self._settings(process))
        with (process.folder / "output.log").open("ab") as output:
            process.process = subprocess.Popen(
                [sys.executable, "-m", "endivesill.platform", process.role],
                cwd=REPOSITORY_FOLDER,
                env={**os.environ, "ENDIVESILL_NODE_FILE": str(settings)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        process.has_active_fault = False

    def _settings(self, process: SoakProcess) -> str:
        # The platform names three control VMs.
        controls = self.with_role("control")[-MAX_SEEDS:]
        is_entry = process.role == "entry"
        listen = f'control = "{process.ip}:{CONTROL_PORT}"'
        if is_entry:
            listen = (
                f'front = "{process.ip}:{FRONT_PORT}"\n'
                f'ready = "{process.ip}:{READY_PORT}"'
            )
        return SETTINGS.format(
            name=process.name,
            serves="front" if is_entry else "control",
            ip=process.ip,
            data_centre=process.data_centre,
            peer_port=PEER_PORT,
            seeds=", ".join(f'"{c.ip}:{CONTROL_PORT}"' for c in controls),
            bootstrap=str(self._is_first_start).lower(),
            folder="" if is_entry else process.disk,
            listen=listen,
            grace_s=self.grace_s,
            further_bounds=self._further_bounds,
            list_address=self._list_address,
            list_rate_per_s=LIST_RATE_PER_S,
        )
