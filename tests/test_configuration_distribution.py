"""Tests of the distribution of the configuration and of its lease."""

import asyncio
import random

from endivesill.configuration import lease
from endivesill.configuration.replica import PROBE_PATH, VoterSet
from endivesill.configuration.tree import parent_of
from endivesill.configuration.watcher import WATCH_PATH
from tests.configuration_fleet import (
    FleetCase,
    apply_message,
    vm_record,
)


class InForceTest(FleetCase):
    async def test_every_vm_has_the_revision_and_a_lease(self):
        self.assertEqual({1}, set(self.fleet.revisions().values()))
        self.assertTrue(all(w.holds_lease() for w in self.fleet.watchers.values()))

    async def test_a_change_is_in_force_within_one_round_trip_per_level(self):
        self.fleet.change_target(2)
        await self.timer.advance(0.05)
        self.assertEqual({2}, set(self.fleet.revisions().values()))

    async def test_leases_have_no_gap_during_continuous_changes(self):
        for number in range(2, 60):
            self.fleet.change_target(number)
            await self.timer.advance(0.13)
            holding = [w.holds_lease() for w in self.fleet.watchers.values()]
            self.assertTrue(all(holding), (number, holding))

    async def test_only_the_root_probes_the_replicas_without_changes(self):
        asked = []
        for address in self.fleet.control_addresses:
            transport = self.network.find(address)
            inner = transport.handlers["/configuration/probe"]

            async def record(message, inner=inner):
                asked.append(message["vm"])
                return await inner(message)

            transport.handlers["/configuration/probe"] = record
        await self.timer.advance(10.0)
        self.assertEqual({self.root()}, set(asked))

    async def test_acknowledgements_of_all_vms_reach_each_replica(self):
        self.fleet.change_target(2)
        await self.timer.advance(0.5)
        call = self.network.transport("operator:1").call
        for address in self.fleet.control_addresses:
            path = "/configuration/acknowledged"
            task = self.timer.wait_for(call(address, path, {}, 1.0), 1.0)
            answer = await self.run_with_time(task)
            self.assertEqual({"2": sorted(self.vms)}, answer["acks"])

    async def run_with_time(self, awaitable):
        task = asyncio.ensure_future(awaitable)
        await self.timer.advance(1.0)
        return task.result()


class LeaseTest(FleetCase):
    async def test_a_partitioned_vm_loses_its_lease_within_the_lease_time(self):
        name = self.leaf()
        self.network.isolate(f"{name}:1")
        await self.timer.advance(lease.LEASE_S)
        self.assertFalse(self.watcher(name).holds_lease())
        others = [w for n, w in self.fleet.watchers.items() if n != name]
        self.assertTrue(all(w.holds_lease() for w in others))

    async def test_a_partitioned_vm_never_holds_a_lease_on_an_outdated_revision(self):
        name = self.leaf()
        for round_number in range(2, 12):
            self.network.isolate(f"{name}:1")
            self.fleet.change_target(round_number)
            await self.timer.advance(lease.LEASE_S)
            self.assertEqual(round_number - 1, self.watcher(name).current().revision)
            self.assertFalse(self.watcher(name).holds_lease())
            self.network.heal()
            await self.timer.advance(2.5)
            self.assertEqual(round_number, self.watcher(name).current().revision)
            self.assertTrue(self.watcher(name).holds_lease())

    async def test_a_process_paused_past_its_lease_has_no_lease(self):
        watcher = self.watcher(self.leaf())
        self.assertTrue(watcher.holds_lease())
        self.timer.jump(lease.LEASE_S)
        self.assertFalse(watcher.holds_lease())
        await self.timer.advance(1.5)
        self.assertTrue(watcher.holds_lease())

    async def test_no_vm_holds_a_lease_once_the_quorum_is_lost(self):
        for address in self.fleet.control_addresses[:2]:
            self.network.isolate(address)
        await self.timer.advance(lease.LEASE_S)
        self.assertFalse(any(w.holds_lease() for w in self.fleet.watchers.values()))
        self.network.heal()
        await self.timer.advance(3.0)
        self.assertTrue(all(w.holds_lease() for w in self.fleet.watchers.values()))

    async def test_a_minority_with_a_stale_log_gives_no_lease(self):
        stale, *newer = self.fleet.replicas
        message = apply_message(2, {"data-centre/c": {"region": "r"}}, base=1)
        self.fleet.commit(message, to=newer)
        for address in self.fleet.control_addresses[1:]:
            self.network.isolate(address)
        await self.timer.advance(lease.LEASE_S)
        self.assertEqual(1, stale.applied_index())
        self.assertFalse(any(w.holds_lease() for w in self.fleet.watchers.values()))

    async def test_an_uncommitted_command_on_a_majority_ends_the_lease(self):
        message = apply_message(2, {"data-centre/c": {"region": "r"}}, base=1)
        self.fleet.append(message, to=self.fleet.replicas[:2])
        await self.timer.advance(2 * lease.LEASE_S)
        self.assertFalse(any(w.holds_lease() for w in self.fleet.watchers.values()))
        self.fleet.replicas[0].apply_all()
        self.fleet.replicas[1].apply_all()
        await self.timer.advance(3.0)
        self.assertTrue(all(w.holds_lease() for w in self.fleet.watchers.values()))

    async def test_a_replica_with_a_new_identity_does_not_count_as_the_lost_one(self):
        for replica in self.fleet.replicas[1:]:
            replica.replica_id += "-replaced"
        await self.timer.advance(2 * lease.LEASE_S)
        self.assertFalse(any(w.holds_lease() for w in self.fleet.watchers.values()))

    async def test_after_a_change_of_voters_the_new_majority_counts(self):
        addresses = {f"r{n}": f"c{n}:1" for n in range(5)}
        self.fleet.replicas[0].voter_set = VoterSet(2, addresses)
        await self.timer.advance(3.0)
        self.assertTrue(self.watcher(self.root()).holds_lease())
        self.network.isolate(self.fleet.control_addresses[2])
        await self.timer.advance(lease.LEASE_S)
        self.assertFalse(self.watcher(self.root()).holds_lease())

    async def test_an_uncommitted_change_of_voters_is_dropped(self):
        addresses = {f"r{n}": f"c{n}:1" for n in range(5)}
        replica = self.fleet.replicas[0]
        before, replica.voter_set = replica.voter_set, VoterSet(9, addresses)
        await self.timer.advance(1.0)
        replica.voter_set = before
        await self.timer.advance(10.0)
        self.network.isolate(self.fleet.control_addresses[2])
        await self.timer.advance(2 * lease.LEASE_S)
        self.assertTrue(self.watcher(self.root()).holds_lease())


class ParentTest(FleetCase):
    async def test_children_keep_their_lease_when_their_parent_is_killed(self):
        await self.fleet.kill(self.root())
        for _ in range(60):
            await self.timer.advance(0.1)
            holding = {n: w.holds_lease() for n, w in self.fleet.watchers.items()}
            self.assertTrue(all(holding.values()), holding)

    async def test_children_keep_their_lease_when_their_parent_is_partitioned(self):
        root = self.root()
        self.network.isolate(f"{root}:1")
        for _ in range(80):
            await self.timer.advance(0.1)
            holding = {n: w.holds_lease() for n, w in self.fleet.watchers.items()}
            del holding[root]
            self.assertTrue(all(holding.values()), holding)

    async def test_a_change_bypasses_a_partitioned_parent(self):
        root = self.root()
        self.network.isolate(f"{root}:1")
        await self.timer.advance(0.3)
        self.fleet.change_target(2)
        await self.timer.advance(lease.LEASE_S)
        for name, watcher in self.fleet.watchers.items():
            if name != root:
                self.assertEqual(2, watcher.current().revision)
        self.assertFalse(self.watcher(root).holds_lease())

    async def test_a_slow_parent_can_only_shorten_a_lease(self):
        name = self.leaf()
        parent = self.network.find(f"{self.parent(name)}:1")
        inner = parent.handlers[WATCH_PATH]

        async def slow(message):
            answer = await inner(message)
            await self.timer.sleep(1.0 if message["vm"] == name else 0.0)
            return answer

        parent.handlers[WATCH_PATH] = slow
        for number in range(2, 40):
            committed_s = self.timer.now_s()
            self.fleet.change_target(number)
            while self.timer.now_s() < committed_s + lease.LEASE_S:
                await self.timer.advance(0.25)
                if self.watcher(name).current().revision == number:
                    break
            revision = self.watcher(name).current().revision
            self.assertTrue(revision == number or not self.watcher(name).holds_lease())

    async def test_a_lease_starts_at_the_request_not_at_a_late_answer(self):
        name = self.leaf()
        for path, address in (
            (WATCH_PATH, f"{self.parent(name)}:1"),
            *((PROBE_PATH, address) for address in self.fleet.control_addresses),
        ):
            self.delay_answers(address, path, name)
        await self.timer.advance(6.0)
        asked_s, answered_s = self.last_answered
        self.assertGreaterEqual(answered_s - asked_s, 0.399)
        self.network.isolate(f"{name}:1")
        while self.watcher(name).holds_lease():
            await self.timer.advance(0.01)
        last_s = max(asked for asked, _ in self.answered)
        self.assertLessEqual(self.timer.now_s(), last_s + lease.LEASE_S + 0.01)

    def delay_answers(self, address, path, name):
        """Delay answers to a VM; record the times of its requests and answers."""
        transport = self.network.find(address)
        inner = transport.handlers[path]
        self.answered = []

        async def late(message):
            asked_s = self.timer.now_s()
            answer = await inner(message)
            if message["vm"] == name:
                await self.timer.sleep(0.4)
                self.last_answered = (asked_s, self.timer.now_s())
                self.answered.append(self.last_answered)
            return answer

        transport.handlers[path] = late

    async def test_vms_with_differing_views_never_wait_in_a_cycle(self):
        generator = random.Random(7)
        records = [vm_record(f"n{n}", f"dc{n % 4}", f"r{n % 2}") for n in range(40)]
        for _ in range(50):
            parents = {}
            for record in records:
                view = generator.sample(records, 25)
                if record not in view:
                    view.append(record)
                parent = parent_of(record.name, view)
                parents[record.name] = parent.name if parent else None
            for name in parents:
                steps = 0
                while name is not None:
                    name = parents[name]
                    steps += 1
                    self.assertLessEqual(steps, len(records))
