"""Tests of the prefix hashes and the prefix index."""

import unittest

from endivesill.routing.credits import Allocation
from endivesill.routing.policy import AFFINITY_LIMIT_TOKENS, Candidate, Decision
from endivesill.routing.policy import POLICIES as POLICY_KINDS
from endivesill.routing.prefixes import (
    PREFIX_BLOCK_TOKENS,
    PrefixIndex,
    prefix_hashes,
)
from endivesill.targets import CacheEvent, CacheEvents
from tests.routing_fakes import make_request, make_target

BLOCK = "x" * 4 * PREFIX_BLOCK_TOKENS


def events(*numbered, boot_id="boot", first=1):
    found = tuple(
        CacheEvent(sequence, kind, prefix, PREFIX_BLOCK_TOKENS)
        for sequence, kind, prefix in numbered
    )
    return CacheEvents(boot_id, first, found)


class PrefixHashesTest(unittest.TestCase):
    def test_prompts_share_the_hashes_of_their_common_blocks(self):
        one = prefix_hashes(BLOCK + BLOCK + "a" * len(BLOCK))
        two = prefix_hashes(BLOCK + BLOCK + "b" * len(BLOCK))
        self.assertEqual(one[:2], two[:2])
        self.assertNotEqual(one[2], two[2])

    def test_short_prompt_has_no_hashes(self):
        self.assertEqual((), prefix_hashes("short"))


class PrefixIndexTest(unittest.TestCase):
    def setUp(self):
        self.index = PrefixIndex()

    def test_stored_and_evicted_prefixes_update_the_index(self):
        self.index.apply("e0", events((1, "stored", "a"), (2, "stored", "b")))
        tokens = self.index.cached_tokens("e0", ("a", "b", "c"))
        self.assertEqual(2 * PREFIX_BLOCK_TOKENS, tokens)
        self.index.apply("e0", events((3, "evicted", "a")))
        self.assertEqual(0, self.index.cached_tokens("e0", ("a", "b")))

    def test_gap_marks_the_index_stale_until_a_resync(self):
        self.index.apply("e0", events((1, "stored", "a")))
        complete = self.index.apply("e0", events((3, "stored", "c")))
        self.assertFalse(complete)
        self.assertTrue(self.index.needs_resync("e0"))
        self.assertLess(self.index.cached_tokens("e0", ("a",)), PREFIX_BLOCK_TOKENS)
        self.index.resync("e0", events((1, "stored", "a"), (2, "evicted", "a")))
        self.assertFalse(self.index.needs_resync("e0"))
        self.assertEqual(0, self.index.cached_tokens("e0", ("a",)))

    def test_a_new_boot_has_missed_nothing(self):
        self.index.apply("e0", events((1, "stored", "a")))
        self.index.apply("e0", events((3, "stored", "c")))
        self.assertTrue(self.index.needs_resync("e0"))
        complete = self.index.apply("e0", events((1, "stored", "b"), boot_id="next"))
        self.assertTrue(complete)
        self.assertFalse(self.index.needs_resync("e0"))

    def test_repeated_events_change_nothing(self):
        self.index.apply("e0", events((1, "stored", "a"), (2, "evicted", "a")))
        self.assertTrue(self.index.apply("e0", events((1, "stored", "a"))))
        self.assertEqual(0, self.index.cached_tokens("e0", ("a",)))

    def test_reboot_and_cleared_cache_empty_the_index(self):
        self.index.apply("e0", events((1, "stored", "a")))
        self.index.apply("e0", events(boot_id="boot-2"))
        self.assertEqual(0, self.index.cached_tokens("e0", ("a",)))
        self.index.record_placement("e0", ("a",))
        self.index.apply("e0", events((1, "cleared", ""), boot_id="boot-2"))
        self.assertEqual(frozenset(), self.index.holders(("a",)))

    def test_placement_counts_before_its_cache_event(self):
        self.index.record_placement("e0", ("a", "b"))
        self.assertEqual({"e0"}, self.index.holders(("a",)))


class AffinityTest(unittest.TestCase):
    def choose(self, filled_tokens, prompt_tokens=1500):
        index = PrefixIndex()
        prefix = tuple(str(n) for n in range(prompt_tokens // PREFIX_BLOCK_TOKENS))
        index.record_placement("e0", prefix)
        allocation = Allocation(20, 10_000, 9_000, 1, 1e9)
        caching = Candidate(
            make_target("e0"), reserved_tokens=filled_tokens, allocation=allocation
        )
        other = Candidate(make_target("e1"), allocation=allocation)
        request = make_request(prompt_tokens=prompt_tokens, prefix=prefix)
        decision = Decision(request, 0.0, 100, index)
        chosen = POLICY_KINDS["credit"]().choose(decision, [caching, other])
        return chosen.target.name

    def test_cached_prefix_decides_at_equal_load(self):
        self.assertEqual("e0", self.choose(0))

    def test_affinity_does_not_outweigh_memory(self):
        self.assertEqual("e1", self.choose(9_000))

    def test_affinity_outweighs_pending_prefill_up_to_its_limit(self):
        index = PrefixIndex()
        prefix = tuple(str(n) for n in range(11))
        index.record_placement("e0", prefix)
        allocation = Allocation(20, 100_000, 90_000, 1, 1e9)
        for ahead, expected in (
            (AFFINITY_LIMIT_TOKENS - 100, "e0"),
            (AFFINITY_LIMIT_TOKENS + 100, "e1"),
        ):
            caching = Candidate(
                make_target("e0"), prefill_tokens=ahead, allocation=allocation
            )
            other = Candidate(make_target("e1"), allocation=allocation)
            request = make_request(prompt_tokens=1500, prefix=prefix)
            decision = Decision(request, 0.0, 100, index)
            chosen = POLICY_KINDS["credit"]().choose(decision, [caching, other])
            self.assertEqual(expected, chosen.target.name)
