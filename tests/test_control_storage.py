"""Tests of a replica's log and files under crashes, corruption and full disks."""

import asyncio
import unittest

from endivesill import errors
from endivesill.control import MemoryDisk
from endivesill.control.entries import LogEntry
from endivesill.control.records import encode_record, read_records
from endivesill.control.snapshots import Snapshot
from endivesill.control.storage import Metadata, ReplicaStorage
from endivesill.control.voter_set import VoterSet

SEGMENT_BYTES = 400
SURVIVAL_SEEDS = (None, *range(8))
VOTERS = VoterSet({"a": "10.0.0.1:7000"})


def entries(term, *indexes):
    return [LogEntry(index, term, float(index)) for index in indexes]


class Writer:
    """Runs a sequence of writes; records what a crash must keep and must not revive.

    Attributes:
      acknowledged: term by index of the entries that must survive.
      truncated: (index, term) of the entries that must not come back.
      metadata: the last acknowledged metadata.
    """

    def __init__(self, disk):
        self.storage = ReplicaStorage(disk, SEGMENT_BYTES)
        self.acknowledged = {}
        self.truncated = set()
        self.metadata = None

    async def run(self):
        await self.storage.load()
        task = asyncio.ensure_future(self.storage.log.run())
        try:
            await self.run_writes()
        finally:
            task.cancel()

    async def run_writes(self):
        await self.vote(1, "a")
        await self.snapshot(1, 1)
        await self.append(entries(1, 2, 3, 4))
        await self.append(entries(1, 5, 6))
        await self.vote(2, None)
        await self.truncate(5)
        await self.append(entries(2, 5))
        await self.append(entries(2, *range(6, 16)))
        await self.append(entries(2, 16, 17))
        await self.snapshot(15, 2)
        await self.storage.log.compact_to(14)
        await self.truncate(9 + 7)
        await self.append(entries(3, 16, 17, 18))
        await self.vote(4, "b")
        await self.snapshot(30, 3)
        await self.append(entries(4, 31, 32))
        await self.append(entries(4, 33))

    async def vote(self, term, candidate):
        metadata = Metadata(self.storage.metadata.identity, term, candidate)
        await self.storage.save(metadata)
        self.metadata = metadata

    async def append(self, new):
        self.storage.log.append(new)
        await self.storage.log.wait_synced(new[-1].index)
        self.acknowledged.update({entry.index: entry.term for entry in new})

    async def truncate(self, index):
        removed = {i: t for i, t in self.acknowledged.items() if i >= index}
        for key in removed:
            del self.acknowledged[key]
        await self.storage.log.truncate_from(index)
        self.truncated.update(removed.items())

    async def snapshot(self, index, term):
        snapshot = Snapshot(index, term, 0.0, "c", VOTERS)
        await self.storage.save_snapshot(snapshot.to_text(), snapshot.header())
        self.acknowledged = {i: t for i, t in self.acknowledged.items() if i > index}
        self.acknowledged[index] = term
        if self.storage.log.term_at(index) != term:
            await self.storage.log.reset(index, term)


class CrashTest(unittest.IsolatedAsyncioTestCase):
    async def count_boundaries(self):
        disk = MemoryDisk()
        await Writer(disk).run()
        return disk.boundaries

    async def check_after_crash(self, writer, disk):
        storage = ReplicaStorage(disk, SEGMENT_BYTES)
        await storage.load()
        if writer.metadata is not None:
            self.assertGreaterEqual(storage.metadata.term, writer.metadata.term)
            if storage.metadata.term == writer.metadata.term:
                self.assertEqual(writer.metadata, storage.metadata)
        log = storage.log
        base = storage.snapshot_header.index if storage.snapshot_header else 0
        for index, term in writer.acknowledged.items():
            if index > base:
                self.assertEqual(term, log.term_at(index), f"entry {index}")
        for index, term in writer.truncated:
            if index > base and index <= log.last_index:
                self.assertNotEqual(term, log.term_at(index), f"entry {index}")

    async def test_a_crash_at_every_write_boundary_keeps_acknowledged_data(self):
        boundaries = await self.count_boundaries()
        self.assertGreater(boundaries, 50)
        for boundary in range(1, boundaries + 1):
            for seed in SURVIVAL_SEEDS:
                with self.subTest(boundary=boundary, seed=seed):
                    disk = MemoryDisk()
                    disk.stop_at_boundary = boundary
                    writer = Writer(disk)
                    with self.assertRaises(errors.StorageError):
                        await writer.run()
                    await self.check_after_crash(writer, disk.crash(seed))

    async def test_a_crash_during_recovery_is_survived(self):
        boundaries = await self.count_boundaries()
        for boundary in range(1, boundaries + 1):
            disk = MemoryDisk()
            disk.stop_at_boundary = boundary
            writer = Writer(disk)
            with self.assertRaises(errors.StorageError):
                await writer.run()
            for second in range(1, 4):
                again = disk.crash(boundary)
                again.stop_at_boundary = second
                try:
                    await ReplicaStorage(again, SEGMENT_BYTES).load()
                except errors.StorageCorruptError:
                    raise
                except errors.StorageError:
                    pass
                with self.subTest(boundary=boundary, second=second):
                    await self.check_after_crash(writer, again.crash(second))


class RecordsTest(unittest.TestCase):
    def batches(self, *sizes):
        data = b""
        for size in sizes:
            start = len(data)
            for number in range(size):
                payload = b"record %d of %d" % (number, start)
                data += encode_record(payload, len(data), start)
        return bytearray(data)

    def test_a_torn_tail_of_any_length_is_dropped(self):
        data = bytes(self.batches(2, 2))
        whole = read_records("log", data, may_be_torn=True)
        for size in range(whole[2].offset, len(data)):
            records = read_records("log", data[:size], may_be_torn=True)
            ends = [r.end for r in whole if r.end <= size]
            self.assertEqual(len(ends), len(records))

    def test_a_hole_in_the_last_batch_is_dropped_with_all_later_records(self):
        data = self.batches(2, 3)
        whole = read_records("log", bytes(data), may_be_torn=True)
        hole = whole[3]
        data[hole.offset : hole.end] = bytes(hole.end - hole.offset)
        records = read_records("log", bytes(data), may_be_torn=True)
        self.assertEqual(whole[:3], records)

    def test_any_damaged_byte_before_the_last_batch_is_reported_with_its_offset(self):
        data = bytes(self.batches(2, 1, 1))
        whole = read_records("log", data, may_be_torn=True)
        for position in range(whole[2].end):
            damaged = bytearray(data)
            damaged[position] ^= 0x40
            expected_offset = max(r.offset for r in whole if r.offset <= position)
            with self.assertRaisesRegex(
                errors.StorageCorruptError, f"log-7: .* offset {expected_offset}$"
            ):
                read_records("log-7", bytes(damaged), may_be_torn=True)

    def test_a_record_at_another_offset_is_refused(self):
        first = encode_record(b"one", 0, 0)
        with self.assertRaises(errors.StorageCorruptError):
            read_records("log", first + first, may_be_torn=False)


class DamageTest(unittest.IsolatedAsyncioTestCase):
    async def written_disk(self):
        disk = MemoryDisk()
        writer = Writer(disk)
        await writer.run()
        return disk.crash()

    async def test_damage_before_the_last_batch_is_refused(self):
        disk = await self.written_disk()
        name = next(name for name in disk.names() if name.startswith("log-"))
        disk.corrupt(name, 20)
        with self.assertRaisesRegex(errors.StorageCorruptError, f"{name}: .*offset 0"):
            await ReplicaStorage(disk, SEGMENT_BYTES).load()

    async def test_damaged_metadata_and_snapshots_are_refused(self):
        for name in ("metadata", "snapshot"):
            disk = await self.written_disk()
            disk.corrupt(name, 30)
            with self.assertRaisesRegex(errors.StorageCorruptError, name):
                await ReplicaStorage(disk, SEGMENT_BYTES).load()

    async def test_a_missing_file_is_refused(self):
        for name in ("metadata", "snapshot"):
            disk = await self.written_disk()
            await disk.remove(name)
            with self.assertRaisesRegex(errors.StorageCorruptError, name):
                await ReplicaStorage(disk, SEGMENT_BYTES).load()


class DiskFullTest(unittest.IsolatedAsyncioTestCase):
    async def test_entries_refused_by_a_full_disk_are_written_once_there_is_space(self):
        disk = MemoryDisk()
        storage = ReplicaStorage(disk, SEGMENT_BYTES)
        await storage.load()
        log = storage.log
        task = asyncio.ensure_future(log.run())
        log.append(entries(1, 1, 2))
        await log.wait_synced(2)
        disk.full = True
        log.append(entries(1, 3))
        with self.assertRaises(errors.DiskFullError):
            await log.wait_synced(3)
        self.assertEqual(2, log.synced_index)
        disk.full = False
        log.append(entries(1, 4))
        await log.wait_synced(4)
        task.cancel()
        after = disk.crash()
        names = [name for name in after.names() if name.startswith("log-")]
        records = read_records("log", after.read(names[0]), may_be_torn=False)
        self.assertEqual(4, len(records))

    async def test_files_are_clean_after_each_lack_of_space(self):
        """The disk is full at a sync, while files are added, cut off and removed."""
        for step in ("append", "truncate", "reset"):
            disk = MemoryDisk()
            storage = ReplicaStorage(disk, SEGMENT_BYTES)
            await storage.load()
            log = storage.log
            task = asyncio.ensure_future(log.run())
            log.append(entries(1, *range(1, 31)))
            await log.wait_synced(30)
            disk.full_at_sync = True
            with self.assertRaises(errors.DiskFullError):
                if step == "truncate":
                    await log.truncate_from(9)
                elif step == "reset":
                    await log.reset(40, 1)
                else:
                    log.append(entries(1, *range(31, 61)))
                    await log.wait_synced(60)
            disk.full_at_sync = False
            first = log.last_index + 1
            log.append(entries(2, *range(first, first + 30)))
            await log.wait_synced(first + 29)
            kept = log.entries(log.first_index, log.last_index)
            task.cancel()
            again = ReplicaStorage(disk.crash(), SEGMENT_BYTES)
            await again.log.recover(*((40, 1) if step == "reset" else (0, 0)))
            found = again.log.entries(again.log.first_index, again.log.last_index)
            self.assertEqual(kept[-len(found) :], found)
            self.assertGreaterEqual(len(found), 29)


class GroupCommitTest(unittest.IsolatedAsyncioTestCase):
    async def test_entries_that_arrive_during_a_sync_share_the_next_one(self):
        disk = SlowDisk()
        storage = ReplicaStorage(disk, 1_000_000)
        await storage.load()
        log = storage.log
        task = asyncio.ensure_future(log.run())
        log.append(entries(1, 1))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        waiters = []
        for index in range(2, 34):
            log.append(entries(1, index))
            waiters.append(asyncio.ensure_future(log.wait_synced(index)))
        before = disk.syncs
        await asyncio.gather(*waiters)
        task.cancel()
        self.assertLessEqual(disk.syncs - before, 2)


class SlowDisk(MemoryDisk):
    """A memory disk whose syncs take several iterations of the event loop."""

    async def sync(self, name):
        for _ in range(5):
            await asyncio.sleep(0)
        await super().sync(name)
