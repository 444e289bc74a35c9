"""Tests of the observation of runs that crash engines."""

import asyncio
import contextlib
import types

from endivesill.fleet.crash_evidence import CrashEvidence
from endivesill.fleet.crash_verdict import (
    BLOCK_CRASHES,
    FIRST_TRIAL_S,
    SOUND_BLOCK_CRASHES,
)
from endivesill.fleet.model import FleetConfiguration, RequestKind
from endivesill.forwarding.crash_guard import (
    CUT_RUNS_TTL_S,
    LIVED_ON_S,
    MAX_CHECKS,
    CrashGuard,
)
from endivesill.forwarding.route_table import RouteTable
from endivesill.http1 import UpstreamError, encode_head
from endivesill.timer import SystemTimer
from tests.forwarding_case import ROUTES, ForwardingTestCase
from tests.forwarding_fakes import MODEL, PLAIN, route
from tests.standin_platform import SEAL

COUNTS = (b"X-Endivesill-Token-Counts", b"1000,80")


def prefix(*parts):
    value = b",".join(part + b":100" for part in (*parts, b"0a"))
    return (b"X-Endivesill-Prompt-Prefix", value)


class ObservationTest(ForwardingTestCase):
    @property
    def evidence(self):
        return self.sync_client.crashes.evidence

    async def stream(self, *parts):
        try:
            head, body = await asyncio.wait_for(
                self.send_request("/stream/x", COUNTS, prefix(*parts)), 5
            )
        except UpstreamError:
            return None
        return head.status, body

    async def test_a_crash_after_a_late_first_event_is_reported(self):
        """The head comes at once; the prompt is read before the first event."""
        (engine,) = await self.add_engines("llm", "e1")

        async def respond_stream(exchange, headers, attempt):
            exchange.start(200, [attempt, SEAL])
            await asyncio.sleep(1.1)
            exchange.send(b"id: 1\ndata: x\n\n")
            await asyncio.sleep(0.05)
            await engine.stop()

        engine._respond_stream = respond_stream
        await self.stream(b"bad")
        await asyncio.sleep(0.1)
        self.assertIn("engine-crashed", [name for name, _ in self.lines])
        self.assertTrue(self.evidence.is_suspect(["bad"]))

    async def test_a_stream_that_ends_without_an_event_is_no_success(self):
        """The response has neither a length nor chunks, and its engine crashes."""
        (engine,) = await self.add_engines("llm", "e1")

        async def respond_stream(exchange, headers, attempt):
            exchange.head_sent = exchange.finished = True
            exchange.closes_connection = True
            exchange.connection.transport.write(
                encode_head(b"HTTP/1.1 200 OK", [attempt, SEAL])
            )
            await asyncio.sleep(0.01)
            engine._listener.stop_accepting()

        engine._respond_stream = respond_stream
        self.assertNotEqual((200, b""), await self.stream(b"bad"))
        await asyncio.sleep(0.1)
        self.assertTrue(self.evidence.is_suspect(["bad"]))

    async def test_a_trial_of_one_block_does_not_pass_another(self):
        for block in ("bad1", "bad2"):
            for number in range(BLOCK_CRASHES):
                self.evidence.note_crash(f"{block}-{number}@1", [block])
        first = self.evidence.blocks[0]
        now_s = self.timer.now_s()
        for report in self.evidence._reports.values():
            if report.causes <= first.causes:
                report.at_s = now_s - FIRST_TRIAL_S - 1
        self.evidence.number += 1
        self.evidence._finish_change()

        async def grant(block):
            return True

        self.sync_client.crashes.request_trial = grant
        (engine,) = await self.add_engines("llm", "e1")
        await self.stream(b"bad1", b"bad2")
        self.assertEqual([], engine.requests)

    async def test_a_trial_of_a_part_that_was_sound_is_not_resumed(self):
        self.evidence.note_sound(["bad"])
        for number in range(SOUND_BLOCK_CRASHES):
            await asyncio.sleep(0.01)
            self.evidence.note_crash(f"x{number}@1", ["bad"])
        for report in self.evidence._reports.values():
            report.at_s -= FIRST_TRIAL_S
        self.evidence.number += 1
        self.evidence._finish_change()

        async def grant(block):
            return True

        self.sync_client.crashes.request_trial = grant
        engines = await self.add_engines("llm", "e1", "e2", "e3")
        for engine in engines:
            engine.crashing_part = b"bad"
        await self.stream(b"bad")
        self.assertEqual(1, sum(len(engine.requests) for engine in engines))

    async def test_a_denied_trial_is_not_requested_by_each_prompt(self):
        for number in range(BLOCK_CRASHES):
            self.evidence.note_crash(f"x{number}@1", ["bad"])
        for report in self.evidence._reports.values():
            report.at_s -= FIRST_TRIAL_S
        self.evidence.number += 1
        self.evidence._finish_change()
        requested = []

        async def deny(block):
            requested.append(block)
            return False

        self.sync_client.crashes.request_trial = deny
        await self.add_engines("llm", "e1")
        for _ in range(5):
            self.assertEqual(503, (await self.stream(b"bad"))[0])
        self.assertEqual(1, len(requested))

    async def test_a_generation_that_is_not_streamed_is_observed(self):
        safe = route(
            RequestKind.SAFE,
            name="gen",
            path_prefix="/gen/",
            weighted_services=ROUTES[2].weighted_services,
        )
        self.forwarder.routes = RouteTable(
            FleetConfiguration(
                1, (safe,), {"app": PLAIN, "llm": MODEL}, (), 16_384, 1_000_000, 3, 15
            )
        )
        engines = await self.add_engines("llm", *(f"e{n}" for n in range(10)))
        for engine in engines:
            engine.crashing_part = b"bad"
        for _ in range(4):
            with contextlib.suppress(UpstreamError):
                await self.send_request("/gen/x", COUNTS, prefix(b"bad"))
        await asyncio.sleep(0.1)
        self.assertTrue(self.evidence.is_suspect(["bad"]))

    async def test_a_partition_of_an_engine_is_no_crash(self):
        (engine,) = await self.add_engines("llm", "e1")

        async def respond_stream(exchange, headers, attempt):
            exchange.start(200, [attempt, SEAL])
            await asyncio.sleep(0.01)
            exchange.abort()

        async def acquire(address, max_idle_s=None, *args, own=self.pool.acquire):
            if max_idle_s == 0:
                raise UpstreamError("no result within 0.5 s", sent=False)
            return await own(address, max_idle_s, *args)

        self.pool.acquire = acquire
        engine._respond_stream = respond_stream
        await self.stream(b"popular")
        await asyncio.sleep(0.1)
        self.assertFalse(self.evidence.is_suspect(["popular"]))

    async def test_a_run_that_ends_during_a_report_is_reported_too(self):
        evidence = CrashEvidence(self.timer)
        is_reported, may_connect = asyncio.Event(), asyncio.Event()
        connects = []

        async def report():
            await is_reported.wait()

        async def check(info):
            connects.append(info.address)
            if len(connects) > 1:
                await may_connect.wait()
            return False

        exchange = types.SimpleNamespace(evidence=evidence, report=report)
        client = types.SimpleNamespace(check=check, has_lost_idle=lambda info: False)
        guard = CrashGuard(self.timer, exchange, client, None)
        await self.add_engines("llm", "e1")
        target = self.target("e1")
        for number, part in enumerate(("sound", "bad")):
            call = self.make_call(part)
            guard.note_broken(call, target)
            await self.wait_until(lambda n=number: len(connects) > n)
        is_reported.set()
        await asyncio.sleep(0.01)
        may_connect.set()
        await asyncio.sleep(0.01)
        self.assertTrue(evidence.is_suspect(["bad"]))

    def make_call(self, cause):
        info = types.SimpleNamespace(attempt_id="a1")
        return types.SimpleNamespace(causes=(cause,), info=info)

    def make_attempt(self, *, is_framed, has_lost_target=None):
        """Return the attempt of a complete response of the engine e1."""
        return types.SimpleNamespace(
            target=self.target("e1"),
            head=types.SimpleNamespace(framed=is_framed),
            body=types.SimpleNamespace(has_lost_target=lambda: has_lost_target),
        )

    def make_guard(self, *results):
        """Return a guard whose checks of a target have these results in turn."""
        self.results = list(results)

        async def report():
            return

        async def check(info):
            return self.results.pop(0)

        exchange = types.SimpleNamespace(
            evidence=CrashEvidence(self.timer), report=report
        )
        client = types.SimpleNamespace(check=check, has_lost_idle=lambda info: False)
        return CrashGuard(self.timer, exchange, client, None)

    async def test_a_crash_that_cannot_be_told_at_once_is_checked_again(self):
        """Two engines of three end within milliseconds, and nothing else is heard."""
        guard = self.make_guard(None, None, False)
        await self.add_engines("app", "e1")
        call = self.make_call("bad")
        guard.note_broken(call, self.target("e1"))
        await self.wait_until(lambda: not self.results)
        await asyncio.sleep(0.01)
        self.assertTrue(guard._evidence.is_suspect(["bad"]))

    async def test_a_target_that_answers_a_later_check_tells_nothing(self):
        """Another one may have been started at its address meanwhile."""
        guard = self.make_guard(None, True)
        await self.add_engines("app", "e1")
        call = self.make_call("bad")
        guard.note_complete(call, self.make_attempt(is_framed=False))
        await self.wait_until(lambda: not self.results)
        await asyncio.sleep(0.01)
        self.assertFalse(guard._evidence.is_suspect(["bad"]))
        await asyncio.sleep(LIVED_ON_S + 0.1)
        self.assertEqual(set(), guard._evidence._sound.since(["bad"], 0.0))

    async def test_a_complete_run_whose_engine_is_still_listed_is_sound(self):
        """Its connection is lost, but the engine has not ended."""
        guard = self.make_guard(True)
        await self.add_engines("app", "e1")
        attempt = self.make_attempt(is_framed=True, has_lost_target=True)
        guard.note_complete(self.make_call("bad"), attempt)
        await self.wait_until(lambda: not self.results)
        self.assertEqual(set(), guard._evidence._sound.since(["bad"], 0.0))
        self.timer.now_s = lambda: SystemTimer.now_s(self.timer) + CUT_RUNS_TTL_S
        guard.review()
        self.assertEqual({"bad"}, guard._evidence._sound.since(["bad"], 0.0))
        self.assertFalse(guard._evidence.is_suspect(["bad"]))

    async def test_a_crash_that_another_vm_has_reported_counts(self):
        guard = self.make_guard(None)
        await self.add_engines("app", "e1")
        call = self.make_call("bad")
        guard.note_broken(call, self.target("e1"))
        await self.wait_until(lambda: not self.results)
        guard._evidence.note_crash("e1@1", ["other"])
        await self.wait_until(lambda: guard._evidence.is_suspect(["bad"]))

    async def cut_unconfirmed_run(self):
        """Cut a run at an engine of which no check tells whether it has ended."""
        guard = self.make_guard(*[None] * MAX_CHECKS)
        await self.add_engines("app", "e1")
        target = self.target("e1")
        guard.note_broken(self.make_call("bad"), target)
        await self.wait_until(lambda: not self.results)
        await asyncio.sleep(0.01)
        guard.review()
        self.assertFalse(guard._evidence.is_suspect(["bad"]))
        return guard, target

    async def test_an_end_that_no_check_can_confirm_is_known_from_the_list(self):
        """All engines of a service end before one of their ends is confirmed."""
        guard, _ = await self.cut_unconfirmed_run()
        del self.view.engines["e1@1"]
        self.table.update_engines()
        guard.review()
        await self.wait_until(lambda: guard._evidence.is_suspect(["bad"]))

    async def test_an_end_is_known_from_a_response_of_the_next_engine(self):
        guard, target = await self.cut_unconfirmed_run()
        self.table.note_replaced(target)
        guard.review()
        await self.wait_until(lambda: guard._evidence.is_suspect(["bad"]))

    async def test_an_end_soon_after_a_run_that_was_cut_long_after_another(self):
        """The engine has broken off the first one alone."""
        guard, target = await self.cut_unconfirmed_run()
        self.results = [True]
        start_s = self.timer.now_s()
        self.timer.now_s = lambda: start_s + 0.9 * CUT_RUNS_TTL_S
        guard.note_broken(self.make_call("late"), target)
        await self.wait_until(lambda: not self.results)
        self.timer.now_s = lambda: start_s + 1.1 * CUT_RUNS_TTL_S
        guard.review()
        self.table.note_replaced(target)
        guard.review()
        await asyncio.sleep(0.01)
        self.assertTrue(guard._evidence.is_suspect(["late"]))
        self.assertFalse(guard._evidence.is_suspect(["bad"]))

    async def test_runs_that_a_leaving_engine_cuts_count_for_nothing(self):
        guard, target = await self.cut_unconfirmed_run()
        target.draining_since_s = self.timer.now_s()
        del self.view.engines["e1@1"]
        self.table.update_engines()
        guard.review()
        await asyncio.sleep(0.01)
        self.assertEqual([], guard._evidence.rows())
        self.assertIn("end-not-counted", [name for name, _ in self.lines])
