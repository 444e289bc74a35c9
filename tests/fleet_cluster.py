"""Control VMs with their hubs, and entries that follow them, in one process."""

from __future__ import annotations

from endivesill.control import ControlReplica, MemoryDisk
from endivesill.fleet.engine_list import EngineListSource
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.fleet.sync_service import FleetSyncService
from endivesill.supervision import supervise
from tests.control_cluster import Cluster


class SharedList(EngineListSource):
    """The platform's list."""

    def __init__(self) -> None:
        self.engines: list[EngineInfo] = []
        self.reads = 0

    async def read(self) -> list[EngineInfo]:
        self.reads += 1
        return list(self.engines)


class Entry:
    """One entry, without callers."""

    def __init__(self, cluster: FleetCluster, address: str) -> None:
        self.address = address
        self.news: list[set[str]] = []
        self.loads: dict = {}
        self.transport = cluster.network.transport(address)
        self.follower = FleetSyncClient(
            cluster.timer,
            self.transport,
            cluster.addresses[:1],
            lambda: self.loads,
            self.news.append,
        )
        self.task = supervise(cluster.timer, address, self.follower.run)

    @property
    def view(self):
        return self.follower.view


class FleetCluster(Cluster):
    """Replicas with hubs, a list, and entries."""

    def __init__(self, size: int = 3) -> None:
        super().__init__(size)
        self.list = SharedList()
        self.hubs: dict[str, FleetSyncService] = {}
        self.entries: list[Entry] = []
        self._tasks: list = []

    async def boot(self, address: str, disk: MemoryDisk | None = None):
        replica: ControlReplica = await super().boot(address, disk)
        transport = self.network.find(address)
        hub = FleetSyncService(self.timer, replica, transport, self.list)
        self.hubs[address] = hub
        self._tasks.append(supervise(self.timer, "hub", hub.run))
        return replica

    def add_entry(self) -> Entry:
        entry = Entry(self, f"10.0.2.{len(self.entries) + 1}:7000")
        self.entries.append(entry)
        return entry

    async def close(self) -> None:
        for task in [*self._tasks, *(entry.task for entry in self.entries)]:
            task.cancel()
        await super().close()
