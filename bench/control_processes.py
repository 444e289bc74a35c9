"""Control replicas as processes on loopback, and proxies that count their traffic."""

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

__all__ = ["ByteCountingProxy", "ReplicaCluster"]

READ_CHUNK_BYTES = 65_536
START_TIMEOUT_S = 30.0
POLL_S = 0.02


class ByteCountingProxy:
    """Forwards connections to a replica and counts the bytes in both directions."""

    def __init__(self, address: str, upstream: str) -> None:
        self._address = address
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self.bytes = 0

    async def start(self) -> None:
        """Start to listen."""
        host, port = self._address.split(":")
        self._server = await asyncio.start_server(
            self._handle_connection, host, int(port)
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(POLL_S)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._upstream.split(":")
        with contextlib.suppress(OSError):
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers += [writer, upstream_writer]
            await asyncio.gather(
                self._forward(reader, upstream_writer),
                self._forward(upstream_reader, writer),
            )
        writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_CHUNK_BYTES):
                self.bytes += len(data)
                writer.write(data)
        writer.close()


class ReplicaCluster:
    """A cluster of replica processes.

    Args:
      size: number of replicas.
      folder: parent of the replicas' data folders.
      proxied: whether all traffic to the replicas goes through counting proxies.
    """

    def __init__(self, size: int, folder: pathlib.Path, proxied: bool = False) -> None:
        self._folder = folder
        free_addresses = [f"127.0.0.1:{port}" for port in free_ports(2 * size)]
        listen_addresses = free_addresses[:size]
        self.addresses = free_addresses[size:] if proxied else listen_addresses
        self._listen_addresses = dict(
            zip(self.addresses, listen_addresses, strict=True)
        )
        self.proxies = {
            address: ByteCountingProxy(address, listen_address)
            for address, listen_address in self._listen_addresses.items()
            if proxied
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.timer = SystemTimer()
        self.transport = HttpPeerTransport("127.0.0.1:1", KeyRing([BENCH_KEY]))

    async def start(self) -> None:
        """Start the proxies and replicas and wait for a leader."""
        for proxy in self.proxies.values():
            await proxy.start()
        for address in self.addresses:
            self.spawn(address)
        await self.wait_leader()

    def spawn(self, address: str) -> None:
        """Start the process of one replica, with its data folder if it ran before."""
        folder = self._folder / address.replace(":", "-")
        command = [sys.executable, "-m", "bench.control_runner"]
        command += [self._listen_addresses[address], address, ",".join(self.addresses)]
        self.processes[address] = subprocess.Popen([*command, str(folder)])

    def kill(self, address: str) -> None:
        """Kill the process of one replica with SIGKILL."""
        process = self.processes.pop(address)
        process.send_signal(signal.SIGKILL)
        process.wait()

    async def wait_leader(self) -> str:
        """Wait for a leader and return its address.

        Raises:
          UnavailableError: there was no leader within `START_TIMEOUT_S`.
        """
        end_s = self.timer.now_s() + START_TIMEOUT_S
        while self.timer.now_s() < end_s:
            for address in self.processes:
                response = await self._ping(address)
                if response is not None and response["leads"]:
                    return address
            await self.timer.sleep(POLL_S)
        raise errors.UnavailableError("the replicas elected no leader in time")

    async def wait_applied(self, address: str, index: int) -> None:
        """Wait until a replica has applied the log up to an index."""
        while True:
            response = await self._ping(address)
            if response is not None and response["applied_index"] >= index:
                return
            await self.timer.sleep(POLL_S)

    async def _ping(self, address: str) -> dict | None:
        try:
            return await self.transport.call(address, "/bench/ping", {}, 1.0)
        except errors.PeerUnreachableError:
            return None

    def client(self) -> RemoteControlClient:
        """Return a new client of the cluster."""
        return RemoteControlClient(self.timer, self.transport, tuple(self.addresses))

    async def run_clients(self, clients: int, duration_s: float) -> int:
        """Run clients in their own process; return the number of commits."""
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
        """Return the processor time that a replica has used since its start."""
        text = pathlib.Path(f"/proc/{self.processes[address].pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self, address: str) -> int:
        """Return the resident memory of a replica."""
        text = pathlib.Path(f"/proc/{self.processes[address].pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    async def stop(self) -> None:
        """Kill all replicas and stop the proxies."""
        for address in list(self.processes):
            self.kill(address)
        for proxy in self.proxies.values():
            await proxy.stop()
        await self.transport.close()
