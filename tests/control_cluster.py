"""Test cluster of control replicas in one process."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from endivesill.control import (
    CommandContext,
    ControlReplica,
    ControlSettings,
    MemoryDisk,
    RemoteControlClient,
    State,
    command,
    query,
)
from endivesill.peers import MemoryNetwork, Message
from endivesill.timer import ManualTimer

SETTINGS = ControlSettings(snapshot_entries=1_000_000)
STEP_S = 0.1


@command("test.put")
def put(state: State, message: Message, context: CommandContext) -> Message:
    section = state.section("test")
    section[message["key"]] = message["value"]
    section["runs"] = section.get("runs", 0) + 1
    return {"index": context.index, "time_s": context.time_s}


@command("test.swap")
def swap(state: State, message: Message, context: CommandContext) -> Message:
    """Compare and swap: set the value to `new` only if it is `old`."""
    section = state.section("test")
    value = section.get(message["key"])
    if value == message["old"]:
        section[message["key"]] = message["new"]
        return {"swapped": True}
    return {"swapped": False}


@command("test.fail")
def fail(state: State, message: Message, context: CommandContext) -> Message:
    raise ValueError("injected failure")


@query("test.get")
def get(state: State, message: Message) -> Message:
    return {"value": state.section("test").get(message["key"])}


class Cluster:
    """Replicas with in-memory network and disks, on a manual timer."""

    def __init__(self, size: int = 3, settings=SETTINGS, seed: int = 1) -> None:
        self.timer = ManualTimer()
        self.network = MemoryNetwork(self.timer, seed)
        self.settings = settings
        self.addresses = tuple(f"10.0.0.{n}:7000" for n in range(1, size + 1))
        self.disks: dict[str, MemoryDisk] = {}
        self.replicas: dict[str, ControlReplica] = {}
        self._seeds = itertools.count(seed * 1_000)
        self._clients = itertools.count(1)

    async def start(self) -> ControlReplica:
        """Start all replicas and return the leader."""
        for address in self.addresses:
            await self.boot(address, MemoryDisk())
        return await self.leader()

    async def boot(self, address: str, disk: MemoryDisk | None = None):
        """Start a replica, on its previous disk if none is given."""
        disk = disk or self.disks[address]
        self.disks[address] = disk
        replica = self.new_replica(address, disk)
        self.replicas[address] = replica
        await replica.start()
        return replica

    def new_replica(self, address: str, disk: MemoryDisk) -> ControlReplica:
        """Create a replica without starting it."""
        return ControlReplica(
            self.timer,
            self.network.transport(address),
            disk,
            self.addresses,
            self.settings,
            next(self._seeds),
        )

    async def crash(self, address: str, seed: int | None = None) -> None:
        """Kill a replica; with a seed its disk also keeps some unsynced data."""
        self.network.remove(address)
        replica = self.replicas.pop(address)
        self.disks[address] = self.disks[address].crash(seed)
        await replica.halt()

    async def restart(self, address: str, seed: int | None = None):
        await self.crash(address, seed)
        return await self.boot(address)

    async def leader(self, timeout_s: float = 20.0, among=None) -> ControlReplica:
        """Advance the timer until a leader holds its lease; return it."""
        for _ in range(int(timeout_s / STEP_S)):
            for address, replica in self.replicas.items():
                if among is not None and address not in among:
                    continue
                leadership = replica.core.leadership
                if leadership is not None and leadership.holds_lease():
                    return replica
            await self.timer.advance(STEP_S)
        raise AssertionError("no leader")

    def address_of(self, replica: ControlReplica) -> str:
        return next(a for a, r in self.replicas.items() if r is replica)

    def followers(self) -> list[str]:
        return [a for a, r in self.replicas.items() if not r.is_leader]

    def client(self) -> RemoteControlClient:
        transport = self.network.transport(f"10.0.1.{next(self._clients)}:7000")
        return RemoteControlClient(self.timer, transport, self.addresses)

    async def run(self, coroutine, timeout_s: float = 30.0):
        """Run a coroutine, advancing the timer until it is done."""
        task = asyncio.ensure_future(coroutine)
        end_s = self.timer.now_s() + timeout_s
        await self.timer.advance(0)
        while not task.done():
            if self.timer.now_s() > end_s:
                task.cancel()
                raise AssertionError("no result in time")
            await self.timer.advance(0.01)
        return task.result()

    async def put(self, client, key: str, value, timeout_s: float = 10.0):
        message = {"key": key, "value": value}
        return await self.run(client.propose("test.put", message, timeout_s))

    async def get(self, client, key: str, timeout_s: float = 10.0):
        answer = await self.run(client.query("test.get", {"key": key}, timeout_s))
        return answer["value"]

    async def close(self) -> None:
        for address in list(self.replicas):
            self.network.remove(address)
            await self.replicas.pop(address).halt()


class ClusterTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a cluster, which is closed after the test."""

    async def asyncSetUp(self):
        # Debug mode records a stack for each task, which is slow with many tasks.
        asyncio.get_running_loop().set_debug(False)

    async def start(self, size: int = 3, settings=SETTINGS, seed: int = 1) -> Cluster:
        cluster = Cluster(size, settings, seed)
        self.addAsyncCleanup(cluster.close)
        await cluster.start()
        return cluster

    def assert_equal_states(self, cluster: Cluster) -> None:
        states = [replica.state.sections for replica in cluster.replicas.values()]
        for state in states[1:]:
            self.assertEqual(states[0], state)
