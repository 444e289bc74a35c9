"""The real programs of the platform as processes on loopback."""

from __future__ import annotations

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

__all__ = ["DATA_CENTRES", "SoakFleet", "SoakProcess"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA_CENTRES = ("a", "b", "c")
PEER_PORT = 7720
CONTROL_PORT = 8748
FRONT_PORT = 8740
READY_PORT = 8749
GRACE_S = 4.0

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
      data_centre: where it is.
      folder: its settings, log and disk.
      process: the process, while it runs.
      paused: whether it is stopped by a signal.
    """

    name: str
    role: str
    ip: str
    data_centre: str
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    paused: bool = False

    @property
    def disk(self) -> pathlib.Path:
        """The folder of its disk."""
        return self.folder / "disk"

    def signal(self, number: int) -> None:
        """Send the process a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None
        self.paused = False

    def wipe(self) -> None:
        """Lose the disk; the process must not run."""
        shutil.rmtree(self.disk, ignore_errors=True)

    def limit_files(self, size_bytes: int) -> None:
        """Let no file grow over a size; a negative size lifts the limit."""
        if self.process is None:
            return
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        soft = resource.RLIM_INFINITY if size_bytes < 0 else size_bytes
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (soft, hard))


class SoakFleet:
    """Three control VMs and three entries, one of each in a data centre.

    Args:
      folder: where settings, logs and disks go.
      number: tells fleets on one machine apart, 256 to 65,535; their loopback
        addresses come from it.
      list_address: HOST:PORT of the platform's list.

    Attributes:
      processes: by the VM's name.
      fronts: the ways of callers to the entries, by name.
      operators: the ways of operators to the control VMs, by name.
    """

    def __init__(self, folder: pathlib.Path, number: int, list_address: str) -> None:
        self._list_address = list_address
        self._first_start = True
        self.processes: dict[str, SoakProcess] = {}
        self.fronts: dict[str, FaultProxy] = {}
        self.operators: dict[str, FaultProxy] = {}
        shutil.rmtree(folder, ignore_errors=True)
        for position, data_centre in enumerate(DATA_CENTRES, 1):
            for role, part in (("control", 10), ("entry", 20)):
                name = f"{role}-{data_centre}"
                own = folder / name
                own.mkdir(parents=True)
                ip = f"127.{number // 256}.{number % 256}.{part + position}"
                self.processes[name] = SoakProcess(name, role, ip, data_centre, own)

    def of_role(self, role: str) -> list[SoakProcess]:
        """Return the processes of a role."""
        return [p for p in self.processes.values() if p.role == role]

    async def start(self) -> None:
        """Start all processes and the proxies before them."""
        for process in self.processes.values():
            self.launch(process)
        self._first_start = False
        for process in self.of_role("entry"):
            proxy = FaultProxy(f"{process.ip}:{FRONT_PORT}")
            await proxy.start()
            self.fronts[process.name] = proxy
        for process in self.of_role("control"):
            proxy = FaultProxy(f"{process.ip}:{CONTROL_PORT}")
            await proxy.start()
            self.operators[process.name] = proxy

    async def stop(self) -> None:
        """End all processes and proxies."""
        for proxy in [*self.fronts.values(), *self.operators.values()]:
            await proxy.stop()
        for process in self.processes.values():
            process.kill()

    def launch(self, process: SoakProcess) -> None:
        """Start a process, unless it runs; its disk is as it was left.

        Faults overlap: two of them may end with the start of the same process.
        """
        if process.process is not None and process.process.poll() is None:
            return
        settings = process.folder / "settings.toml"
        settings.write_text(self._settings(process))
        with (process.folder / "output.log").open("ab") as output:
            process.process = subprocess.Popen(
                [sys.executable, "-m", "endivesill.platform", process.role],
                cwd=ROOT,
                env={**os.environ, "ENDIVESILL_NODE_FILE": str(settings)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        process.paused = False

    def _settings(self, process: SoakProcess) -> str:
        controls = self.of_role("control")
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
            bootstrap=str(self._first_start).lower(),
            folder="" if is_entry else process.disk,
            listen=listen,
            grace_s=GRACE_S,
            list_address=self._list_address,
            list_rate_per_s=LIST_RATE_PER_S,
        )
