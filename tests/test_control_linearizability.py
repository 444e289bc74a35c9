"""Linearizability of histories under random faults, and tests of the checker."""

import asyncio
import random
import unittest

import attrs

from endivesill import errors
from tests.control_cluster import SETTINGS, ClusterTestCase
from tests.linearizability import Operation, is_linearizable

SEEDS = range(1, 17)
CLIENTS = 4
STEPS = 30
KEYS = ("a", "b")
FAULTS = [
    "crash",
    "crash",
    "isolate",
    "isolate-leader",
    "cut",
    "heal",
    "heal",
    "loss",
    "clock",
    "full",
]
FAULTS += ["transfer", "boot", "delay"]


class CheckerTest(unittest.TestCase):
    def test_a_stale_read_is_detected(self):
        history = [
            Operation("put", (1,), 0.0, 1.0, {}),
            Operation("put", (2,), 2.0, 3.0, {}),
            Operation("get", (), 4.0, 5.0, 1),
        ]
        self.assertFalse(is_linearizable(history))
        history[2].result = 2
        self.assertTrue(is_linearizable(history))

    def test_concurrent_calls_may_take_effect_in_any_order(self):
        for value in (1, 2):
            history = [
                Operation("put", (1,), 0.0, 3.0, {}),
                Operation("put", (2,), 0.0, 3.0, {}),
                Operation("get", (), 4.0, 5.0, value),
            ]
            self.assertTrue(is_linearizable(history))

    def test_a_call_of_unknown_outcome_may_take_effect_late_but_is_not_undone(self):
        history = [
            Operation("put", (1,), 0.0),
            Operation("get", (), 4.0, 5.0, None),
            Operation("get", (), 6.0, 7.0, 1),
        ]
        self.assertTrue(is_linearizable(history))
        history.append(Operation("get", (), 8.0, 9.0, None))
        self.assertFalse(is_linearizable(history))

    def test_two_swaps_from_the_same_value_cannot_both_succeed(self):
        history = [
            Operation("swap", (None, 1), 0.0, 3.0, True),
            Operation("swap", (None, 2), 0.0, 3.0, True),
        ]
        self.assertFalse(is_linearizable(history))


class Workload:
    """Clients that read and write while random faults are injected."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.histories = {key: [] for key in KEYS}
        self.values = iter(range(1, 100_000))
        self.stopping = False

    async def run_client(self, client, rng):
        while not self.stopping:
            await self.make_call(client, rng)
            await self.cluster.timer.sleep(rng.uniform(0.0, 0.6))

    async def make_call(self, client, rng):
        key = rng.choice(KEYS)
        kind = rng.choice(("put", "get", "get", "swap"))
        timer = self.cluster.timer
        history = self.histories[key]
        timeout_s = rng.choice((0.5, 3.0))
        arguments = {
            "put": lambda: (next(self.values),),
            "get": lambda: (),
            "swap": lambda: (self.last_read_value(history), next(self.values)),
        }[kind]()
        operation = Operation(kind, arguments, timer.now_s())
        history.append(operation)
        try:
            operation.result = await self.send(client, key, operation, timeout_s)
        except errors.OutcomeUnknownError:
            return
        except errors.UnavailableError:
            history.remove(operation)
            return
        operation.ended_s = timer.now_s()

    def last_read_value(self, history):
        read = [o.result for o in history if o.kind == "get" and o.result is not None]
        return read[-1] if read else None

    async def send(self, client, key, operation, timeout_s):
        if operation.kind == "get":
            answer = await client.query("test.get", {"key": key}, timeout_s)
            return answer["value"]
        if operation.kind == "put":
            message = {"key": key, "value": operation.arguments[0]}
            return await client.propose("test.put", message, timeout_s)
        old, new = operation.arguments
        message = {"key": key, "old": old, "new": new}
        answer = await client.propose("test.swap", message, timeout_s)
        return answer["swapped"]

    async def inject_fault(self):
        cluster, rng = self.cluster, self.random
        address = rng.choice(cluster.addresses)
        other = rng.choice(cluster.addresses)
        leaders = [r for r in cluster.replicas.values() if r.is_leader]
        kind = rng.choice(FAULTS)
        if kind == "crash" and address in cluster.replicas:
            await cluster.crash(address, rng.randrange(1_000))
        elif kind == "isolate":
            cluster.network.isolate(address)
        elif kind == "isolate-leader" and leaders:
            cluster.network.isolate(cluster.address_of(leaders[0]))
        elif kind == "cut" and address != other:
            cluster.network.cut(address, other, both=False)
        elif kind == "heal":
            cluster.network.heal()
            cluster.network.loss = 0.0
            cluster.network.jitter_s = 0.0
        elif kind == "loss":
            cluster.network.loss = 0.05
        elif kind == "delay":
            cluster.network.jitter_s = rng.choice((0.01, 0.3))
        elif kind == "clock":
            cluster.timer.wall_offset_s += rng.choice((-1e6, 1e6))
            cluster.timer.jump(rng.choice((0.0, 0.3, 2.0)))
        elif kind == "full":
            cluster.disks[address].full = not cluster.disks[address].full
        elif kind == "transfer" and leaders:
            asyncio.ensure_future(leaders[0].transfer_leadership())
        elif kind == "boot":
            await self.boot_all()

    async def boot_all(self):
        for address in self.cluster.addresses:
            self.cluster.disks[address].full = False
            if address not in self.cluster.replicas:
                await self.cluster.boot(address)

    async def run(self):
        cluster = self.cluster
        tasks = []
        for _ in range(CLIENTS):
            rng = random.Random(self.random.random())
            client = cluster.client()
            tasks.append(asyncio.ensure_future(self.run_client(client, rng)))
        for _ in range(STEPS):
            await self.inject_fault()
            await cluster.timer.advance(self.random.uniform(0.1, 2.0))
        cluster.network.heal()
        cluster.network.loss = 0.0
        cluster.network.jitter_s = 0.0
        await self.boot_all()
        await cluster.timer.advance(10.0)
        self.stopping = True
        await cluster.timer.advance(5.0)
        await asyncio.gather(*tasks)


class HistoryTest(ClusterTestCase):
    async def check(self, size, seed):
        settings = attrs.evolve(SETTINGS, snapshot_entries=15, trailing_entries=3)
        cluster = await self.start(size, settings=settings, seed=seed)
        workload = Workload(cluster, seed)
        await workload.run()
        for key, history in workload.histories.items():
            answered = [o for o in history if o.result is not None]
            self.assertGreater(len(answered), 5)
            self.assertTrue(is_linearizable(history), f"seed {seed}, key {key}")
        self.assert_equal_states(cluster)
        await cluster.close()

    async def test_three_replicas_stay_linearizable_under_random_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.check(3, seed)

    async def test_five_replicas_stay_linearizable_under_random_faults(self):
        for seed in list(SEEDS)[:4]:
            with self.subTest(seed=seed):
                await self.check(5, seed)
