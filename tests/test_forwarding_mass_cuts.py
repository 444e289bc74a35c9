"""Many entries lose their links to targets at once; counted in virtual time."""

import asyncio
import unittest

from tests.memory_entries import HANGING, REFUSED, MemoryEntries

# From the start of a cut until callers must be served, and the part of them.
SERVED_AFTER_S = 3.0
GOAL = 0.95
BOOKING_S = 0.6
DATA_CENTRE = "a"


class MassCutTestCase(unittest.IsolatedAsyncioTestCase):
    """A fleet that has been up for a while without any request."""

    async def asyncSetUp(self):
        # The debug mode of the loop records a stack for each task.
        asyncio.get_running_loop().set_debug(False)

    async def start(self, count, targets=12):
        self.fleet = MemoryEntries(count, targets)
        self.entries = list(self.fleet.entries.values())
        await self.fleet.timer.advance(5.0)

    async def cut(self, entries, kind=HANGING, service=""):
        """Cut entries off, and wait until their callers must be served."""
        self.fleet.cut(entries, kind, service)
        await self.fleet.timer.advance(SERVED_AFTER_S)

    async def assert_served(self, entries):
        """Assert that the first requests are served, in the time of a booking."""
        served = await self.fleet.call_all(entries, BOOKING_S)
        self.assertGreaterEqual(served, GOAL * len(entries))

    def all_but(self, count):
        """Return all entries but some, which are spread over the data centres."""
        step = len(self.entries) // count
        sound = self.entries[:: step + 1][:count]
        return [entry for entry in self.entries if entry not in sound]


class QuietEntriesTest(MassCutTestCase):
    """Entries without any request before and during the cut."""

    async def test_most_entries_of_200(self):
        await self.start(200)
        cut = self.all_but(10)
        await self.cut(cut)
        await self.assert_served(cut)

    async def test_most_entries_of_1000(self):
        await self.start(1_000)
        cut = self.all_but(30)
        await self.cut(cut)
        await self.assert_served(cut)

    async def test_links_that_refuse(self):
        await self.start(200)
        cut = self.all_but(10)
        await self.cut(cut, REFUSED)
        await self.assert_served(cut)

    async def test_a_data_centre(self):
        await self.start(200)
        cut = [entry for entry in self.entries if entry.data_centre == DATA_CENTRE]
        await self.cut(cut)
        await self.assert_served(cut)

    async def test_half_after_half(self):
        await self.start(200)
        even, odd = self.entries[::2], self.entries[1::2]
        await self.cut(even)
        await self.assert_served(even)
        for ended, begun in ((even, odd), (odd, even)):
            self.fleet.cut(ended, "")
            await self.cut(begun)
            await self.assert_served(begun)

    async def test_the_targets_of_one_service(self):
        await self.start(200)
        cut = self.all_but(20)
        await self.cut(cut, service="app")
        for _ in range(2):
            await self.assert_served(cut)

    async def test_the_network_of_many_is_no_crash_of_a_target(self):
        """Entries whose own network refuses connections confirm no crash."""
        await self.start(60)
        await self.cut(self.entries, REFUSED)
        info = next(iter(self.fleet.targets.values()))
        for entry in self.entries[:10]:
            call = entry.client.check(info)
            self.assertIsNone(await self.run_virtual(call))

    async def run_virtual(self, awaitable):
        """Return a result that is there after some virtual time."""
        task = asyncio.ensure_future(awaitable)
        await self.fleet.timer.advance(2.0)
        return task.result()


class DarkTargetTest(MassCutTestCase):
    """Targets that answer no entry, chosen before others."""

    async def test_dark_targets_delay_requests_little(self):
        await self.start(40, targets=6)
        self.fleet.dark = {"app0@1", "llm0@1"}
        for _ in range(4):
            served = await self.fleet.call_all(self.entries, 0.35)
            self.assertGreaterEqual(served, GOAL * len(self.entries))


class HealedEntriesTest(MassCutTestCase):
    async def test_links_are_regained_without_requests(self):
        await self.start(60)
        await self.cut(self.entries[1:])
        await self.assert_served(self.entries[1:])
        self.fleet.cut(self.entries, "")
        await self.fleet.timer.advance(2.0)
        self.assertEqual([], [e for e in self.entries if e.links.unreached()])


class CostTest(MassCutTestCase):
    """What the sound entries and the leader bear."""

    async def test_the_sound_entries_share_the_requests(self):
        await self.start(200)
        cut = self.all_but(10)
        await self.cut(cut)
        for _ in range(5):
            await self.assert_served(cut)
        sound = [entry for entry in self.entries if entry not in cut]
        proxied = [entry.proxied for entry in sound]
        self.assertLess(max(proxied), 4 * sum(proxied) / len(proxied))

    async def test_the_leader_names_peers_at_a_bounded_rate(self):
        """Each entry gets at most one answer a second, also while none is served."""
        await self.start(200)
        await self.cut(self.entries)
        named = self.fleet.peers_named
        self.assertEqual(0, await self.fleet.call_all(self.entries, BOOKING_S))
        await self.fleet.timer.advance(4.0)
        seconds = 1.0 + BOOKING_S + 4.0
        self.assertLess(self.fleet.peers_named - named, seconds * len(self.entries))

    async def test_a_cut_costs_few_trials_and_reports(self):
        """Guards against entries that try all links, and report each one lost."""
        await self.start(60)
        attempts = [entry.pool.attempts for entry in self.entries]
        await self.cut(self.entries)
        for entry, before in zip(self.entries, attempts, strict=True):
            # Few at first, and then at most four in each half second.
            self.assertLessEqual(entry.pool.attempts - before, 6 + 4 * 6)
            self.assertLessEqual(entry.reports, 3)
            self.assertEqual(len(self.fleet.targets), len(entry.links.unreached()))
            self.assertLess(len(entry.links.lost), 10)

    async def test_entries_at_rest_try_few_links(self):
        await self.start(60)
        attempts = sum(entry.pool.attempts for entry in self.entries)
        await self.fleet.timer.advance(10.0)
        attempts = sum(entry.pool.attempts for entry in self.entries) - attempts
        self.assertLessEqual(attempts, 60 * 10.0 / 1.5)
