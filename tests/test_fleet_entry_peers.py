"""Tests of the entries that the leader names to entries without links."""

import random
import unittest

from endivesill.fleet import entry_peers
from endivesill.fleet.entry_peers import EntryDirectory, EntryPeers
from endivesill.timer import ManualTimer


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.directory = EntryDirectory(self.timer, random.Random(1))

    def add(self, name, data_centre="a", region="r", lost=(), address=""):
        reach = {
            "address": address or f"10.0.0.{name}:7520",
            "data_centre": data_centre,
            "region": region,
            "lost": list(lost),
        }
        self.directory.record({"entry": str(name), "reach": reach})

    def peers_of(self, name):
        reply = self.directory.reply_fields({"entry": str(name), "peers_wanted": True})
        return [address.partition(":")[0] for address, *_ in reply["peers"]]

    def test_an_unknown_entry_is_asked_to_introduce_itself(self):
        reply = self.directory.reply_fields({"entry": "1", "peers_wanted": True})
        self.assertEqual({"introduce": True}, reply)

    def test_nothing_is_said_unasked(self):
        self.add(1)
        self.add(2)
        self.assertEqual({}, self.directory.reply_fields({"entry": "1"}))

    def test_the_nearest_come_first_and_others_as_well(self):
        for name in range(1, 11):
            self.add(name, data_centre="a")
        for name in range(11, 21):
            self.add(name, data_centre="b" if name % 2 else "c")
        peers = self.peers_of(1)
        self.assertEqual(entry_peers.PEER_COUNT, len(set(peers)))
        near = [int(peer.rpartition(".")[2]) <= 10 for peer in peers]
        self.assertEqual([True] * 4 + [False] * 4, near)
        self.assertNotIn("10.0.0.1", peers)

    def test_entries_that_have_lost_the_same_links_come_last(self):
        self.add(1, lost=["x", "y"])
        self.add(2, lost=["x", "y"])
        self.add(3, lost=["*"])
        self.add(4, lost=["z"])
        self.add(5, lost=["x"])
        peers = self.peers_of(1)
        self.assertEqual(["10.0.0.4", "10.0.0.5", "10.0.0.2", "10.0.0.3"], peers)

    def test_requests_stay_in_their_region(self):
        self.add(1, data_centre="a", region="r1")
        self.add(2, data_centre="b", region="r2")
        self.assertEqual([], self.peers_of(1))

    def test_an_entry_that_is_silent_or_has_stopped_is_not_named(self):
        for name in (1, 2, 3):
            self.add(name)
        self.timer.jump(entry_peers.MAX_SILENCE_S - 1)
        self.directory.record({"entry": "1"})
        self.directory.record({"entry": "2"})
        self.timer.jump(2)
        self.assertEqual(["10.0.0.2"], self.peers_of(1))
        self.directory.remove("2")
        self.assertEqual([], self.peers_of(1))

    def test_a_restarted_entry_is_named_once(self):
        self.add(1)
        self.add(2, address="10.0.0.2:7520")
        self.add(3, address="10.0.0.2:7520")
        self.assertEqual(["10.0.0.2"], self.peers_of(1))
        # The stop of the earlier process came late.
        self.directory.remove("2")
        self.assertEqual(["10.0.0.2"], self.peers_of(1))

    def test_the_choice_is_spread_and_bounded(self):
        for name in range(1_000):
            self.add(name, data_centre="abcdefgh"[name % 8])
        seen = set()
        for _ in range(200):
            peers = self.peers_of(1)
            self.assertEqual(entry_peers.PEER_COUNT, len(peers))
            seen.update(peers)
        self.assertGreater(len(seen), 300)

    def test_sound_entries_are_found_among_many_that_are_not(self):
        """All but one entry in fifty of each data centre have lost their links."""
        for count in (200, 1_000):
            self.setUp()
            sound = set()
            for name in range(count):
                is_sound = name % 150 < 3
                self.add(
                    name, data_centre="abc"[name % 3], lost=[] if is_sound else ["*"]
                )
                sound |= {f"10.0.0.{name}"} if is_sound else set()
            for _ in range(20):
                named = set(self.peers_of(5))
                wanted = min(len(sound), entry_peers.PEER_COUNT)
                self.assertGreaterEqual(len(named & sound), wanted // 2)


class PeersTest(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.client = EntryPeers(self.timer)
        self.client.own = entry_peers.EntryPeer("10.0.0.1:7520", "a", "r")
        self.timer.jump(10)

    def exchange(self, reply, address="leader"):
        request = self.client.request_fields(address)
        self.client.apply_reply(address, request, reply)
        return request

    def test_it_introduces_itself_once_to_each_leader(self):
        self.assertIn("reach", self.exchange({}))
        self.assertNotIn("reach", self.exchange({}))
        self.assertIn("reach", self.exchange({}, "other"))
        self.exchange({"introduce": True}, "other")
        self.assertIn("reach", self.exchange({}, "other"))

    def test_lost_links_are_reported_and_other_peers_wanted(self):
        self.exchange({"peers": [["10.0.0.2:7520", "a", "r"]]})
        self.timer.jump(entry_peers.MIN_REQUEST_PERIOD_S)
        self.assertNotIn("peers_wanted", self.exchange({}))
        self.client.set_lost(["x"])
        request = self.exchange({})
        self.assertEqual(["x"], request["reach"]["lost"])
        self.assertTrue(request["peers_wanted"])
        self.assertEqual(["10.0.0.2:7520"], [p.address for p in self.client.peers])

    def test_the_list_of_lost_links_is_bounded(self):
        self.client.set_lost(map(str, range(1_000)))
        self.assertEqual(["*"], self.exchange({})["reach"]["lost"])

    def test_requests_for_peers_are_bounded(self):
        """A flapping link, and a leader that has no other entry to name."""
        wanted = 0
        for number in range(100):
            self.client.set_lost(["x"] * (number % 2))
            wanted += self.exchange({"peers": []}).get("peers_wanted", False)
            self.timer.jump(0.1)
        self.assertLessEqual(wanted, 11)

    def test_peers_are_asked_for_again_after_a_time(self):
        row = ["10.0.0.2:7520", "a", "r"]
        for count, refresh_s in (
            (1, entry_peers.FEW_REFRESH_S),
            (entry_peers.PEER_COUNT, entry_peers.REFRESH_S),
        ):
            self.exchange({"peers": [row] * count})
            self.timer.jump(refresh_s - 1)
            self.assertNotIn("peers_wanted", self.exchange({}))
            self.timer.jump(1)
            self.assertTrue(self.exchange({})["peers_wanted"])

    def test_a_leader_that_knows_no_entry_yet_takes_none_away(self):
        self.exchange({"peers": [["10.0.0.2:7520", "a", "r"]]})
        self.exchange({"peers": []}, "new leader")
        self.assertEqual(1, len(self.client.peers))
