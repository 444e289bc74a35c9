"""Tests of the configuration after partitions, restarts and random faults."""

import asyncio
import base64
import tempfile
import unittest
import zlib

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from endivesill import errors
from endivesill.configuration import lease
from endivesill.configuration.changes import digest_of_documents
from endivesill.configuration.copy import (
    ConfigurationCopy,
    pack_documents,
    unpack_documents,
)
from endivesill.configuration.replica import MemoryReplica, VoterSet
from endivesill.configuration.state import CHANGE
from endivesill.configuration.store import ConfigurationFile
from tests.configuration_fleet import (
    DOCUMENTS,
    Fleet,
    FleetCase,
    apply_message,
    change_message,
    vm_record,
)


class CatchUpTest(FleetCase):
    async def test_one_delta_covers_all_changes_missed_in_a_partition(self):
        name = self.leaf()
        self.network.isolate(f"{name}:1")
        for number in range(2, 302):
            self.fleet.change_target(number)
        self.network.heal()
        await self.timer.advance(3.0)
        self.assertEqual(301, self.watcher(name).current().revision)
        slots = self.watcher(name).current().targets["e1"].maximum_slots
        self.assertEqual(301, slots)

    async def test_a_lost_delta_is_requested_again(self):
        self.network.loss = 0.3
        self.fleet.change_target(2)
        await self.timer.advance(8.0)
        self.network.loss = 0.0
        await self.timer.advance(3.0)
        self.assertEqual({2}, set(self.fleet.revisions().values()))

    async def test_a_digest_mismatch_leads_to_a_full_copy(self):
        name = self.leaf()
        watcher = self.watcher(name)
        watcher._copy.documents["data-centre/b"] = {"region": "damaged"}
        changed = {"data-centre/b": {"region": "s"}}
        self.fleet.commit(apply_message(2, changed, base=1))
        await self.timer.advance(1.0)
        self.assertEqual(2, watcher.current().revision)
        self.assertEqual("s", watcher.current().data_centres["b"].region)

    async def test_a_full_copy_is_fetched_if_the_deltas_do_not_reach_back(self):
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

    async def test_a_lagging_replica_does_not_revert_the_revision(self):
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
        self.addAsyncCleanup(self.stop_watcher)
        self.file = ConfigurationFile(folder.name)
        await self.fleet.start("v0", file=self.file)
        await self.timer.advance(1.0)

    async def stop_watcher(self):
        """Stop the watcher and its writing thread before the folder is deleted."""
        await self.watcher("v0").stop()

    async def restart(self):
        await self.watcher("v0").stop()
        await self.fleet.kill("v0")
        await self.fleet.start("v0", file=self.file)

    async def test_a_restarted_vm_has_no_lease_before_a_majority_has_answered(self):
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

    async def test_a_damaged_file_is_ignored(self):
        await self.watcher("v0").stop()
        path = next(self.file._folder.iterdir())
        path.write_bytes(path.read_bytes()[:-20])
        await self.fleet.kill("v0")
        await self.fleet.start("v0", file=self.file)
        self.assertEqual(0, self.watcher("v0").current().revision)
        await self.timer.advance(1.0)
        self.assertEqual(1, self.watcher("v0").current().revision)


# No shrinking: it takes minutes after a failure.
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
    """No revision decreases, no lease outlasts a newer commit by LEASE_S."""

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
        # A majority has committed it; the third replica may apply it later.
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


class PackedDocumentsTest(unittest.TestCase):
    def test_damaged_documents_are_an_error(self):
        nested = b'{"a":' * 100_000
        for packed in (
            "no base64!",
            pack_documents({"data-centre/a": {}})[:-8],
            base64.b64encode(zlib.compress(b"[1]")).decode(),
            base64.b64encode(zlib.compress(b"{]")).decode(),
            base64.b64encode(zlib.compress(nested)).decode(),
            7,
        ):
            with self.assertRaises(errors.PeerMessageError, msg=packed):
                unpack_documents(packed)
        documents = {"data-centre/a": {"region": "r"}}
        self.assertEqual(documents, unpack_documents(pack_documents(documents)))


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

    def test_a_late_delta_is_ignored(self):
        for delta in (self.deltas[2], self.deltas[0], self.deltas[1]):
            self.assertTrue(self.copy.apply(delta))
        self.assertEqual((3, 3), (self.copy.revision, self.copy.as_of))
        self.assertEqual("r3", self.copy.configuration.data_centres["a"].region)

    def test_a_late_full_copy_is_ignored(self):
        self.copy.apply(self.deltas[2])
        documents = self.deltas[0]["changed"]
        self.copy.replace(1, 1, documents, digest_of_documents(documents))
        self.assertEqual(3, self.copy.revision)

    def test_a_delta_with_a_wrong_digest_is_rejected(self):
        self.assertFalse(self.copy.apply({**self.deltas[0], "digest": "0" * 64}))
        self.assertEqual((0, {}), (self.copy.revision, self.copy.documents))

    def test_a_delta_whose_parts_have_other_types_is_rejected(self):
        for name, value in (
            ("changed", ["data-centre/a"]),
            ("changed", {"data-centre/a": "r1"}),
            ("removed", 7),
            ("removed", [["data-centre/a"]]),
        ):
            delta = {**self.deltas[0], name: value}
            self.assertFalse(self.copy.apply(delta), (name, value))
        self.assertEqual((0, {}), (self.copy.revision, self.copy.documents))


class VoterSetTest(unittest.TestCase):
    def test_the_majority_is_more_than_half(self):
        for count, majority in ((1, 1), (2, 2), (3, 2), (4, 3), (5, 3)):
            voters = VoterSet(1, {str(n): "" for n in range(count)})
            self.assertEqual(majority, voters.majority)

    def test_a_new_memory_replica_has_no_commands(self):
        replica = MemoryReplica("r", VoterSet())
        self.assertEqual((0, 0), (replica.newest_index(), replica.applied_index()))
