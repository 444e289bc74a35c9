"""Tests of detecting departures from health checks."""

import asyncio
import unittest

from endivesill import errors
from endivesill.fleet.departures import (
    CHECK_PERIOD_S,
    CONFIRMED_AFTER_S,
    DepartureDetector,
    HealthSource,
)
from endivesill.http1 import ResponseHead
from endivesill.platform.health import decode_health
from endivesill.timer import ManualTimer, run_ready_tasks
from tests.forwarding_fakes import engine


class FakeHealth(HealthSource):
    """Health checks with set results; engines without a result do not respond."""

    def __init__(self):
        self.healthy = {}
        self.checks = []

    async def is_healthy(self, engine):
        self.checks.append(engine.identity)
        if engine.identity not in self.healthy:
            raise errors.UnavailableError("set by the test")
        return self.healthy[engine.identity]


class DepartureDetectorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.source = FakeHealth()
        self.engines = [engine("e1"), engine("e2")]
        self.changes = 0
        self.detector = DepartureDetector(
            self.timer, self.source, lambda: self.engines, self._note_change
        )
        task = asyncio.ensure_future(self.detector.run())
        self.addCleanup(task.cancel)
        await run_ready_tasks()

    def _note_change(self):
        self.changes += 1

    async def advance_check(self, **healthy):
        self.source.healthy = healthy
        await self.timer.advance(CHECK_PERIOD_S)
        await run_ready_tasks()

    async def test_a_failing_health_check_marks_an_engine_as_leaving(self):
        await self.advance_check(e1=True, e2=True)
        self.assertEqual(frozenset(), self.detector.leaving())
        await self.advance_check(e1=False, e2=True)
        self.assertEqual({"e1@1"}, self.detector.leaving())
        self.assertEqual(1, self.changes)

    async def test_the_first_check_of_a_new_engine_counts(self):
        await self.advance_check(e1=True, e2=True)
        self.engines.append(engine("e3"))
        await self.advance_check(e1=True, e2=True, e3=False)
        self.assertEqual({"e3@1"}, self.detector.leaving())

    async def test_a_new_engine_gets_work_after_its_first_check(self):
        """Guards against placements at an engine that leaves as it is listed."""
        await self.advance_check(e1=True, e2=True)
        self.detector.note_listed(self.engines)
        self.assertTrue(self.detector.is_verified(self.engines[0]))
        leaving, staying = engine("e3"), engine("e4")
        self.source.healthy |= {"e3": False, "e4": True}
        self.assertFalse(self.detector.is_verified(leaving))
        self.detector.note_listed([*self.engines, leaving, staying])
        await run_ready_tasks()
        self.assertTrue(self.detector.is_verified(staying))
        self.assertEqual({"e3@1"}, self.detector.leaving())

    async def test_the_first_list_of_a_leader_needs_no_first_checks(self):
        await self.advance_check(e1=True, e2=True)
        self.detector.note_listed([*self.engines, engine("e3")])
        self.assertTrue(self.detector.is_verified(engine("e3")))
        self.detector.note_listed(())
        self.assertTrue(self.detector.is_verified(engine("e4")))

    async def test_failures_are_ignored_until_an_engine_of_the_service_has_passed(self):
        self.engines.append(engine("a1", "app"))
        await self.advance_check(e1=False, e2=False, a1=True)
        self.assertEqual(frozenset(), self.detector.leaving())

    async def test_an_unconfirmed_failure_expires(self):
        await self.advance_check(e1=True, e2=True)
        await self.advance_check(e1=False, e2=True)
        self.assertEqual({"e1@1"}, self.detector.leaving())
        for _ in range(int(CONFIRMED_AFTER_S / CHECK_PERIOD_S) + 1):
            await self.advance_check(e1=False, e2=True)
        self.assertEqual(frozenset(), self.detector.leaving())
        self.assertEqual(2, self.changes)
        # A failure counts again once the engine has passed a check.
        await self.advance_check(e1=True, e2=True)
        await self.advance_check(e1=False, e2=True)
        self.assertEqual({"e1@1"}, self.detector.leaving())

    async def test_no_response_is_not_a_departure(self):
        await self.advance_check(e1=True, e2=True)
        await self.advance_check(e2=True)
        self.assertEqual(frozenset(), self.detector.leaving())

    async def test_an_engine_that_recovers_is_no_longer_leaving(self):
        await self.advance_check(e1=True)
        await self.advance_check(e1=False)
        # Checks go on although the list now shows the engine as draining.
        self.engines[0] = engine("e1", is_draining=True)
        await self.advance_check(e1=True)
        self.assertEqual(frozenset(), self.detector.leaving())
        self.assertEqual(2, self.changes)

    async def test_an_engine_that_drains_in_the_list_is_not_checked(self):
        self.engines[0] = engine("e1", is_draining=True)
        self.source.checks.clear()
        await self.advance_check(e2=True)
        self.assertEqual(["e2"], self.source.checks)

    async def test_a_restarted_engine_is_not_leaving(self):
        await self.advance_check(e1=True)
        await self.advance_check(e1=False)
        self.engines[0] = engine("e1", incarnation="e1@2")
        await self.advance_check(e1=True)
        self.assertEqual(frozenset(), self.detector.leaving())


class HealthResponseTest(unittest.TestCase):
    def decode(self, status, *headers):
        return decode_health(ResponseHead(status, list(headers), True), engine("e1"))

    def test_the_status_decides(self):
        named = (b"X-Endivesill-Instance-Id", b"e1")
        self.assertTrue(self.decode(200, named))
        self.assertFalse(self.decode(503, named))

    def test_a_rejected_check_is_inconclusive(self):
        with self.assertRaises(errors.UnavailableError):
            self.decode(503, (b"X-Endivesill-Not-Executed", b"1"))
        with self.assertRaises(errors.UnavailableError):
            self.decode(429)

    def test_a_check_answered_by_another_engine_is_inconclusive(self):
        for status in (200, 503):
            with self.assertRaises(errors.UnavailableError):
                self.decode(status, (b"X-Endivesill-Instance-Id", b"e9"))
