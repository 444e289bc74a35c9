"""Tests of what one entry knows of its links to targets."""

import asyncio
import unittest

from endivesill.forwarding import target_links
from endivesill.http1 import UpstreamError
from tests.memory_entries import HANGING, MemoryEntries

REFUSED = UpstreamError("refused", sent=False, is_refused=True)
TIMEOUT = UpstreamError("timeout", sent=False)


class TargetLinksTest(unittest.IsolatedAsyncioTestCase):
    """An entry with two services of six targets, two of each in a data centre."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.fleet = MemoryEntries(1, targets=6)
        (self.entry,) = self.fleet.entries.values()
        self.timer = self.fleet.timer
        self.links = self.entry.links
        self.targets = list(self.fleet.targets.values())
        await self.timer.advance(5.0)

    async def test_a_quiet_entry_learns_that_it_is_cut_off(self):
        self.fleet.cut([self.entry], HANGING)
        await self.timer.advance(3.0)
        self.assertEqual(set(self.fleet.targets), set(self.links.unreached()))

    async def test_a_quiet_entry_learns_of_a_cut_while_targets_are_down(self):
        self.fleet.dark = {"app0@1", "llm0@1", "llm1@1"}
        await self.timer.advance(20.0)
        for info in self.targets:
            self.links.try_again(info)
            await self.timer.advance(1.0)
        self.assertEqual(self.fleet.dark, set(self.links.unreached()))
        self.fleet.cut([self.entry], HANGING)
        await self.timer.advance(3.0)
        self.assertEqual(set(self.fleet.targets), set(self.links.unreached()))
        self.fleet.cut([self.entry], "")
        await self.timer.advance(10.0)
        self.assertEqual(self.fleet.dark, set(self.links.unreached()))

    async def test_one_target_that_is_down_makes_no_other_suspect(self):
        down = self.targets[0]
        self.links.note_lost(down, REFUSED)
        await self.timer.advance(1.0)
        self.links.note_lost(down, REFUSED)
        self.assertEqual([down.incarnation], self.links.unreached())

    async def test_lost_links_of_a_service_or_data_centre_make_its_others_suspect(self):
        service, data_centre = "app", "b"
        for chosen in (
            [info for info in self.targets if info.service == service],
            [info for info in self.targets if info.data_centre == data_centre],
        ):
            others = [info for info in self.targets if info not in chosen]
            for info in chosen[:2]:
                self.links.note_lost(info, TIMEOUT)
            for info in others:
                self.links.note_heard(info)
            suspect = set(self.links.unreached())
            self.assertEqual({info.incarnation for info in chosen}, suspect)
            await self.timer.advance(10.0)
            self.assertEqual([], self.links.unreached())

    async def test_targets_that_have_crashed_make_no_other_suspect(self):
        """Two targets end at once, and the crash of one is reported by another VM."""
        first, second, third = self.targets[:3]
        for info in (first, second):
            self.links.note_lost(info, REFUSED)
        self.assertTrue(self.links.is_network_suspect(third))
        self.links.note_crashed([first.incarnation, "unknown@1"])
        self.assertFalse(self.links.is_network_suspect(third))
        self.assertTrue(self.links.is_lost(first))
        self.links.note_lost(third, REFUSED)
        self.assertTrue(self.links.is_network_suspect(third))

    async def test_a_byte_of_a_target_ends_the_suspicion(self):
        for info in self.targets[:2]:
            self.links.note_lost(info, TIMEOUT)
        self.links.note_heard(self.targets[3])
        self.assertFalse(self.links.is_network_suspect(self.targets[-1]))

    async def test_a_delisted_target_is_no_lost_link(self):
        reported = []
        self.links.note_lost(self.targets[0], REFUSED)
        self.links.on_change = lambda: reported.append(self.links.unreached())
        self.links.update({info.incarnation: info for info in self.targets[1:]})
        self.assertEqual([[]], reported)

    async def test_a_target_that_is_down_for_hours_is_tried_seldom(self):
        for _ in range(2_000):
            self.links.note_lost(self.targets[0], REFUSED)
        attempts = self.entry.pool.attempts
        self.links.check()
        self.assertEqual(attempts, self.entry.pool.attempts)
        await self.timer.advance(target_links.MAX_TRIAL_PERIOD_S + 1.0)
        self.assertEqual([], self.links.lost)
