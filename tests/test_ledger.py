"""Tests of the replicated ledger and of claims."""

import asyncio
import copy
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivesill import errors
from endivesill.configuration.model import Limits, Organisation, Service
from endivesill.control import CommandContext, LocalControl, State
from endivesill.control.commands import run_command, run_query
from endivesill.entry.background import BackgroundTasks
from endivesill.entry.claims import (
    ClaimResult,
    Claims,
    ClaimState,
    StoredResponse,
    request_digest,
)
from endivesill.entry.ledger import make_ledger_id, shard_of
from endivesill.entry.settings import EntrySettings
from endivesill.timer import ManualTimer

STORED_RESPONSE = {"status": 200, "headers": [["a", "b"]], "body": "0123456789"}


class LedgerCommands:
    """Runs ledger commands with default arguments."""

    def __init__(self, entries=3, age_s=100.0, answers_bytes=1000):
        self.state = State()
        self.entries, self.age_s = entries, age_s
        self.answers_bytes = answers_bytes
        self.index = 0

    def claim(self, key, time_s, attempt="a", digest="d"):
        message = {
            "shard": 0,
            "id": key,
            "digest": digest,
            "owner": "vm",
            "attempt": attempt,
            "duration_s": 10.0,
            "age_s": self.age_s,
            "entries": self.entries,
        }
        return self._run("ledger.claim", message, time_s)

    def finish(self, key, time_s, result="done", attempt="a", answer=None):
        message = {"shard": 0, "id": key, "attempt": attempt, "result": result}
        message = {**message, "answer": answer, "answers_bytes": self.answers_bytes}
        return self._run("ledger.finish", message, time_s)

    def read(self, key):
        return run_query(self.state, "ledger.read", {"shard": 0, "id": key})["state"]

    def _run(self, name, message, time_s):
        self.index += 1
        return run_command(
            self.state, name, message, CommandContext(self.index, time_s)
        )


class LedgerTest(unittest.TestCase):
    def test_a_key_is_claimed_once(self):
        ledger = LedgerCommands()
        self.assertEqual("claimed", ledger.claim("k", 0.0)["state"])
        again = ledger.claim("k", 1.0, attempt="b")
        self.assertEqual(("running", 9.0), (again["state"], again["wait_s"]))

    def test_a_claim_repeated_after_a_lost_response_is_the_same_claim(self):
        ledger = LedgerCommands()
        ledger.claim("k", 0.0)
        self.assertEqual("claimed", ledger.claim("k", 1.0)["state"])

    def test_a_key_of_another_request_is_a_mismatch(self):
        ledger = LedgerCommands()
        ledger.claim("k", 0.0)
        self.assertEqual("mismatch", ledger.claim("k", 1.0, digest="e")["state"])

    def test_a_finished_key_returns_its_response(self):
        ledger = LedgerCommands()
        ledger.claim("k", 0.0)
        ledger.finish("k", 1.0, answer=STORED_RESPONSE)
        found = ledger.claim("k", 2.0, attempt="b")
        self.assertEqual(("done", STORED_RESPONSE), (found["state"], found["answer"]))

    def test_the_oldest_responses_are_dropped_but_their_keys_stay_known(self):
        ledger = LedgerCommands(answers_bytes=30)
        for number, key in enumerate("klm"):
            ledger.claim(key, float(number))
            ledger.finish(key, float(number), answer=STORED_RESPONSE)
        found = [ledger.claim(key, 5.0, attempt="b") for key in "klm"]
        self.assertEqual(["done"] * 3, [each["state"] for each in found])
        kept = [each["answer"] for each in found]
        self.assertEqual([None, STORED_RESPONSE, STORED_RESPONSE], kept)
        self.assertEqual(24, ledger.state.sections["ledger-0"]["answer_bytes"])

    def test_an_expired_claim_is_unknown_and_never_claimed_again(self):
        ledger = LedgerCommands()
        ledger.claim("k", 0.0)
        self.assertEqual("unknown", ledger.claim("k", 11.0, attempt="b")["state"])
        self.assertEqual("unknown", ledger.claim("k", 12.0)["state"])

    def test_a_late_outcome_replaces_an_unknown_one(self):
        ledger = LedgerCommands()
        ledger.claim("k", 0.0)
        ledger.claim("k", 11.0, attempt="b")
        ledger.finish("k", 12.0)
        self.assertEqual("done", ledger.claim("k", 13.0, attempt="b")["state"])

    def test_a_released_key_can_be_claimed_again(self):
        ledger = LedgerCommands()
        ledger.claim("k", 0.0)
        ledger.finish("k", 1.0, result="released")
        self.assertEqual("absent", ledger.read("k"))
        self.assertEqual("claimed", ledger.claim("k", 2.0, attempt="b")["state"])

    def test_another_attempt_cannot_finish_a_claim(self):
        ledger = LedgerCommands()
        ledger.claim("k", 0.0)
        ledger.finish("k", 1.0, result="released", attempt="b")
        self.assertEqual("running", ledger.read("k"))

    def test_keys_expire_by_age(self):
        ledger = LedgerCommands(age_s=50.0)
        ledger.claim("k", 0.0)
        ledger.finish("k", 1.0)
        ledger.claim("l", 51.0)
        self.assertEqual("absent", ledger.read("k"))

    def test_the_oldest_key_is_evicted_but_never_a_running_one(self):
        ledger = LedgerCommands(entries=2)
        ledger.claim("k", 0.0)
        ledger.finish("k", 1.0)
        ledger.claim("l", 2.0)
        self.assertEqual("claimed", ledger.claim("m", 3.0)["state"])
        self.assertEqual("absent", ledger.read("k"))
        self.assertEqual("full", ledger.claim("n", 4.0)["state"])
        self.assertEqual("claimed", ledger.claim("n", 12.5)["state"])

    def test_shards_are_even(self):
        counts = [0] * 4
        for number in range(4000):
            counts[shard_of(make_ledger_id("o", "s", str(number)), 4)] += 1
        self.assertLess(max(counts) - min(counts), 200)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("klmn"),
                st.sampled_from("ab"),
                st.sampled_from(("claim", "done", "unknown", "released")),
                st.floats(0, 8),
            ),
            max_size=40,
        )
    )
    def test_a_restored_snapshot_behaves_like_the_original_state(self, steps):
        ledger, other = (LedgerCommands(answers_bytes=20) for _ in range(2))
        time_s = 0.0
        running = {}
        for key, attempt, action, passed_s in steps:
            time_s += passed_s
            other.state = State(
                json.loads(json.dumps(ledger.state.sections, sort_keys=True))
            )
            if action == "claim":
                result = ledger.claim(key, time_s, attempt)
                self.assertEqual(result, other.claim(key, time_s, attempt))
                if result["state"] == "claimed":
                    until_s, owner = running.get(key, (0.0, attempt))
                    self.assertTrue(until_s <= time_s or owner == attempt)
                    running[key] = (time_s + 10.0, attempt)
            else:
                ledger.finish(key, time_s, action, attempt, STORED_RESPONSE)
                other.finish(key, time_s, action, attempt, STORED_RESPONSE)
                if running.get(key, (0, ""))[1] == attempt:
                    running.pop(key)
            self.assertEqual(ledger.state, other.state)
            section = ledger.state.sections.get("ledger-0", {})
            self.assertLessEqual(len(section.get("entries", {})), ledger.entries)
            self.assertLessEqual(section.get("answer_bytes", 0), 20)


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.control = LocalControl(self.timer)
        self.background = BackgroundTasks()
        self.gone = set()
        self.first, self.second = self.claims("vm-1"), self.claims("vm-2")
        self.digest = request_digest("POST", "/bookings", b"x")

    def claims(self, owner):
        return Claims(
            self.timer,
            self.control,
            EntrySettings(),
            owner,
            self.background,
            lambda name: name in self.gone,
        )

    async def claim(self, claims, key="k", deadline_s=5.0):
        service = Service("app", protocol="plain", deadline_s=deadline_s)
        organisation = Organisation("o", key_sha256="0" * 64)
        limits = Limits("default")
        return await claims.claim(
            organisation, service, key, self.digest, limits, "request"
        )

    async def test_a_waiting_entry_gets_the_response_of_the_running_call(self):
        claim = await self.claim(self.first)
        waiting = asyncio.ensure_future(self.claim(self.second))
        await self.timer.advance(0.5)
        self.assertFalse(waiting.done())
        answer = StoredResponse(201, (("x", "y"),), b"\x00body")
        await self.first.finish(claim, ClaimResult.DONE, answer)
        await self.timer.advance(1.0)
        found = await waiting
        self.assertEqual((ClaimState.DONE, answer), (found.state, found.response))

    async def test_waiting_ends_at_the_deadline(self):
        await self.claim(self.first)
        waiting = asyncio.ensure_future(self.claim(self.second))
        await self.timer.advance(5.1)
        self.assertEqual(ClaimState.RUNNING, (await waiting).state)

    async def test_a_failed_claimant_leaves_the_outcome_unknown(self):
        await self.claim(self.first)
        self.gone.add("vm-1")
        found = await self.claim(self.second)
        self.assertEqual(ClaimState.UNKNOWN, found.state)

    async def test_a_released_claim_is_claimed_by_the_waiting_entry(self):
        claim = await self.claim(self.first)
        waiting = asyncio.ensure_future(self.claim(self.second))
        await self.timer.advance(0.5)
        await self.first.finish(claim, ClaimResult.RELEASED)
        await self.timer.advance(1.0)
        self.assertEqual(ClaimState.CLAIMED, (await waiting).state)

    async def test_an_unavailable_control_state_is_refused_before_dispatch(self):
        self.control.failure = errors.UnavailableError("no leader")
        with self.assertRaises(errors.RefusedError) as caught:
            await self.claim(self.first)
        self.assertEqual(errors.RunState.NOT_RUN, caught.exception.run)

    async def test_an_unknown_claim_is_released_later(self):
        propose, calls = self.control.propose, []

        async def lost(command, message, timeout_s):
            calls.append(command)
            await propose(command, message, timeout_s)
            raise errors.OutcomeUnknownError("lost")

        self.control.propose = lost
        with self.assertRaises(errors.RefusedError):
            await self.claim(self.first)
        self.assertEqual(3, calls.count("ledger.claim"))
        self.control.propose = propose
        await self.timer.advance(1.0)
        self.assertEqual(ClaimState.CLAIMED, (await self.claim(self.second)).state)

    async def test_an_outcome_that_could_not_be_recorded_is_recorded_later(self):
        claim = await self.claim(self.first)
        self.control.failure = errors.UnavailableError("no leader")
        await self.first.finish(claim, ClaimResult.DONE, StoredResponse(200, (), b""))
        self.control.failure = None
        before = copy.deepcopy(self.control.state)
        await self.timer.advance(1.0)
        self.assertNotEqual(before, self.control.state)
        self.assertEqual(ClaimState.DONE, (await self.claim(self.second)).state)

    async def test_an_invalid_key_is_refused(self):
        for key in ("", "x" * 256, "a\x00b"):
            with self.assertRaises(errors.RequestError):
                await self.claim(self.first, key)
