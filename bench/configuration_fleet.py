"""Configuration watchers of many VMs in one process, over HTTP on loopback."""

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

__all__ = ["ByteCounter", "WatcherFleet", "make_apply_message", "make_documents"]

PEER_KEYS = KeyRing(["key-of-the-benches"])
HOST = "127.0.0.1"
PROPOSE_TIMEOUT_S = 10.0


class ByteCounter:
    """Counts the bytes received and sent by one server, with HTTP headers."""

    def __init__(self) -> None:
        self.bytes = 0

    def attach(self, server: HttpServer) -> None:
        """Count the bytes of a server; call this before the server starts."""
        counter = self
        config = server._server.config
        base_protocol: Any = config.http

        class CountingProtocol(base_protocol):
            def connection_made(self, transport: Any) -> None:
                super().connection_made(_CountingTransport(transport, counter))

            def data_received(self, data: bytes) -> None:
                counter.bytes += len(data)
                super().data_received(data)

        config.http = CountingProtocol


class _CountingTransport:
    def __init__(self, wrapped: Any, counter: ByteCounter) -> None:
        self._wrapped = wrapped
        self._counter = counter

    def write(self, data: bytes) -> None:
        self._counter.bytes += len(data)
        self._wrapped.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._wrapped, name)


def make_documents(organisations: int, targets: int) -> dict[str, dict[str, Any]]:
    """Return the documents of a configuration, by item key."""
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


def make_apply_message(
    number: int, changed: dict[str, dict[str, Any]], base_revision: int
) -> Message:
    """Return the message of an apply command; it removes nothing."""
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
    """Three control replicas and the configuration watchers of a fleet.

    Args:
      size: number of VMs with a watcher.
      data_centres: number of data centres that the VMs are spread over.
      folder: folder for the data of the replicas.

    Attributes:
      watcher_counters: byte counter of each watcher's server.
      replica_counters: byte counter of each replica's server.
      root_count: number of watchers that query the replicas directly.
      in_force_s: for each watcher, when it put each revision in force.
    """

    def __init__(self, size: int, data_centres: int, folder: pathlib.Path) -> None:
        self.timer = SystemTimer()
        self.size = size
        self._data_centres = data_centres
        self._folder = folder
        self._servers: list[HttpServer] = []
        self._transports: list[HttpPeerTransport] = []
        self._kernels: list[Kernel] = []
        self._blocked_handlers: dict[HttpPeerTransport, Any] = {}
        self.replicas: list[ControlReplica] = []
        self.watchers: list[ConfigurationWatcher] = []
        self.root_count = 0
        self.watcher_counters: list[ByteCounter] = []
        self.replica_counters: list[ByteCounter] = []
        self.in_force_s: list[dict[int, float]] = []

    async def start(self) -> None:
        """Start the replicas, then the watchers."""
        await self._start_replicas()
        transports = []
        for _ in range(self.size):
            counter = ByteCounter()
            self.watcher_counters.append(counter)
            transports.append(await self._start_server(counter))
        records = tuple(
            self._record(n, transport.address) for n, transport in enumerate(transports)
        )
        parents = [parent_of(record.name, records) for record in records]
        self.root_count = parents.count(None)
        for record, transport in zip(records, transports, strict=True):
            await self._start_watcher(record, transport, records)

    def _record(self, number: int, address: str) -> VmRecord:
        data_centre = number % self._data_centres
        region = f"r{data_centre // 2}" if self._data_centres > 3 else "r0"
        return VmRecord(f"vm-{number}", "i", address, f"dc-{data_centre}", region)

    async def _start_replicas(self) -> None:
        transports = []
        for _ in range(3):
            counter = ByteCounter()
            self.replica_counters.append(counter)
            transports.append(await self._start_server(counter))
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

    async def _start_server(self, counter: ByteCounter) -> HttpPeerTransport:
        transport = HttpPeerTransport(f"{HOST}:0", PEER_KEYS)
        server = HttpServer(transport.address, transport.application())
        counter.attach(server)
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
        times_s: dict[int, float] = {}

        def record_revision(configuration: Configuration) -> None:
            times_s[configuration.revision] = self.timer.now_s()

        watcher.subscribe(record_revision)
        self.in_force_s.append(times_s)
        self.watchers.append(watcher)
        self._kernels.append(kernel)
        await watcher.start()

    async def apply(self, number: int, changed: dict[str, Any], base: int) -> Message:
        """Commit a change through the first replica; return the response."""
        message = make_apply_message(number, changed, base)
        return await self.replicas[0].propose(APPLY, message, PROPOSE_TIMEOUT_S)

    def leases(self) -> list[bool]:
        """Return for each watcher whether it holds a lease."""
        return [watcher.holds_lease() for watcher in self.watchers]

    def block_probes(self, count: int) -> None:
        """Make some replicas reject the probes of the watchers."""
        for transport in self._transports[:count]:
            self._blocked_handlers[transport] = transport.handlers.pop(PROBE_PATH)

    def unblock_probes(self) -> None:
        """Make all replicas answer probes again."""
        for transport, handler in self._blocked_handlers.items():
            transport.handlers[PROBE_PATH] = handler
        self._blocked_handlers.clear()

    def last_in_force_s(self, revision: int) -> float | None:
        """Return when the last VM put a revision in force; None if one has not yet."""
        first_times_s = []
        for times_s in self.in_force_s:
            reached_s = [time_s for r, time_s in times_s.items() if r >= revision]
            if not reached_s:
                return None
            first_times_s.append(min(reached_s))
        return max(first_times_s)

    async def stop(self) -> None:
        """Stop the watchers, then the replicas and all servers."""
        await asyncio.gather(*(watcher.stop() for watcher in self.watchers))
        for kernel in self._kernels:
            await kernel.stop()
        for replica in self.replicas:
            await replica.halt()
        for transport in self._transports:
            await transport.close()
        await asyncio.gather(*(server.stop() for server in self._servers))
