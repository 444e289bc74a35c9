"""Tests of the distribution of the configuration and of its lease."""

import asyncio
import random
import tempfile
import unittest

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from endivesill.configuration import lease
from endivesill.configuration.changes import digest_of_documents
from endivesill.configuration.copy import ConfigurationCopy
from endivesill.configuration.replica import PROBE_PATH, MemoryReplica, VoterSet
from endivesill.configuration.state import CHANGE
from endivesill.configuration.store import ConfigurationFile
from endivesill.configuration.tree import parent_of
from endivesill.configuration.watcher import WATCH_PATH
from tests.configuration_fleet import (
    DOCUMENTS,
    Fleet,
    apply_message,
    change_message,
    vm_record,
)


class FleetCase(unittest.IsolatedAsyncioTestCase):
    vms = ("v0", "v1", "v2", "v3", "v4", "v5", "v6")

    async def asyncSetUp(self):
        # The loop's debug mode records a stack for each of many short calls.
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


class InForceTest(FleetCase):
    async def test_every_vm_has_the_revision_and_a_lease(self):
        self.assertEqual({1}, set(self.fleet.revisions().values()))
        self.assertTrue(all(w.holds_lease() for w in self.fleet.watchers.values()))

    async def test_a_change_is_in_force_everywhere_within_a_round_trip_a_level(self):
        self.fleet.change_target(2)
        await self.timer.advance(0.05)
        self.assertEqual({2}, set(self.fleet.revisions().values()))

    async def test_leases_hold_without_a_gap_while_changes_go_on(self):
        for number in range(2, 60):
            self.fleet.change_target(number)
            await self.timer.advance(0.13)
            holding = [w.holds_lease() for w in self.fleet.watchers.values()]
            self.assertTrue(all(holding), (number, holding))

    async def test_only_the_root_asks_the_replicas_at_rest(self):
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

    async def test_a_partitioned_vm_never_holds_a_lease_against_a_commit(self):
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

    async def test_a_process_that_slept_through_its_lease_starts_nothing(self):
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

    async def test_an_entry_that_is_not_committed_yet_ends_the_lease(self):
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

    async def test_a_change_of_voters_that_was_never_committed_is_forgotten(self):
        addresses = {f"r{n}": f"c{n}:1" for n in range(5)}
        replica = self.fleet.replicas[0]
        before, replica.voter_set = replica.voter_set, VoterSet(9, addresses)
        await self.timer.advance(1.0)
        replica.voter_set = before
        await self.timer.advance(10.0)
        self.network.isolate(self.fleet.control_addresses[2])
        await self.timer.advance(2 * lease.LEASE_S)
        self.assertTrue(self.watcher(self.root()).holds_lease())


class RelayTest(FleetCase):
    async def test_when_a_relay_dies_its_children_keep_their_lease(self):
        await self.fleet.kill(self.root())
        for _ in range(60):
            await self.timer.advance(0.1)
            holding = {n: w.holds_lease() for n, w in self.fleet.watchers.items()}
            self.assertTrue(all(holding.values()), holding)

    async def test_when_a_relay_is_cut_off_silently_its_children_keep_theirs(self):
        root = self.root()
        self.network.isolate(f"{root}:1")
        for _ in range(80):
            await self.timer.advance(0.1)
            holding = {n: w.holds_lease() for n, w in self.fleet.watchers.items()}
            del holding[root]
            self.assertTrue(all(holding.values()), holding)

    async def test_a_change_passes_a_relay_that_is_cut_off(self):
        root = self.root()
        self.network.isolate(f"{root}:1")
        await self.timer.advance(0.3)
        self.fleet.change_target(2)
        await self.timer.advance(lease.LEASE_S)
        for name, watcher in self.fleet.watchers.items():
            if name != root:
                self.assertEqual(2, watcher.current().revision)
        self.assertFalse(self.watcher(root).holds_lease())

    async def test_a_relay_that_lags_can_only_shorten_a_lease(self):
        name = self.leaf()
        parent = self.network.find(f"{self.parent(name)}:1")
        inner = parent.handlers[WATCH_PATH]

        async def lag(message):
            answer = await inner(message)
            await self.timer.sleep(1.0 if message["vm"] == name else 0.0)
            return answer

        parent.handlers[WATCH_PATH] = lag
        for number in range(2, 40):
            committed_s = self.timer.now_s()
            self.fleet.change_target(number)
            while self.timer.now_s() < committed_s + lease.LEASE_S:
                await self.timer.advance(0.25)
                if self.watcher(name).current().revision == number:
                    break
            revision = self.watcher(name).current().revision
            self.assertTrue(revision == number or not self.watcher(name).holds_lease())

    async def test_a_lease_counts_from_the_question_not_from_a_late_answer(self):
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
        """Answer a VM late, and note when it asked and got its answers."""
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

    async def test_vms_with_differing_views_never_wait_in_a_circle(self):
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


class CatchUpTest(FleetCase):
    async def test_after_a_gap_one_delta_holds_all_that_changed(self):
        name = self.leaf()
        self.network.isolate(f"{name}:1")
        for number in range(2, 302):
            self.fleet.change_target(number)
        self.network.heal()
        await self.timer.advance(3.0)
        self.assertEqual(301, self.watcher(name).current().revision)
        slots = self.watcher(name).current().targets["e1"].maximum_slots
        self.assertEqual(301, slots)

    async def test_a_lost_delta_is_asked_for_again(self):
        self.network.loss = 0.3
        self.fleet.change_target(2)
        await self.timer.advance(8.0)
        self.network.loss = 0.0
        await self.timer.advance(3.0)
        self.assertEqual({2}, set(self.fleet.revisions().values()))

    async def test_a_delta_that_does_not_match_its_digest_brings_a_full_copy(self):
        name = self.leaf()
        watcher = self.watcher(name)
        watcher._copy.documents["data-centre/b"] = {"region": "damaged"}
        changed = {"data-centre/b": {"region": "s"}}
        self.fleet.commit(apply_message(2, changed, base=1))
        await self.timer.advance(1.0)
        self.assertEqual(2, watcher.current().revision)
        self.assertEqual("s", watcher.current().data_centres["b"].region)

    async def test_a_full_copy_comes_where_the_deltas_do_not_reach_back(self):
        name = self.leaf()
        self.network.isolate(f"{name}:1")
        changed = {
            f"organisation/o{n}": {"key_sha256": f"{n:064x}"} for n in range(2_100)
        }
        self.fleet.commit(apply_message(2, changed, base=1))
        self.fleet.commit(change_message("x", "data-centre/b", True), CHANGE)
        self.network.heal()
        await self.timer.advance(5.0)
        current = self.watcher(name).current()
        self.assertEqual((3, 2_100), (current.revision, len(current.organisations)))
        self.assertTrue(current.data_centres["b"].taken_out)

    async def test_a_replica_that_lags_does_not_bring_an_older_revision_back(self):
        lagging, *others = self.fleet.replicas
        for number in range(2, 6):
            document = {**DOCUMENTS["target/e1"], "maximum_slots": number}
            message = apply_message(number, {"target/e1": document}, base=number - 1)
            self.fleet.append(message, to=[lagging])
            self.fleet.index -= 1
            self.fleet.commit(message, to=others)
            await self.timer.advance(1.0)
            self.assertEqual({number}, set(self.fleet.revisions().values()))


class RestartTest(FleetCase):
    async def begin(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = ConfigurationFile(folder.name)
        await self.fleet.start("v0", file=self.file)
        await self.timer.advance(1.0)

    async def restart(self):
        await self.watcher("v0").stop()
        await self.fleet.kill("v0")
        await self.fleet.start("v0", file=self.file)

    async def test_a_restarted_vm_takes_no_work_before_a_majority_has_answered(self):
        for address in self.fleet.control_addresses[:2]:
            self.network.isolate(address)
        await self.restart()
        self.assertEqual(1, self.watcher("v0").current().revision)
        await self.timer.advance(10.0)
        self.assertFalse(self.watcher("v0").holds_lease())
        self.network.heal()
        await self.timer.advance(1.0)
        self.assertTrue(self.watcher("v0").holds_lease())

    async def test_after_hundreds_of_changes_a_restarted_vm_has_the_newest(self):
        await self.fleet.kill("v0")
        for number in range(2, 502):
            self.fleet.change_target(number)
        await self.fleet.start("v0", file=self.file)
        await self.timer.advance(1.0)
        self.assertEqual(501, self.watcher("v0").current().revision)
        self.assertTrue(self.watcher("v0").holds_lease())

    async def test_a_damaged_file_is_left_out(self):
        await self.watcher("v0").stop()
        path = next(self.file._folder.iterdir())
        path.write_bytes(path.read_bytes()[:-20])
        await self.fleet.kill("v0")
        await self.fleet.start("v0", file=self.file)
        self.assertEqual(0, self.watcher("v0").current().revision)
        await self.timer.advance(1.0)
        self.assertEqual(1, self.watcher("v0").current().revision)


# Without shrinking, which takes minutes on a failure.
PHASES = (Phase.explicit, Phase.generate)

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["commit", "append", "isolate", "heal", "loss", "lag", "sleep", "kill"]
        ),
        st.integers(0, 9),
        st.floats(0.01, 2.0),
    ),
    min_size=5,
    max_size=25,
)


class RandomScheduleTest(unittest.IsolatedAsyncioTestCase):
    """Whatever happens: no revision goes down, no lease outlives a commit."""

    @settings(derandomize=True, deadline=None, max_examples=60, phases=PHASES)
    @given(steps=STEPS, seed=st.integers(0, 1_000))
    def test_no_schedule_reverts_a_vm_or_leaves_it_a_lease_that_is_too_long(
        self, steps, seed
    ):
        asyncio.run(self.run_schedule(steps, seed))

    async def run_schedule(self, steps, seed):
        names = [f"v{n}" for n in range(6)]
        self.fleet = Fleet([vm_record(n, f"dc{n[-1:]}"[:3]) for n in names], seed=seed)
        self.fleet.network.jitter_s = 0.05
        self.seen = dict.fromkeys(names, 0)
        self.committed_s = [(self.fleet.timer.now_s(), 0)]
        self.commit()
        await self.fleet.start()
        for action, which, duration_s in steps:
            await self.act(action, which, names)
            for _ in range(5):
                await self.fleet.timer.advance(duration_s / 5)
                self.check()
        self.fleet.network.heal()
        self.fleet.network.loss = 0.0
        self.fleet.network.delay_s = 0.001
        for replica in self.fleet.replicas:
            replica.apply_all()
        await self.fleet.timer.advance(12.0)
        self.check()
        newest = self.fleet.replicas[0].state().section("configuration")["revision"]
        for name, watcher in self.fleet.watchers.items():
            self.assertEqual(newest, watcher.current().revision, name)
            self.assertTrue(watcher.holds_lease(), name)
        await self.fleet.stop()

    def commit(self):
        number = len(self.committed_s)
        document = {**DOCUMENTS["target/e1"], "maximum_slots": number}
        changed = {**DOCUMENTS, "target/e1": document}
        message = apply_message(number, changed, base=number - 1)
        self.fleet.append(message)
        # Committed by a majority; the third replica may apply it late.
        for replica in self.fleet.replicas[:2]:
            replica.apply_all()
        self.committed_s.append((self.fleet.timer.now_s(), number))

    async def act(self, action, which, names):
        addresses = [f"{n}:1" for n in names] + list(self.fleet.control_addresses)
        network = self.fleet.network
        if action == "commit":
            self.commit()
        elif action == "append":
            self.fleet.replicas[which % 3].apply_all()
        elif action == "isolate":
            network.isolate(addresses[which % len(addresses)])
        elif action == "heal":
            network.heal()
            network.loss = 0.0
        elif action == "loss":
            network.loss = which / 20
        elif action == "lag":
            network.delay_s = which / 20
        elif action == "sleep":
            self.fleet.timer.jump(which / 2)
        elif action == "kill":
            name = names[which % len(names)]
            await self.fleet.kill(name)
            self.seen[name] = 0
            await self.fleet.start(name)

    def check(self):
        now_s = self.fleet.timer.now_s()
        due = max(
            n for t, n in self.committed_s if t + lease.LEASE_S <= now_s or n == 0
        )
        for name, watcher in self.fleet.watchers.items():
            revision = watcher.current().revision
            self.assertGreaterEqual(revision, self.seen[name], name)
            self.seen[name] = revision
            if watcher.holds_lease():
                self.assertGreaterEqual(revision, due, name)


class CopyTest(unittest.TestCase):
    def setUp(self):
        self.copy = ConfigurationCopy()
        self.deltas = []
        source = ConfigurationCopy()
        for revision in (1, 2, 3):
            changed = {"data-centre/a": {"region": f"r{revision}"}}
            delta = {"revision": revision, "as_of": revision, "removed": []}
            digest = digest_of_documents(changed)
            source.apply({**delta, "changed": changed, "digest": digest})
            self.deltas.append(source.delta_since(revision - 1))

    def test_a_delta_that_comes_late_changes_nothing(self):
        for delta in (self.deltas[2], self.deltas[0], self.deltas[1]):
            self.assertTrue(self.copy.apply(delta))
        self.assertEqual((3, 3), (self.copy.revision, self.copy.as_of))
        self.assertEqual("r3", self.copy.configuration.data_centres["a"].region)

    def test_a_full_copy_that_comes_late_changes_nothing(self):
        self.copy.apply(self.deltas[2])
        documents = self.deltas[0]["changed"]
        self.copy.replace(1, 1, documents, digest_of_documents(documents))
        self.assertEqual(3, self.copy.revision)

    def test_a_delta_with_a_wrong_digest_is_not_put_in_force(self):
        self.assertFalse(self.copy.apply({**self.deltas[0], "digest": "0" * 64}))
        self.assertEqual((0, {}), (self.copy.revision, self.copy.documents))


class VoterSetTest(unittest.TestCase):
    def test_the_majority_is_more_than_half(self):
        for count, majority in ((1, 1), (2, 2), (3, 2), (4, 3), (5, 3)):
            voters = VoterSet(1, {str(n): "" for n in range(count)})
            self.assertEqual(majority, voters.majority)

    def test_a_memory_replica_applies_only_what_was_appended(self):
        replica = MemoryReplica("r", VoterSet())
        self.assertEqual((0, 0), (replica.newest_index(), replica.applied_index()))
