"""A fleet of control replicas and VMs on a simulated network, for tests."""

import asyncio
import unittest

from endivesill.configuration.replica import MemoryReplica, ReplicaEndpoint, VoterSet
from endivesill.configuration.state import APPLY
from endivesill.configuration.tree import parent_of
from endivesill.configuration.watcher import ConfigurationWatcher
from endivesill.control.commands import CommandContext
from endivesill.kernel import Kernel
from endivesill.membership.view import StaticMembership, VmRecord
from endivesill.peers import MemoryNetwork
from endivesill.timer import ManualTimer

DOCUMENTS = {
    "data-centre/a": {"region": "r"},
    "data-centre/b": {"region": "r"},
    "service/llm": {"protocol": "engine"},
    "target/e1": {"service": "llm", "url": "http://e1", "data_centre": "a"},
}


def apply_message(number, changed, *, base=0, removed=(), digest=None, by="ada"):
    return {
        "number": number,
        "digest": digest or f"digest-{number}",
        "operator": by,
        "wall_time_s": 5.0,
        "base_revision": base,
        "changed": changed,
        "removed": list(removed),
        "origins": {},
    }


def change_message(number, key, value, by="ada"):
    return {
        "number": number,
        "digest": f"{key}={value}",
        "operator": by,
        "wall_time_s": 6.0,
        "key": key,
        "value": value,
    }


def vm_record(name, data_centre="a", region="r"):
    return VmRecord(name, f"{name}-1", f"{name}:1", data_centre, region)


class Fleet:
    """Control replicas and VMs; the test itself appends and commits commands."""

    def __init__(self, vms, replicas=3, seed=1):
        self.timer = ManualTimer()
        self.network = MemoryNetwork(self.timer, seed=seed)
        self.records = tuple(vms)
        self.control_addresses = tuple(f"c{n}:1" for n in range(replicas))
        voters = VoterSet(1, {f"r{n}": f"c{n}:1" for n in range(replicas)})
        self.replicas = [MemoryReplica(f"r{n}", voters) for n in range(replicas)]
        self.endpoints = []
        for replica, address in zip(self.replicas, self.control_addresses, strict=True):
            transport = self.network.transport(address)
            self.endpoints.append(ReplicaEndpoint(self.timer, transport, replica))
        self.index = 0
        self.watchers = {}
        self.kernels = {}

    async def start(self, *names, file=None):
        for record in self.records:
            if not names or record.name in names:
                await self._start_one(record, file)

    async def _start_one(self, record, file):
        kernel = Kernel(self.timer)
        membership = StaticMembership(record.name, self.records, {})
        watcher = ConfigurationWatcher(
            kernel,
            self.network.transport(record.address),
            membership,
            record.name,
            self.control_addresses,
            file,
        )
        self.kernels[record.name] = kernel
        self.watchers[record.name] = watcher
        await watcher.start()

    async def kill(self, name):
        """Kill the process of a VM, without a planned stop."""
        self.network.remove(f"{name}:1")
        await self.kernels.pop(name).stop()
        self.watchers.pop(name)

    async def stop(self):
        for kernel in self.kernels.values():
            await kernel.stop()

    def append(self, message, command=APPLY, to=None):
        """Append a command to the logs of some or all replicas without a commit."""
        self.index += 1
        context = CommandContext(self.index, self.timer.now_s())
        for replica in self.replicas if to is None else to:
            replica.append(command, message, context)

    def commit(self, message, command=APPLY, to=None):
        """Append and apply a command; return the result of the first replica."""
        self.append(message, command, to)
        results = [r.apply_all() for r in (self.replicas if to is None else to)]
        return results[0]

    def change_target(self, number):
        """Commit a change of one target; the number becomes the revision."""
        document = {**DOCUMENTS["target/e1"], "maximum_slots": number}
        base = max(0, number - 1)
        return self.commit(apply_message(number, {"target/e1": document}, base=base))

    def revisions(self):
        return {n: w.current().revision for n, w in self.watchers.items()}


class FleetCase(unittest.IsolatedAsyncioTestCase):
    vms = ("v0", "v1", "v2", "v3", "v4", "v5", "v6")

    async def asyncSetUp(self):
        # Debug mode of the event loop records a stack for each of many short calls.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = Fleet([vm_record(name) for name in self.vms])
        self.timer = self.fleet.timer
        self.network = self.fleet.network
        self.fleet.commit(apply_message(1, DOCUMENTS))
        await self.begin()

    async def begin(self):
        await self.fleet.start()
        await self.timer.advance(3.0)

    async def asyncTearDown(self):
        self.network.heal()
        await self.fleet.stop()

    def parent(self, name):
        record = parent_of(name, self.fleet.records)
        return record.name if record else None

    def root(self):
        return next(name for name in self.vms if self.parent(name) is None)

    def leaf(self):
        parents = {self.parent(name) for name in self.vms}
        return next(name for name in self.vms if name not in parents)

    def watcher(self, name):
        return self.fleet.watchers[name]
