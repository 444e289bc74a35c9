"""Tests of the operators' functions against a fake client."""

import asyncio
import pathlib
import tempfile
import unittest

from endivesill import errors, porcelain
from endivesill.timer import ManualTimer


class FakeClient:
    """Returns preset responses and records the posted messages."""

    def __init__(self):
        self.timer = ManualTimer()
        self.posted = []
        self.documents = {}
        self.folder_revision = 0
        self.in_force_at_s = self.timer.now_s()
        self.failure = None

    async def get(self, path, **parameters):
        if path.endswith("/progress"):
            if self.failure:
                raise self.failure
            is_in_force = self.timer.now_s() >= self.in_force_at_s
            waiting = [] if is_in_force else ["v1"]
            return {
                "in_force": is_in_force,
                "waiting_for": waiting,
                "without_lease": [],
            }
        return {
            "revision": 7,
            "folder_revision": self.folder_revision,
            "documents": self.documents,
        }

    async def post(self, path, body):
        self.posted.append((path, body))
        return {"outcome": "accepted", "revision": 8}


class PorcelainCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.write("1.ini", "[data-centre a]\nregion = r\n")
        self.client = FakeClient()
        self.progress_messages = []

    def write(self, name, text):
        pathlib.Path(self.folder, name).write_text(text)

    async def run_with_timer(self, action, seconds=20.0):
        task = asyncio.ensure_future(action)
        await self.client.timer.advance(seconds)
        return task.result()

    def apply(self, **options):
        return porcelain.config_apply(
            self.client,
            self.folder,
            "5",
            "ada",
            report=self.progress_messages.append,
            **options,
        )


class ApplyTest(PorcelainCase):
    async def test_it_waits_until_the_revision_is_in_force(self):
        self.client.in_force_at_s += 2.0
        task = asyncio.ensure_future(self.apply())
        await self.client.timer.advance(1.9)
        self.assertEqual(["accepted: revision 8"], self.progress_messages)
        await self.client.timer.advance(0.3)
        self.assertTrue(task.result().in_force)
        self.assertEqual("in force everywhere", self.progress_messages[-1])

    async def test_it_names_the_vms_that_have_not_acknowledged_at_the_time_limit(self):
        self.client.in_force_at_s += 60.0
        answer = await self.run_with_timer(self.apply(wait_s=4.0))
        self.assertEqual((False, ("v1",)), (answer.in_force, answer.waiting_for))
        self.assertIn("waiting for: v1", self.progress_messages[-1])

    async def test_a_quorum_lost_after_the_commit_does_not_count_as_in_force(self):
        self.client.failure = errors.UnavailableError("no replica")
        answer = await self.run_with_timer(self.apply(wait_s=2.0))
        self.assertFalse(answer.in_force)
        self.assertIn("control VMs", self.progress_messages[-1])

    async def test_the_digest_of_a_resend_is_independent_of_the_fleets_state(self):
        await self.run_with_timer(self.apply())
        self.client.documents = {"data-centre/a": {"region": "r"}}
        self.client.folder_revision = 8
        await self.run_with_timer(self.apply())
        (_, first), (_, resent) = self.client.posted
        self.assertEqual(first["digest"], resent["digest"])
        self.assertEqual((0, 8), (first["base_revision"], resent["base_revision"]))

    async def test_an_invalid_folder_is_not_sent(self):
        self.write("2.ini", "[data-centre b]\n")
        with self.assertRaises(errors.FindingsError):
            await self.apply()
        self.assertEqual([], self.client.posted)


class ChangeTest(PorcelainCase):
    async def test_each_single_change_has_its_own_number(self):
        for _ in range(2):
            await self.run_with_timer(
                porcelain.change_item(self.client, "data-centre/a", True, "ada")
            )
        numbers = {body["number"] for _, body in self.client.posted}
        self.assertEqual(2, len(numbers))
