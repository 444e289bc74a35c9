"""Tests of the key file and its rotation."""

import pathlib
import tempfile
import unittest

from endivesill import errors
from endivesill.keys import KEY_FILE_POLL_S, KeyFileWatcher, KeyRing
from endivesill.timer import ManualTimer

OLD = "an-old-key-of-the-tests"
NEW = "a-new-key-of-the-tests"


class KeyFileCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "keys"
        self.path.write_text(f"# a comment\n{OLD}\n")
        self.timer = ManualTimer()
        self.keys = KeyRing.from_file(str(self.path))

    async def watch(self):
        watch = KeyFileWatcher(self.timer, self.keys, str(self.path))
        await watch.start()
        return watch

    async def rewrite(self, *keys):
        self.path.write_text("\n".join(keys))
        await self.timer.advance(KEY_FILE_POLL_S)


class RotationTest(KeyFileCase):
    async def test_a_changed_file_is_read_without_a_restart(self):
        await self.watch()
        notices = []
        self.keys.subscribe(lambda: notices.append(self.keys.texts()))
        await self.rewrite(OLD, NEW)
        self.assertTrue(self.keys.accepts(f"Bearer {OLD}"))
        self.assertTrue(self.keys.accepts(f"Bearer {NEW}"))
        self.assertEqual(f"Bearer {OLD}", self.keys.authorization())
        await self.rewrite(NEW)
        self.assertFalse(self.keys.accepts(f"Bearer {OLD}"))
        self.assertEqual(f"Bearer {NEW}", self.keys.authorization())
        self.assertEqual([(OLD, NEW), (NEW,)], notices)

    async def test_a_wrong_or_missing_file_leaves_the_former_keys_valid(self):
        await self.watch()
        await self.rewrite("short")
        self.assertTrue(self.keys.accepts(f"Bearer {OLD}"))
        self.path.unlink()
        await self.timer.advance(KEY_FILE_POLL_S)
        self.assertTrue(self.keys.accepts(f"Bearer {OLD}"))

    async def test_a_stopped_watch_reads_no_more(self):
        watch = await self.watch()
        await watch.stop()
        await self.rewrite(NEW)
        self.assertEqual((OLD,), self.keys.texts())


class KeyRingTest(KeyFileCase):
    def test_all_faults_of_a_key_file_are_found(self):
        self.path.write_text("short\nalso short\n")
        with self.assertRaises(errors.FindingsError) as caught:
            KeyRing.from_file(str(self.path))
        self.assertEqual([1, 2], [f.line for f in caught.exception.findings])
        self.assertNotIn("short\n", str(caught.exception))

    def test_what_is_no_bearer_key_is_refused(self):
        for value in (None, "", OLD, f"Basic {OLD}", "Bearer ", "Bearer x"):
            self.assertFalse(self.keys.accepts(value), value)
