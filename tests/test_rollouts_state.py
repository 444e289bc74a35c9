"""Tests of orders of roll-outs and their replicated state."""

from endivesill import errors
from endivesill.control import ControlSettings
from endivesill.rollouts.model import Phase, RolloutState
from endivesill.rollouts.orders import SUPPORT_PATH, RolloutOrders
from endivesill.rollouts.state import CHANGE, REPEAT_S, RESERVE, rollouts
from tests.control_cluster import ClusterTestCase

TIMEOUT_S = 10.0
SMALL_LOG = ControlSettings(snapshot_entries=10, trailing_entries=0)


class RolloutTestCase(ClusterTestCase):
    """A cluster whose replicas take orders."""

    async def start_cluster(self, size=3):
        cluster = await self.start(size, SMALL_LOG)
        self.orders = {
            address: RolloutOrders(replica, cluster.network.find(address), TIMEOUT_S)
            for address, replica in cluster.replicas.items()
        }
        return cluster

    async def order(self, cluster, version="v2", duration_s=12.0, address=None):
        orders = self.orders[address or cluster.addresses[0]]
        await cluster.run(orders.start("app", version, duration_s))

    async def read(self, cluster, address=None):
        orders = self.orders[address or cluster.addresses[0]]
        return await cluster.run(orders.read("app"))

    async def change(self, cluster, index, state, phase=Phase.CANARY):
        message = {
            "service": "app",
            "index": index,
            "state": state.value,
            "phase": phase.value,
            "reason": "test",
        }
        return await cluster.run(cluster.client().propose(CHANGE, message, TIMEOUT_S))


class StartTest(RolloutTestCase):
    async def test_an_order_is_read_at_every_vm(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        for address in cluster.addresses:
            rollout = await self.read(cluster, address)
            self.assertEqual("v2", rollout.version)
            self.assertIs(RolloutState.RUNNING, rollout.state)

    async def test_the_same_order_again_is_acknowledged_without_effect(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        first = await self.read(cluster)
        await self.order(cluster, address=cluster.addresses[1])
        self.assertEqual(first, await self.read(cluster))

    async def test_another_version_or_budget_while_one_runs_is_a_conflict(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        with self.assertRaisesRegex(errors.ConflictError, "app to v2 is in progress"):
            await self.order(cluster, "v3")
        with self.assertRaises(errors.ConflictError):
            await self.order(cluster, duration_s=30.0)
        self.assertEqual("v2", (await self.read(cluster)).version)

    async def test_a_service_without_a_roll_out(self):
        cluster = await self.start_cluster()
        self.assertIsNone(await self.read(cluster))

    async def test_a_late_copy_of_an_order_starts_nothing(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        index = (await self.read(cluster)).index
        await self.change(cluster, index, RolloutState.ROLLED_BACK)
        await self.order(cluster)
        rollout = await self.read(cluster)
        self.assertIs(RolloutState.ROLLED_BACK, rollout.state)

    async def test_a_version_that_was_taken_back_may_be_tried_again_later(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        index = (await self.read(cluster)).index
        await self.change(cluster, index, RolloutState.ROLLED_BACK)
        await cluster.timer.advance(REPEAT_S + 1.0)
        await self.order(cluster)
        self.assertIs(RolloutState.RUNNING, (await self.read(cluster)).state)

    async def test_a_version_that_was_taken_back_stays_excluded(self):
        cluster = await self.start_cluster()
        for number, version in enumerate(("v2", "v3", "v2")):
            await self.order(cluster, version)
            rollout = await self.read(cluster)
            expected = ((), ("v2",), ("v3",))[number]
            self.assertEqual(expected, rollout.taken_back)
            await self.change(cluster, rollout.index, RolloutState.ROLLED_BACK)

    async def test_an_order_for_a_completed_version_is_acknowledged(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        index = (await self.read(cluster)).index
        await self.change(cluster, index, RolloutState.COMPLETED)
        await cluster.timer.advance(REPEAT_S + 1.0)
        await self.order(cluster)
        self.assertEqual(index, (await self.read(cluster)).index)

    async def test_a_voter_of_an_earlier_build_would_not_apply_it(self):
        cluster = await self.start_cluster()
        del cluster.network.find(cluster.addresses[2]).handlers[SUPPORT_PATH]
        with self.assertRaisesRegex(errors.UnavailableError, "build without"):
            await self.order(cluster)
        self.assertIsNone(await self.read(cluster))

    async def test_a_voter_that_is_lost_is_no_obstacle(self):
        cluster = await self.start_cluster()
        leader = cluster.address_of(await cluster.leader())
        lost = next(a for a in cluster.addresses if a != leader)
        await cluster.crash(lost)
        await self.order(cluster, address=leader)
        rollout = await self.read(cluster, leader)
        self.assertEqual("v2", rollout.version)


class ChangeTest(RolloutTestCase):
    async def test_a_change_of_an_earlier_roll_out_has_no_effect(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        first = (await self.read(cluster)).index
        await self.change(cluster, first, RolloutState.ROLLED_BACK)
        await self.order(cluster, "v3")
        result = await self.change(cluster, first, RolloutState.COMPLETED)
        self.assertEqual({"changed": False}, result)
        self.assertIs(RolloutState.RUNNING, (await self.read(cluster)).state)

    async def test_an_end_is_final(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        index = (await self.read(cluster)).index
        await self.change(cluster, index, RolloutState.COMPLETED, Phase.SHIFT)
        result = await self.change(cluster, index, RolloutState.ROLLED_BACK)
        self.assertEqual({"changed": False}, result)
        self.assertIs(RolloutState.COMPLETED, (await self.read(cluster)).state)

    async def test_the_shift_is_not_taken_back_by_an_older_phase(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        index = (await self.read(cluster)).index
        await self.change(cluster, index, RolloutState.RUNNING, Phase.SHIFT)
        result = await self.change(cluster, index, RolloutState.RUNNING)
        self.assertEqual({"changed": False}, result)
        self.assertIs(Phase.SHIFT, (await self.read(cluster)).phase)


class RecoveryTest(RolloutTestCase):
    async def test_a_roll_out_survives_kills_snapshots_and_a_wiped_disk(self):
        cluster = await self.start_cluster()
        await self.order(cluster)
        index = (await self.read(cluster)).index
        for number in range(30):
            message = {
                "service": "app",
                "index": index,
                "reserved_requests": number,
                "requests": 10 * number,
                "digest": [],
            }
            await cluster.run(cluster.client().propose(RESERVE, message, TIMEOUT_S))
        for address in cluster.addresses:
            await cluster.restart(address)
        leader = await cluster.leader()
        await cluster.timer.advance(2.0)
        rollout = rollouts(leader.state)["app"]
        self.assertEqual(
            (index, 29, 290),
            (rollout.index, rollout.reserved_requests, rollout.requests),
        )
