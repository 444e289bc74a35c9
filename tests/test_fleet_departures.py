"""Tests of noticing engines that are about to leave."""

import asyncio
import unittest

from endivesill import errors
from endivesill.fleet.departures import (
    CHECK_PERIOD_S,
    CONFIRMED_AFTER_S,
    DepartureWatch,
    HealthSource,
)
from endivesill.http1 import ResponseHead
from endivesill.platform.health import decode_health
from endivesill.timer import ManualTimer, run_ready_tasks
from tests.forwarding_fakes import engine


class FakeHealth(HealthSource):
    """Answers as the test says; engines without an entry do not answer."""

    def __init__(self):
        self.healthy = {}
        self.checks = []

    async def is_healthy(self, engine):
        self.checks.append(engine.identity)
        if engine.identity not in self.healthy:
            raise errors.UnavailableError("as the test wants")
        return self.healthy[engine.identity]


class DepartureWatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = ManualTimer()
        self.source = FakeHealth()
        self.engines = [engine("e1"), engine("e2")]
        self.changes = 0
        self.watch = DepartureWatch(
            self.timer, self.source, lambda: self.engines, self._note_change
        )
        task = asyncio.ensure_future(self.watch.run())
        self.addCleanup(task.cancel)
        await run_ready_tasks()

    def _note_change(self):
        self.changes += 1

    async def check(self, **healthy):
        self.source.healthy = healthy
        await self.timer.advance(CHECK_PERIOD_S)
        await run_ready_tasks()

    async def test_an_engine_that_turns_unhealthy_is_leaving(self):
        await self.check(e1=True, e2=True)
        self.assertEqual(frozenset(), self.watch.leaving())
        await self.check(e1=False, e2=True)
        self.assertEqual({"e1@1"}, self.watch.leaving())
        self.assertEqual(1, self.changes)

    async def test_a_new_engine_may_be_taken_away_before_its_first_check(self):
        await self.check(e1=True, e2=True)
        self.engines.append(engine("e3"))
        await self.check(e1=True, e2=True, e3=False)
        self.assertEqual({"e3@1"}, self.watch.leaving())

    async def test_a_check_that_no_engine_of_a_service_has_passed_tells_nothing(self):
        self.engines.append(engine("a1", "app"))
        await self.check(e1=False, e2=False, a1=True)
        self.assertEqual(frozenset(), self.watch.leaving())

    async def test_a_failing_check_that_nothing_confirms_is_doubted(self):
        await self.check(e1=True, e2=True)
        await self.check(e1=False, e2=True)
        self.assertEqual({"e1@1"}, self.watch.leaving())
        for _ in range(int(CONFIRMED_AFTER_S / CHECK_PERIOD_S) + 1):
            await self.check(e1=False, e2=True)
        self.assertEqual(frozenset(), self.watch.leaving())
        self.assertEqual(2, self.changes)
        # Once it has passed a check, a failure counts again.
        await self.check(e1=True, e2=True)
        await self.check(e1=False, e2=True)
        self.assertEqual({"e1@1"}, self.watch.leaving())

    async def test_no_answer_is_no_departure(self):
        await self.check(e1=True, e2=True)
        await self.check(e2=True)
        self.assertEqual(frozenset(), self.watch.leaving())

    async def test_an_engine_that_recovers_takes_work_again(self):
        await self.check(e1=True)
        await self.check(e1=False)
        # The list has it as leaving by now, which must not end the checks.
        self.engines[0] = engine("e1", is_draining=True)
        await self.check(e1=True)
        self.assertEqual(frozenset(), self.watch.leaving())
        self.assertEqual(2, self.changes)

    async def test_an_engine_that_the_list_drains_is_not_checked(self):
        self.engines[0] = engine("e1", is_draining=True)
        self.source.checks.clear()
        await self.check(e2=True)
        self.assertEqual(["e2"], self.source.checks)

    async def test_another_start_of_an_engine_is_another_engine(self):
        await self.check(e1=True)
        await self.check(e1=False)
        self.engines[0] = engine("e1", incarnation="e1@2")
        await self.check(e1=True)
        self.assertEqual(frozenset(), self.watch.leaving())


class HealthAnswerTest(unittest.TestCase):
    def decode(self, status, *headers):
        return decode_health(ResponseHead(status, list(headers), True), engine("e1"))

    def test_the_status_tells(self):
        named = (b"X-Endivesill-Instance-Id", b"e1")
        self.assertTrue(self.decode(200, named))
        self.assertFalse(self.decode(503, named))

    def test_a_rejected_check_does_not_tell(self):
        with self.assertRaises(errors.UnavailableError):
            self.decode(503, (b"X-Endivesill-Not-Executed", b"1"))
        with self.assertRaises(errors.UnavailableError):
            self.decode(429)

    def test_another_engine_at_the_address_does_not_tell(self):
        for status in (200, 503):
            with self.assertRaises(errors.UnavailableError):
                self.decode(status, (b"X-Endivesill-Instance-Id", b"e9"))
