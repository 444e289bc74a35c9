"""Tests of the file disk and the memory disk."""

import asyncio
import os
import tempfile
import unittest

from endivesill import errors
from endivesill.control import ControlReplica, FileDisk, MemoryDisk
from endivesill.peers import MemoryNetwork
from endivesill.timer import SystemTimer
from tests import control_cluster  # noqa: F401


class FileDiskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp()

    async def test_files_persist_across_a_restart(self):
        disk = FileDisk(self.folder)
        await disk.create("log-1")
        disk.append("log-1", b"one")
        disk.append("log-1", b"two")
        await disk.sync("log-1")
        await disk.truncate("log-1", 4)
        await disk.replace("metadata", b"old")
        await disk.replace("metadata", b"new")
        await disk.create("log-2")
        await disk.remove("log-2")
        disk.close()
        disk = FileDisk(self.folder)
        self.assertEqual(["log-1", "metadata"], disk.names())
        self.assertEqual(b"onet", disk.read("log-1"))
        self.assertEqual(b"new", disk.read("metadata"))
        disk.close()

    async def test_a_missing_folder_is_created_with_its_parents(self):
        folder = os.path.join(self.folder, "one", "two")
        FileDisk(folder).close()
        self.assertEqual(["lock"], os.listdir(folder))

    async def test_a_second_daemon_on_the_same_folder_is_refused(self):
        disk = FileDisk(self.folder)
        with self.assertRaisesRegex(errors.StorageError, "in use"):
            FileDisk(self.folder)
        disk.close()
        FileDisk(self.folder).close()

    async def test_a_replica_on_real_files_keeps_commits_across_a_restart(self):
        timer = SystemTimer()
        address = "10.0.0.1:7000"
        for expected in (None, 1):
            transport = MemoryNetwork(timer).transport(address)
            disk = FileDisk(self.folder)
            replica = ControlReplica(timer, transport, disk, (address,))
            await replica.start()
            answer = await replica.query("test.get", {"key": "a"}, 10.0)
            self.assertEqual(expected, answer["value"])
            await replica.propose("test.put", {"key": "a", "value": 1}, 10.0)
            await replica.stop()
        names = os.listdir(self.folder)
        self.assertFalse([name for name in names if name.endswith(".tmp")])


class MemoryDiskTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_crash_loses_unsynced_data(self):
        disk = MemoryDisk()
        await disk.create("log-1")
        disk.append("log-1", b"one")
        await disk.sync("log-1")
        disk.append("log-1", b"two")
        self.assertEqual(b"one", disk.crash().read("log-1"))

    async def test_a_crash_may_keep_any_part_of_unsynced_data(self):
        survivors = set()
        for seed in range(60):
            disk = MemoryDisk({"log-1": b"one"})
            disk.append("log-1", bytes(range(1, 101)))
            survivors.add(disk.crash(seed).read("log-1"))
        self.assertTrue(all(s.startswith(b"one") for s in survivors))
        torn = [s for s in survivors if b"\0" in s and not s.endswith(b"\0")]
        self.assertTrue(torn, "no survivor has a hole before kept data")

    async def test_replacing_a_file_has_four_write_boundaries(self):
        for boundary in range(1, 5):
            disk = MemoryDisk({"metadata": b"old"})
            disk.stop_at_boundary = boundary
            with self.assertRaises(errors.StorageError):
                await disk.replace("metadata", b"new")
            for seed in (None, 0, 1, 2, 3):
                self.assertIn(disk.crash(seed).read("metadata"), (b"old", b"new"))
        disk = MemoryDisk({"metadata": b"old"})
        await disk.replace("metadata", b"new")
        self.assertEqual(4, disk.boundaries)
        self.assertEqual(b"new", disk.crash().read("metadata"))

    async def test_a_stopped_disk_refuses_writes(self):
        disk = MemoryDisk()
        disk.crash()
        with self.assertRaises(errors.StorageError):
            disk.append("log-1", b"one")
        await asyncio.sleep(0)
