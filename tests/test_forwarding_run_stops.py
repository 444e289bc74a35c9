"""Tests of stopping the runs that an entry gives up."""

import asyncio
from unittest import mock

import attrs

from endivesill.forwarding import streams
from tests.forwarding_case import STREAM_HEADERS, ForwardingTestCase, request
from tests.test_forwarding_streams import numbers

EVENTS = 60
# Two engines may work on a run for so long.
OVERLAP_S = 0.4


class RunStopTest(ForwardingTestCase):
    """Engines work on a run whose connection has closed, until they are told to stop.

    Guards against runs that went on at two engines: a run was given up only by the end
    of its connection, which not every engine sees or follows.
    """

    async def start_run(self, *names: str):
        """Return engines that keep runs, the first with a run, and its response."""
        (first,) = await self.add_engines("llm", "e1")
        first.keeps_runs = True
        first.events, first.event_pause_s = EVENTS, 0.02
        response_task = asyncio.ensure_future(
            self.send_request("/stream/x", *STREAM_HEADERS)
        )
        await self.wait_until(lambda: first.running)
        others = await self.add_engines("llm", *names)
        for other in others:
            other.copies = {"h1", "a1"}
            other.events, other.event_pause_s = EVENTS, 0.02
        return [first, *others], response_task

    async def notify_until(self, condition):
        def notify_and_check():
            self.table.notify()
            return condition()

        await self.wait_until(notify_and_check)

    def orders_to_stop(self, engine):
        return [order for order in engine.copy_orders if order.get("last")]

    def outcomes_of_stops(self):
        return [f["outcome"] for name, f in self.lines if name == "run-stopped"]

    def give_notice(self, name: str) -> None:
        key = f"{name}@1"
        self.view.engines[key] = attrs.evolve(
            self.view.engines[key], is_draining=True, has_notice=True
        )
        self.table.update_engines()

    async def silent_run(self, refusals=()):
        """Return two engines; the connection of the run at the first went silent."""
        engines = await self.add_engines("llm", "e1", "e2")
        for engine in engines:
            engine.keeps_runs = True
            engine.silent_after = 3
            engine.copies = {"h1", "a1"}
            engine.events, engine.event_pause_s = EVENTS, 0.02
            engine.stop_refusals = list(refusals)
        overlaps = []

        def is_working_twice():
            overlaps.append(all(engine.running for engine in engines))
            return response_task.done()

        with mock.patch.object(streams, "MAX_SILENCE_S", 0.2):
            response_task = asyncio.ensure_future(
                self.send_request("/stream/x", *STREAM_HEADERS)
            )
            await self.notify_until(is_working_twice)
        _, body = await response_task
        self.assertEqual(list(range(1, EVENTS + 1)), numbers(body))
        return engines, sum(overlaps)

    async def test_a_run_on_a_silent_connection_ends_before_it_resumes(self):
        _, overlaps = await self.silent_run()
        # The stand-in stops a run only between two events.
        self.assertLess(overlaps, 5)
        self.assertEqual(["stopped"], self.outcomes_of_stops())

    async def test_a_run_on_a_silent_connection_ends_after_a_refused_order(self):
        """Guards against one order: the engine may just copy the run."""
        _, overlaps = await self.silent_run(refusals=[409])
        self.assertLess(overlaps, 5)

    async def test_a_moved_run_ends_at_an_engine_that_keeps_runs(self):
        (first, second), response_task = await self.start_run("e2")
        self.give_notice("e1")
        await self.notify_until(lambda: second.requests)
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual({}, first.running)
        _, body = await response_task
        self.assertEqual(list(range(1, EVENTS + 1)), numbers(body))
        # Releasing the copy in use would end the resumed run.
        self.assertEqual([], first.copy_releases)

    async def test_a_cancelled_run_ends_at_an_engine_that_keeps_runs(self):
        engines = await self.add_engines("llm", "e1", "e2")
        for engine in engines:
            engine.keeps_runs = True
            engine.events, engine.event_pause_s = 10_000, 0.02
        connection = await self.connect()
        connection.send(request("/stream/x", *STREAM_HEADERS))
        await connection.head()
        connection.abort()
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual([{}, {}], [engine.running for engine in engines])
        # Nothing resumes from the copy.
        (used,) = [engine for engine in engines if engine.requests]
        await self.wait_until(lambda: used.copy_releases)

    async def test_a_broken_run_ends_at_an_engine_that_keeps_runs(self):
        engines = await self.add_engines("llm", "e1", "e2")
        for engine in engines:
            engine.keeps_runs = True
            engine.copies = {"a1"}
            engine.events, engine.event_pause_s = EVENTS, 0.02
        response_task = asyncio.ensure_future(
            self.send_request("/stream/x", *STREAM_HEADERS)
        )
        await self.wait_until(lambda: any(engine.running for engine in engines))
        (used,) = [engine for engine in engines if engine.running]
        await asyncio.sleep(0.1)
        for connection in list(used._listener.connections):
            connection.abort()
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual({}, used.running)
        _, body = await response_task
        self.assertEqual(list(range(1, EVENTS + 1)), numbers(body))

    async def test_a_run_ends_where_one_destination_has_no_room(self):
        """Guards against one destination: without room there, the run goes on."""
        (first, second, third), response_task = await self.start_run("e2", "e3")
        first.stop_refusals = [503]
        self.give_notice("e1")
        await self.notify_until(lambda: second.requests or third.requests)
        await self.wait_until(lambda: not first.running)
        targets = [order["target"] for order in self.orders_to_stop(first)]
        self.assertEqual({second.address, third.address}, set(targets))
        await response_task

    async def test_an_engine_that_drops_runs_has_none_left_to_copy(self):
        (first, second), response_task = await self.start_run("e2")
        first.keeps_runs = False
        self.give_notice("e1")
        await self.notify_until(lambda: second.requests)
        await self.wait_until(lambda: self.orders_to_stop(first))
        await response_task
        self.assertEqual([], self.outcomes_of_stops())
        self.assertEqual([], first.copy_releases)
