"""Tests of what an entry sends to engines that limit the rate of requests."""

import asyncio
import collections

import attrs

from endivesill.fleet.engine_limits import HOLD_S
from endivesill.fleet.permits import SendPermits
from endivesill.http1 import UpstreamError
from tests.forwarding_case import STREAM_HEADERS, ForwardingTestCase
from tests.standin_platform import StandinEngine


class CountedPermits(SendPermits):
    """Permits in limited number for each engine."""

    def __init__(self):
        self.left = collections.Counter()
        self.taken = collections.Counter()
        self.unlimited = set()
        self.expected_s = float("inf")

    def may_send(self, incarnation):
        return self.left[incarnation] > 0

    def take(self, incarnation):
        if not self.may_send(incarnation):
            return False
        self.left[incarnation] -= 1
        self.taken[incarnation] += 1
        return True

    def limit_per_s(self, incarnation):
        return None if incarnation in self.unlimited else 2.0

    def free_at_s(self, incarnation):
        return self.expected_s


class EverySendTest(ForwardingTestCase):
    """Each request to an engine needs a permit of its own."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.permits = self.table.permits = CountedPermits()

    async def add(self, service, permits, *names) -> list[StandinEngine]:
        engines = await self.add_engines(service, *names)
        for engine, count in zip(engines, permits, strict=True):
            self.permits.left[f"{engine.identity}@1"] = count
        return engines

    async def test_a_retry_needs_a_permit(self):
        engines = await self.add("app", (1, 0), "p1", "p2")
        for engine in engines:
            engine.statuses = [500] * 3
        head, _ = await self.send_request("/safe/x")
        self.assertEqual(502, head.status)
        self.assertEqual([1, 0], [len(engine.requests) for engine in engines])

    async def test_a_request_goes_to_the_engine_with_a_permit(self):
        engines = await self.add("app", (0, 20), "p1", "p2")
        for _ in range(20):
            head, _ = await self.send_request("/unsafe/x")
            self.assertEqual(200, head.status)
        self.assertEqual([0, 20], [len(engine.requests) for engine in engines])

    async def test_a_request_without_a_permit_is_refused_at_once(self):
        await self.add("app", (0, 0), "p1", "p2")
        started_s = self.timer.now_s()
        head, _ = await self.send_request("/unsafe/x")
        self.assertEqual(503, head.status)
        self.assertLess(self.timer.now_s() - started_s, 0.5)
        refusals = [f for name, f in self.lines if name == "request-refused"]
        self.assertEqual("all targets limited", refusals[0]["reason"])

    async def test_a_retry_that_waits_for_a_permit_holds_up_no_other_request(self):
        """The other engine has no limit, and the retry may not go there again."""
        limited, free = await self.add("app", (0, 50), "p1", "p2")
        self.permits.unlimited = {"p2@1"}
        self.permits.expected_s = self.timer.now_s() + 0.5
        free.statuses = [500]
        retried = asyncio.ensure_future(self.send_request("/safe/x"))
        await self.wait_until(lambda: free.requests)
        for _ in range(5):
            head, _ = await asyncio.wait_for(self.send_request("/unsafe/x"), 5)
            self.assertEqual(200, head.status)
        self.assertFalse(retried.done())
        self.permits.left["p1@1"] = 1
        self.forwarder._admission.admit_waiting()
        head, _ = await retried
        self.assertEqual((200, 1), (head.status, len(limited.requests)))

    async def start_broken_run(self, permits):
        engines = await self.add("llm", permits, "e1", "e2")
        engines[0].break_after = 3
        for engine in engines:
            engine.copies = {"a1"}
        task = asyncio.ensure_future(self.send_request("/stream/x", *STREAM_HEADERS))
        await self.wait_until(lambda: engines[0].requests)
        return engines, task

    async def test_a_resume_without_a_permit_is_not_sent(self):
        engines, task = await self.start_broken_run((1, 0))
        with self.assertRaises(UpstreamError):
            await task
        self.assertEqual([1, 0], [len(engine.requests) for engine in engines])

    async def test_a_resume_waits_for_a_permit(self):
        engines, task = await self.start_broken_run((1, 0))
        await asyncio.sleep(0.1)
        self.assertEqual([], engines[1].requests)
        self.permits.left["e2@1"] = 1
        head, _ = await task
        self.assertEqual(200, head.status)
        self.assertEqual(1, self.permits.taken["e2@1"])

    async def test_an_order_to_copy_a_run_needs_a_permit(self):
        (first,) = await self.add("llm", (1,), "e1")
        first.events = 200
        first.event_pause_s = 0.01
        task = asyncio.ensure_future(self.send_request("/stream/x", *STREAM_HEADERS))
        await self.wait_until(lambda: first.requests)
        await self.add("llm", (0,), "e2")
        del self.view.engines["e1@1"]
        self.table.update_engines()

        def copy_failed():
            self.table.notify()
            return any(name == "run-copied" for name, _ in self.lines)

        await self.wait_until(copy_failed)
        self.assertEqual([], first.copy_orders)
        task.cancel()


class NamedLimitTest(ForwardingTestCase):
    """What an entry learns from the responses of engines."""

    async def limit(self, *values, status=200, rejects=False):
        engines = self.engines or await self.add_engines("app", "p1")
        engines[0].response_headers = [(b"Server-Limit", value) for value in values]
        engines[0].rejects = rejects
        engines[0].statuses = [status]
        await self.send_request("/unsafe/x")
        return self.table.notices.limits.limit_per_s("p1@1")

    async def test_a_limit_holds_as_long_as_responses_name_it(self):
        self.assertEqual(3.0, await self.limit(b"3"))
        self.assertEqual(2.5, await self.limit(b"2.5"))
        self.age_limits()
        self.assertEqual(3.5, await self.limit(b"3.5"))
        self.age_limits()
        self.assertIsNone(await self.limit())

    def age_limits(self):
        """Let the time pass after which a limit may be raised or ended."""
        observations = self.table.notices.limits._observations
        for incarnation, known in observations.items():
            seen_s = known.seen_s - HOLD_S
            observations[incarnation] = attrs.evolve(known, seen_s=seen_s)

    async def test_a_rejection_may_name_a_limit_but_ends_none(self):
        self.assertEqual(2.5, await self.limit(b"2.5", rejects=True))
        self.assertEqual(2.5, await self.limit(rejects=True))

    async def test_odd_limits(self):
        self.assertEqual(4.0, await self.limit(b"4"))
        for odd in (b"-1", b"nan", b"inf", b"1e9", b"", b"x", b"9" * 400, b"\xff"):
            self.assertEqual(4.0, await self.limit(odd), odd)
        self.assertEqual(2.0, await self.limit(b"3", b"2"))
        self.assertEqual(2.0, await self.limit(b"5, 2"))
        self.assertEqual(0.25, await self.limit(b"0"))
        self.age_limits()
        self.assertEqual(100_000.0, await self.limit(b"9" * 40))
