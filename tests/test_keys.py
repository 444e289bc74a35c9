"""Tests of the key file and its rotation."""

import pathlib
import tempfile
import unittest

from endivesill import errors
from endivesill.keys import KEY_FILE_POLL_PERIOD_S, KeyFileWatcher, KeyRing
from endivesill.timer import ManualTimer

OLD_KEY = "an-old-key-of-the-tests"
NEW_KEY = "a-new-key-of-the-tests"


class KeyFileCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "keys"
        self.path.write_text(f"# a comment\n{OLD_KEY}\n")
        self.timer = ManualTimer()
        self.keys = KeyRing.from_file(str(self.path))

    async def start_watcher(self):
        watcher = KeyFileWatcher(self.timer, self.keys, str(self.path))
        await watcher.start()
        return watcher

    async def rewrite(self, *keys):
        self.path.write_text("\n".join(keys))
        await self.timer.advance(KEY_FILE_POLL_PERIOD_S)


class RotationTest(KeyFileCase):
    async def test_a_changed_file_is_loaded_without_a_restart(self):
        await self.start_watcher()
        notifications = []
        self.keys.subscribe(lambda: notifications.append(self.keys.valid_keys()))
        await self.rewrite(OLD_KEY, NEW_KEY)
        self.assertTrue(self.keys.accepts(f"Bearer {OLD_KEY}"))
        self.assertTrue(self.keys.accepts(f"Bearer {NEW_KEY}"))
        self.assertEqual(f"Bearer {OLD_KEY}", self.keys.authorization())
        await self.rewrite(NEW_KEY)
        self.assertFalse(self.keys.accepts(f"Bearer {OLD_KEY}"))
        self.assertEqual(f"Bearer {NEW_KEY}", self.keys.authorization())
        self.assertEqual([(OLD_KEY, NEW_KEY), (NEW_KEY,)], notifications)

    async def test_an_invalid_or_missing_file_keeps_the_previous_keys_valid(self):
        await self.start_watcher()
        await self.rewrite("short")
        self.assertTrue(self.keys.accepts(f"Bearer {OLD_KEY}"))
        self.path.unlink()
        await self.timer.advance(KEY_FILE_POLL_PERIOD_S)
        self.assertTrue(self.keys.accepts(f"Bearer {OLD_KEY}"))

    async def test_a_stopped_watcher_does_not_load_the_file(self):
        watcher = await self.start_watcher()
        await watcher.stop()
        await self.rewrite(NEW_KEY)
        self.assertEqual((OLD_KEY,), self.keys.valid_keys())


class KeyRingTest(KeyFileCase):
    def test_all_findings_of_a_key_file_are_reported(self):
        self.path.write_text("short\nalso short\n")
        with self.assertRaises(errors.FindingsError) as caught:
            KeyRing.from_file(str(self.path))
        self.assertEqual([1, 2], [f.line for f in caught.exception.findings])
        self.assertNotIn("short\n", str(caught.exception))

    def test_a_header_without_a_valid_bearer_key_is_refused(self):
        for value in (None, "", OLD_KEY, f"Basic {OLD_KEY}", "Bearer ", "Bearer x"):
            self.assertFalse(self.keys.accepts(value), value)
