"""Tests of operators' orders that reach the control VMs late."""

import random

from endivesill import errors
from endivesill.control import ControlSettings
from endivesill.fleet.changes import FleetChanges
from endivesill.fleet.state import SET_EVACUATION, evacuations
from tests.control_cluster import ClusterTestCase

TIMEOUT_S = 10.0
SMALL_LOG = ControlSettings(snapshot_entries=10, trailing_entries=0)


class OrderTestCase(ClusterTestCase):
    """A cluster whose replicas take orders."""

    async def send(self, cluster, address, evacuated, known_index, name="a"):
        """Send an order over a connection that was accepted at an index of the log."""
        changes = FleetChanges(cluster.replicas[address], TIMEOUT_S)
        await cluster.run(changes.set_evacuation(name, evacuated, known_index))

    async def order(self, cluster, address, evacuated, name="a"):
        """Send an order as its operator does, which confirms it where asked to."""
        known_index = cluster.replicas[address].applied_index
        while True:
            try:
                await self.send(cluster, address, evacuated, known_index, name)
            except errors.OvertakenError as error:
                known_index = error.index
            else:
                return

    async def assert_overtaken(self, cluster, address, evacuated, known_index):
        with self.assertRaises(errors.OvertakenError) as raised:
            await self.send(cluster, address, evacuated, known_index)
        return raised.exception.index

    async def is_evacuated(self, cluster, name="a"):
        # An entry after all others, so that they are applied.
        await self.order(cluster, cluster.addresses[0], True, name="last")
        await cluster.timer.advance(1.0)
        self.assert_equal_states(cluster)
        state = next(iter(cluster.replicas.values())).state
        return name in evacuations(state)[1]


class LateOrderTest(OrderTestCase):
    """Guards against a copy of an old order that takes effect after a newer one."""

    async def late_order(self, evacuated, is_leader, settings=None):
        """Send an order, its copy to a VM that reads it after two newer orders."""
        cluster = await self.start(5, settings or SMALL_LOG)
        leader = cluster.address_of(await cluster.leader())
        late = leader if is_leader else cluster.followers()[0]
        other = cluster.followers()[-1]
        await self.order(cluster, other, not evacuated)
        await cluster.timer.advance(1.0)
        known_index = cluster.replicas[late].applied_index
        await self.order(cluster, other, evacuated)
        await self.order(cluster, other, not evacuated)
        return cluster, late, known_index

    async def assert_stopped(self, evacuated, is_leader):
        cluster, late, known_index = await self.late_order(evacuated, is_leader)
        await self.assert_overtaken(cluster, late, evacuated, known_index)
        self.assertIs(not evacuated, await self.is_evacuated(cluster))

    async def test_a_follower_that_ends_an_evacuation_late(self):
        await self.assert_stopped(False, is_leader=False)

    async def test_a_follower_that_evacuates_late(self):
        await self.assert_stopped(True, is_leader=False)

    async def test_a_leader_that_ends_an_evacuation_late(self):
        await self.assert_stopped(False, is_leader=True)

    async def test_a_leader_that_evacuates_late(self):
        await self.assert_stopped(True, is_leader=True)

    async def test_an_order_that_was_given_up_before_a_repeated_one(self):
        """The newer order changes nothing, as the older one never took effect."""
        cluster = await self.start(3)
        await self.order(cluster, cluster.addresses[0], True)
        known_index = cluster.replicas[cluster.addresses[1]].applied_index
        await self.order(cluster, cluster.addresses[0], True)
        await self.assert_overtaken(cluster, cluster.addresses[1], False, known_index)
        self.assertTrue(await self.is_evacuated(cluster))

    async def test_orders_that_the_log_no_longer_holds(self):
        for evacuated in (False, True):
            cluster, late, known_index = await self.late_order(evacuated, False)
            client = cluster.client()
            for number in range(25):
                await cluster.put(client, "key", number)
            await cluster.timer.advance(2.0)
            leader = await cluster.leader()
            self.assertGreater(leader.core.log.base_index, known_index)
            await self.assert_overtaken(cluster, late, evacuated, known_index)
            self.assertIs(not evacuated, await self.is_evacuated(cluster))

    async def test_a_newer_order_that_a_new_leader_has_not_committed_yet(self):
        cluster = await self.start(5)
        first = cluster.address_of(await cluster.leader())
        await self.order(cluster, first, True)
        await cluster.timer.advance(1.0)
        known_index = cluster.replicas[first].applied_index
        await self.order(cluster, first, False)
        await cluster.crash(first)
        leader = cluster.address_of(await cluster.leader())
        await self.assert_overtaken(cluster, leader, True, known_index)

    async def test_late_copies_never_overrule_the_last_order(self):
        """Copies of one operator's orders arrive in any order, while leaders change."""
        for seed in range(20):
            rng = random.Random(seed)
            cluster = await self.start(3, SMALL_LOG, seed + 1)
            copies = []
            last = False
            for _ in range(12):
                last = rng.random() < 0.5
                for address in rng.sample(cluster.addresses, 2):
                    index = cluster.replicas[address].applied_index
                    copies.append((address, last, index))
                if rng.random() < 0.2:
                    await cluster.restart(cluster.address_of(await cluster.leader()))
                    await cluster.timer.advance(3.0)
                await self.order(cluster, rng.choice(cluster.addresses), last)
                await cluster.timer.advance(rng.choice((0.0, 0.1, 1.0)))
                if rng.random() < 0.5:
                    await self.deliver(cluster, copies.pop(rng.randrange(len(copies))))
            rng.shuffle(copies)
            for copy in copies:
                await self.deliver(cluster, copy)
            self.assertIs(last, await self.is_evacuated(cluster), seed)

    async def deliver(self, cluster, copy):
        address, evacuated, known_index = copy
        try:
            await self.send(cluster, address, evacuated, known_index)
        except errors.OvertakenError:
            return


class AcceptedOrderTest(OrderTestCase):
    """Orders that operators still want are carried out."""

    async def test_a_resent_order_is_accepted_again(self):
        cluster = await self.start(3)
        await self.order(cluster, cluster.addresses[0], True)
        await self.send(cluster, cluster.addresses[1], True, 0)
        self.assertTrue(await self.is_evacuated(cluster))

    async def test_a_doubtful_order_is_carried_out_once_confirmed(self):
        cluster = await self.start(3)
        await self.order(cluster, cluster.addresses[0], True)
        index = await self.assert_overtaken(cluster, cluster.addresses[1], False, 0)
        await self.send(cluster, cluster.addresses[1], False, index)
        self.assertFalse(await self.is_evacuated(cluster))

    async def test_a_confirmation_that_comes_late_is_stopped_again(self):
        cluster = await self.start(3)
        await self.order(cluster, cluster.addresses[0], True)
        index = await self.assert_overtaken(cluster, cluster.addresses[1], False, 0)
        await self.order(cluster, cluster.addresses[0], True)
        await self.assert_overtaken(cluster, cluster.addresses[1], False, index)
        self.assertTrue(await self.is_evacuated(cluster))

    async def test_orders_for_other_data_centres_do_not_matter(self):
        cluster = await self.start(3)
        known_index = cluster.replicas[cluster.addresses[0]].applied_index
        for name in ("a", "b", "c"):
            await self.send(cluster, cluster.addresses[0], True, known_index, name)
        await self.send(cluster, cluster.addresses[0], True, known_index, "d")
        self.assertTrue(await self.is_evacuated(cluster, "d"))

    async def test_an_order_from_a_vm_of_an_earlier_build(self):
        cluster = await self.start(3)
        for evacuated in (True, False, True):
            message = {"data_centre": "a", "evacuated": evacuated}
            await cluster.run(
                cluster.client().propose(SET_EVACUATION, message, TIMEOUT_S)
            )
            self.assertIs(evacuated, await self.is_evacuated(cluster))
