"""Control VMs and the entries that synchronise with them, in one process."""

from __future__ import annotations

from endivesill.control import ControlReplica, MemoryDisk
from endivesill.fleet.engine_list import EngineListSource
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.fleet.sync_service import FleetSyncService
from endivesill.supervision import supervise
from tests.control_cluster import Cluster


class FakeEngineList(EngineListSource):
    """The platform's engine list."""

    def __init__(self) -> None:
        self.engines: list[EngineInfo] = []
        self.reads = 0

    async def read(self) -> list[EngineInfo]:
        self.reads += 1
        return list(self.engines)


class Entry:
    """An entry without callers."""

    def __init__(self, cluster: FleetCluster, address: str) -> None:
        self.address = address
        self.updates: list[set[str]] = []
        self.loads: dict = {}
        self.departures: list[str] = []
        self.transport = cluster.network.transport(address)
        self.sync_client = FleetSyncClient(
            cluster.timer,
            self.transport,
            cluster.addresses[:1],
            lambda: self.loads,
            self.updates.append,
            lambda: self.departures,
        )
        self.task = supervise(cluster.timer, address, self.sync_client.run)

    @property
    def view(self):
        return self.sync_client.view


class FleetCluster(Cluster):
    """A control cluster with sync services, an engine list and entries."""

    def __init__(self, size: int = 3) -> None:
        super().__init__(size)
        self.list = FakeEngineList()
        self.sync_services: dict[str, FleetSyncService] = {}
        self.entries: list[Entry] = []
        self._tasks: list = []

    async def boot(self, address: str, disk: MemoryDisk | None = None):
        replica: ControlReplica = await super().boot(address, disk)
        transport = self.network.find(address)
        sync_service = FleetSyncService(self.timer, replica, transport, self.list)
        self.sync_services[address] = sync_service
        self._tasks.append(supervise(self.timer, "sync-service", sync_service.run))
        return replica

    def add_entry(self) -> Entry:
        entry = Entry(self, f"10.0.2.{len(self.entries) + 1}:7000")
        self.entries.append(entry)
        return entry

    async def close(self) -> None:
        for task in [*self._tasks, *(entry.task for entry in self.entries)]:
            task.cancel()
        await super().close()
