"""Watching VMs over real HTTP on loopback, in one process."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

from endivesill.configuration.control_replica import ControlReplicaView
from endivesill.configuration.model import Configuration
from endivesill.configuration.replica import (
    PROBE_PATH,
    ConfigurationReplica,
    ReplicaEndpoint,
)
from endivesill.configuration.state import APPLY
from endivesill.configuration.tree import parent_of
from endivesill.configuration.watcher import ConfigurationWatcher
from endivesill.control.disk import FileDisk
from endivesill.control.replica import ControlReplica
from endivesill.http_peers import HttpPeerTransport
from endivesill.kernel import Kernel
from endivesill.keys import KeyRing, hash_key
from endivesill.membership.view import StaticMembership, VmRecord
from endivesill.peers import Message
from endivesill.server import HttpServer
from endivesill.timer import SystemTimer

__all__ = ["ByteCount", "WatcherFleet", "apply_message", "documents"]

KEYS = KeyRing(["key-of-the-benches"])
HOST = "127.0.0.1"
PROPOSE_TIMEOUT_S = 10.0


class ByteCount:
    """Bytes that one listener has received and sent, HTTP headers included."""

    def __init__(self) -> None:
        self.bytes = 0

    def watch(self, server: HttpServer) -> None:
        """Count the bytes of a listener that has not started yet."""
        count = self
        config = server._server.config
        base: Any = config.http

        class CountingProtocol(base):
            def connection_made(self, transport: Any) -> None:
                super().connection_made(_CountingTransport(transport, count))

            def data_received(self, data: bytes) -> None:
                count.bytes += len(data)
                super().data_received(data)

        config.http = CountingProtocol


class _CountingTransport:
    def __init__(self, inner: Any, count: ByteCount) -> None:
        self._inner = inner
        self._count = count

    def write(self, data: bytes) -> None:
        self._count.bytes += len(data)
        self._inner.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)


def documents(organisations: int, targets: int) -> dict[str, dict[str, Any]]:
    """Return the documents of a configuration of a size."""
    items: dict[str, dict[str, Any]] = {
        "service/plan-llm": {"protocol": "engine"},
        **{f"data-centre/dc-{n}": {"region": f"r{n // 2}"} for n in range(8)},
    }
    for n in range(organisations):
        key_sha256 = hash_key(f"key-{n}")
        items[f"organisation/organisation-{n:05d}"] = {"key_sha256": key_sha256}
    for n in range(targets):
        items[f"target/engine-{n:04d}"] = {
            "service": "plan-llm",
            "url": f"http://10.{n // 250}.0.{n % 250}:8000",
            "data_centre": f"dc-{n % 8}",
            "memory_tokens": 400_000,
        }
    return items


def apply_message(
    number: int, changed: dict[str, dict[str, Any]], base_revision: int
) -> Message:
    """Return the message of an apply."""
    return {
        "number": str(number),
        "digest": f"digest-{number}",
        "operator": "bench",
        "wall_time_s": 0.0,
        "base_revision": base_revision,
        "changed": changed,
        "removed": [],
        "origins": {},
    }


class WatcherFleet:
    """Three control replicas and some watching VMs.

    Args:
      size: how many VMs watch.
      data_centres: over how many data centres they are spread.
      folder: where the replicas' disks are.

    Attributes:
      counts: the bytes at each watcher's listener.
      roots: how many of them ask the replicas themselves.
      in_force_s: when each watcher put which revision in force.
    """

    def __init__(self, size: int, data_centres: int, folder: pathlib.Path) -> None:
        self.timer = SystemTimer()
        self.size = size
        self._data_centres = data_centres
        self._folder = folder
        self._servers: list[HttpServer] = []
        self._transports: list[HttpPeerTransport] = []
        self._kernels: list[Kernel] = []
        self._blocked: dict[HttpPeerTransport, Any] = {}
        self.replicas: list[ControlReplica] = []
        self.watchers: list[ConfigurationWatcher] = []
        self.roots = 0
        self.counts: list[ByteCount] = []
        self.replica_counts: list[ByteCount] = []
        self.in_force_s: list[dict[int, float]] = []

    async def start(self) -> None:
        """Start the replicas, then the watchers."""
        await self._start_replicas()
        transports = []
        for _ in range(self.size):
            count = ByteCount()
            self.counts.append(count)
            transports.append(await self._listen(count))
        records = tuple(
            self._record(n, transport.address) for n, transport in enumerate(transports)
        )
        parents = [parent_of(record.name, records) for record in records]
        self.roots = parents.count(None)
        for record, transport in zip(records, transports, strict=True):
            await self._start_watcher(record, transport, records)

    def _record(self, number: int, address: str) -> VmRecord:
        data_centre = number % self._data_centres
        region = f"r{data_centre // 2}" if self._data_centres > 3 else "r0"
        return VmRecord(f"vm-{number}", "i", address, f"dc-{data_centre}", region)

    async def _start_replicas(self) -> None:
        transports = []
        for _ in range(3):
            count = ByteCount()
            self.replica_counts.append(count)
            transports.append(await self._listen(count))
        self.control_addresses = tuple(t.address for t in transports)
        for number, transport in enumerate(transports):
            disk = FileDisk(str(self._folder / f"control-{number}"))
            replica = ControlReplica(
                self.timer, transport, disk, self.control_addresses
            )
            view: ConfigurationReplica = ControlReplicaView(replica)
            ReplicaEndpoint(self.timer, transport, view)
            self.replicas.append(replica)
        for replica in self.replicas:
            await replica.start()

    async def _listen(self, count: ByteCount) -> HttpPeerTransport:
        transport = HttpPeerTransport(f"{HOST}:0", KEYS)
        server = HttpServer(transport.address, transport.application())
        count.watch(server)
        await server.start()
        transport.address = server.address
        self._servers.append(server)
        self._transports.append(transport)
        return transport

    async def _start_watcher(
        self,
        record: VmRecord,
        transport: HttpPeerTransport,
        records: tuple[VmRecord, ...],
    ) -> None:
        kernel = Kernel(self.timer)
        watcher = ConfigurationWatcher(
            kernel,
            transport,
            StaticMembership(record.name, records, {}),
            record.name,
            self.control_addresses,
        )
        seen: dict[int, float] = {}

        def note(configuration: Configuration) -> None:
            seen[configuration.revision] = self.timer.now_s()

        watcher.subscribe(note)
        self.in_force_s.append(seen)
        self.watchers.append(watcher)
        self._kernels.append(kernel)
        await watcher.start()

    async def apply(self, number: int, changed: dict[str, Any], base: int) -> Message:
        """Commit a change through the first replica."""
        message = apply_message(number, changed, base)
        return await self.replicas[0].propose(APPLY, message, PROPOSE_TIMEOUT_S)

    def leases(self) -> list[bool]:
        """Return which watchers hold a lease."""
        return [watcher.holds_lease() for watcher in self.watchers]

    def block_replicas(self, count: int) -> None:
        """Let some replicas answer no more questions of the watchers."""
        for transport in self._transports[:count]:
            self._blocked[transport] = transport.handlers.pop(PROBE_PATH)

    def unblock_replicas(self) -> None:
        """Let all replicas answer again."""
        for transport, handler in self._blocked.items():
            transport.handlers[PROBE_PATH] = handler
        self._blocked.clear()

    def time_in_force_s(self, revision: int) -> float | None:
        """Return when the last VM had a revision, or None if one has not."""
        times = []
        for seen in self.in_force_s:
            reached = [time_s for r, time_s in seen.items() if r >= revision]
            if not reached:
                return None
            times.append(min(reached))
        return max(times)

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(watcher.stop() for watcher in self.watchers))
        for kernel in self._kernels:
            await kernel.stop()
        for replica in self.replicas:
            await replica.halt()
        for transport in self._transports:
            await transport.close()
        await asyncio.gather(*(server.stop() for server in self._servers))
