"""Replicas as processes on loopback, and relays that count their bytes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

from bench.control_state import BENCH_KEY
from bench.ports import free_ports
from endivesill import errors
from endivesill.control import RemoteControlClient
from endivesill.http_peers import HttpPeerTransport
from endivesill.keys import KeyRing
from endivesill.timer import SystemTimer

__all__ = ["Processes", "Relay"]

RELAY_CHUNK_BYTES = 65_536
START_TIMEOUT_S = 30.0
POLL_S = 0.02


class Relay:
    """Passes connections on to a replica and counts the bytes both ways."""

    def __init__(self, address: str, target: str) -> None:
        self._address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self.bytes = 0

    async def start(self) -> None:
        """Listen."""
        host, port = self._address.split(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Accept no more and end the connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(POLL_S)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target.split(":")
        with contextlib.suppress(OSError):
            inner_reader, inner_writer = await asyncio.open_connection(host, int(port))
            self._writers += [writer, inner_writer]
            await asyncio.gather(
                self._pump(reader, inner_writer), self._pump(inner_reader, writer)
            )
        writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(RELAY_CHUNK_BYTES):
                self.bytes += len(data)
                writer.write(data)
        writer.close()


class Processes:
    """A cluster of replica processes.

    Args:
      size: how many replicas.
      folder: where their data folders go.
      relayed: whether the replicas reach each other through relays.
    """

    def __init__(self, size: int, folder: pathlib.Path, relayed: bool = False) -> None:
        self._folder = folder
        free = [f"127.0.0.1:{port}" for port in free_ports(2 * size)]
        listens = free[:size]
        self.addresses = free[size:] if relayed else listens
        self._listens = dict(zip(self.addresses, listens, strict=True))
        self.relays = {
            address: Relay(address, listen)
            for address, listen in self._listens.items()
            if relayed
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.timer = SystemTimer()
        self.transport = HttpPeerTransport("127.0.0.1:1", KeyRing([BENCH_KEY]))

    async def start(self) -> None:
        """Start everything and wait for a leader."""
        for relay in self.relays.values():
            await relay.start()
        for address in self.addresses:
            self.spawn(address)
        await self.leader()

    def spawn(self, address: str) -> None:
        """Start one replica's process."""
        folder = self._folder / address.replace(":", "-")
        command = [sys.executable, "-m", "bench.control_runner"]
        command += [self._listens[address], address, ",".join(self.addresses)]
        self.processes[address] = subprocess.Popen([*command, str(folder)])

    def kill(self, address: str) -> None:
        """End one replica's process with SIGKILL."""
        process = self.processes.pop(address)
        process.send_signal(signal.SIGKILL)
        process.wait()

    async def leader(self) -> str:
        """Wait for a leader and return its address."""
        end_s = self.timer.now_s() + START_TIMEOUT_S
        while self.timer.now_s() < end_s:
            for address in self.processes:
                answer = await self._ping(address)
                if answer is not None and answer["leads"]:
                    return address
            await self.timer.sleep(POLL_S)
        raise errors.UnavailableError("the bench's replicas have no leader")

    async def wait_applied(self, address: str, index: int) -> None:
        """Wait until a replica has applied an entry."""
        while True:
            answer = await self._ping(address)
            if answer is not None and answer["applied_index"] >= index:
                return
            await self.timer.sleep(POLL_S)

    async def _ping(self, address: str) -> dict | None:
        try:
            return await self.transport.call(address, "/bench/ping", {}, 1.0)
        except errors.PeerUnreachableError:
            return None

    def client(self) -> RemoteControlClient:
        """Return a client of the cluster."""
        return RemoteControlClient(self.timer, self.transport, tuple(self.addresses))

    async def run_clients(self, clients: int, duration_s: float) -> int:
        """Run clients in a process of their own; return how often they commit."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.control_clients",
            ",".join(self.addresses),
            str(clients),
            str(duration_s),
            stdout=subprocess.PIPE,
        )
        output, _ = await process.communicate()
        return int(output)

    def processor_s(self, address: str) -> float:
        """Return the processor time that a replica has used."""
        text = pathlib.Path(f"/proc/{self.processes[address].pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self, address: str) -> int:
        """Return the memory that a replica holds."""
        text = pathlib.Path(f"/proc/{self.processes[address].pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    async def stop(self) -> None:
        """End all processes and relays."""
        for address in list(self.processes):
            self.kill(address)
        for relay in self.relays.values():
            await relay.stop()
        await self.transport.close()
