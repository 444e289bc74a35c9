"""Tests of stopping the runs that an entry gives up."""

import asyncio
import contextlib
from unittest import mock

import attrs

from endivesill.forwarding import entry_stop, streams
from endivesill.forwarding.proxy_service import ProxyService
from endivesill.http1 import UpstreamError
from endivesill.platform.engines import PlatformProtocol
from tests.forwarding_case import STREAM_HEADERS, ForwardingTestCase, request
from tests.standin_platform import StandinEngine
from tests.test_forwarding_limits import CountedPermits
from tests.test_forwarding_streams import numbers

EVENTS = 60
# Two engines may work on a run for so long.
OVERLAP_S = 0.4


class RunStopCase(ForwardingTestCase):
    """Engines work on a run whose connection has closed, until ordered to stop."""

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

    async def add_keepers(self, *names: str, events=EVENTS):
        """Return engines that keep runs and resume from any copy."""
        engines = await self.add_engines("llm", *names)
        for engine in engines:
            engine.keeps_runs = True
            engine.copies = {"h1", "a1"}
            engine.events, engine.event_pause_s = events, 0.02
        return engines

    async def start_at_any(self, *names: str, events=EVENTS):
        """Return the engine that runs a stream, the others, and its response."""
        engines = await self.add_keepers(*names, events=events)
        response_task = asyncio.ensure_future(
            self.send_request("/stream/x", *STREAM_HEADERS)
        )
        await self.wait_until(lambda: any(engine.running for engine in engines))
        (used,) = [engine for engine in engines if engine.running]
        others = [engine for engine in engines if engine is not used]
        await asyncio.sleep(0.1)
        return used, others, response_task

    def pause(self, engine, pause_s=60.0):
        """Let an engine have asked for a pause of requests."""
        target = self.target(engine.identity)
        self.table.note_announcements(target, is_leaving=False, pause_s=pause_s)

    async def silent_run(self, refusals=(), on_start=lambda engine: None):
        """Return two engines; the connection of the run at the first went silent.

        Args:
          refusals: statuses of the orders that the engines refuse.
          on_start: called with the engine as soon as it works on the run.
        """
        engines = await self.add_keepers("e1", "e2")
        for engine in engines:
            engine.silent_after = 3
            engine.stop_refusals = list(refusals)
        overlaps: list[bool] = []
        started: list[StandinEngine] = []

        def is_working_twice():
            overlaps.append(all(engine.running for engine in engines))
            if not started:
                started.extend(engine for engine in engines if engine.running)
                for engine in started:
                    on_start(engine)
            return response_task.done()

        with mock.patch.object(streams, "MAX_SILENCE_S", 0.2):
            response_task = asyncio.ensure_future(
                self.send_request("/stream/x", *STREAM_HEADERS)
            )
            await self.notify_until(is_working_twice)
        _, body = await response_task
        self.assertEqual(list(range(1, EVENTS + 1)), numbers(body))
        return engines, sum(overlaps)


class RunStopTest(RunStopCase):
    """Runs that are given up end at their engines.

    Guards against runs that went on at two engines: a run was given up only by the end
    of its connection, which not every engine sees or follows.
    """

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


class ResumeTest(RunStopCase):
    """A stream goes on only once the engine before has stopped, ended or is lost.

    Guards against runs that went on at two engines: a stream resumed at once, or after
    0.35 s, whatever the engine before had answered.
    """

    # Refused by an engine that copies the run for some tenths of a second.
    refusals = (409, 409, 409)

    def end_connections(self, engine):
        for connection in list(engine._listener.connections):
            connection.abort()

    @contextlib.contextmanager
    def cut(self, engine):
        """Let connecting to an engine fail, until the value is called."""
        is_cut = True
        connect = self.pool._connect

        async def connect_unless_cut(address, connect_timeout_s):
            if is_cut and address == engine.address:
                raise UpstreamError("no route", sent=False)
            return await connect(address, connect_timeout_s)

        def heal():
            nonlocal is_cut
            is_cut = False

        with mock.patch.object(self.pool, "_connect", connect_unless_cut):
            yield heal

    async def count_overlaps(self, engines, until):
        """Return how often all of some engines are seen at work."""
        overlaps = 0
        for _ in range(500):
            if until():
                return overlaps
            overlaps += all(engine.running for engine in engines)
            self.table.notify()
            await asyncio.sleep(0.01)
        raise AssertionError("condition not met within 5 s")

    async def test_a_silent_stream_waits_until_its_run_has_stopped(self):
        _, overlaps = await self.silent_run(refusals=[409] * 5)
        self.assertLess(overlaps, 5)

    async def test_a_broken_stream_waits_until_its_run_has_stopped(self):
        used, others, response_task = await self.start_at_any("e1", "e2")
        used.stop_refusals = list(self.refusals)
        self.end_connections(used)
        overlaps = await self.count_overlaps([used, *others], response_task.done)
        self.assertLess(overlaps, 5)
        _, body = await response_task
        self.assertEqual(list(range(1, EVENTS + 1)), numbers(body))

    async def test_a_moved_stream_waits_until_its_run_has_stopped(self):
        (first, second), response_task = await self.start_run("e2")
        first.stop_refusals = list(self.refusals)
        self.give_notice("e1")
        overlaps = await self.count_overlaps([first, second], response_task.done)
        self.assertLess(overlaps, 5)
        _, body = await response_task
        self.assertEqual(list(range(1, EVENTS + 1)), numbers(body))

    async def test_a_stream_whose_run_does_not_stop_is_broken(self):
        used, (other,), response_task = await self.start_at_any(
            "e1", "e2", events=10_000
        )
        used.stop_refusals = [409] * 20
        self.end_connections(used)
        with self.assertRaises(UpstreamError):
            await response_task
        self.assertEqual([], other.requests)
        self.assertEqual(["status 409"], self.outcomes_of_stops())

    async def test_a_run_ends_whose_caller_leaves_while_its_stream_waits(self):
        engines = await self.add_keepers("e1", "e2", events=10_000)
        connection = await self.connect()
        connection.send(request("/stream/x", *STREAM_HEADERS))
        await connection.head()
        (used,) = [engine for engine in engines if engine.running]
        await asyncio.sleep(0.1)
        used.stop_refusals = list(self.refusals)
        self.end_connections(used)
        await self.wait_until(lambda: self.orders_to_stop(used))
        connection.abort()
        await self.wait_until(lambda: used.copy_releases and not used.running)
        self.assertEqual(1, sum(len(engine.requests) for engine in engines))

    async def test_a_stream_resumes_at_once_where_its_engine_has_ended(self):
        used, (other,), response_task = await self.start_at_any("e1", "e2")
        used._listener.stop_accepting()
        self.end_connections(used)
        await asyncio.sleep(0.1)
        self.assertEqual(1, len(other.requests))
        await response_task
        self.assertEqual([], used.copy_orders)

    async def test_a_run_ends_once_its_engine_is_reached_again(self):
        used, (other,), response_task = await self.start_at_any(
            "e1", "e2", events=10_000
        )
        with self.cut(used) as heal:
            self.end_connections(used)
            await self.wait_until(lambda: other.requests)
            await asyncio.sleep(1.0)
            self.assertTrue(used.running)
            heal()
            for _ in range(50):
                self.links.check()
                await asyncio.sleep(0.05)
            self.assertEqual({}, used.running)
        response_task.cancel()

    async def test_a_run_that_its_engine_takes_up_again_is_not_stopped(self):
        """Guards against a late order, which would stop the resumed run."""
        used, (other,), response_task = await self.start_at_any("e1", "e2", events=150)
        with self.cut(used) as heal:
            self.end_connections(used)
            await self.wait_until(lambda: other.running)
            await asyncio.sleep(0.1)
            heal()
            other._listener.stop_accepting()
            self.end_connections(other)
            while not response_task.done():
                self.links.check()
                await asyncio.sleep(0.05)
        _, body = await response_task
        self.assertEqual(list(range(1, 151)), numbers(body))
        self.assertEqual([], self.orders_to_stop(used))


class HeldBackOrderTest(RunStopCase):
    """Nothing that holds requests back keeps an order to stop a run back.

    Guards against runs that went on at two engines: orders to stop a run waited for the
    end of the pause, for room under the limit, and for an engine that accepts requests.
    """

    async def test_a_silent_run_ends_at_an_engine_that_wants_no_requests(self):
        _, overlaps = await self.silent_run(on_start=self.pause)
        self.assertLess(overlaps, 5)
        self.assertEqual(["stopped"], self.outcomes_of_stops())

    async def test_a_silent_run_ends_at_an_engine_whose_limit_is_used_up(self):
        def use_up(engine):
            permits = self.table.permits = CountedPermits()
            permits.left.update({"e1@1": 5, "e2@1": 5})
            permits.left[f"{engine.identity}@1"] = 0

        _, overlaps = await self.silent_run(on_start=use_up)
        self.assertLess(overlaps, 5)

    async def test_an_order_counts_in_the_limit_of_requests(self):
        permits = CountedPermits()
        permits.left.update({"e1@1": 100, "e2@1": 100})
        self.table.permits = permits
        engines, _ = await self.silent_run()
        orders = sum(len(engine.copy_orders) for engine in engines)
        requests = sum(len(engine.requests) for engine in engines)
        self.assertGreater(orders, 0)
        self.assertEqual(orders + requests, sum(permits.taken.values()))

    async def test_a_moved_run_ends_at_an_engine_that_wants_no_requests(self):
        (first, second), response_task = await self.start_run("e2")
        self.give_notice("e1")
        await self.notify_until(lambda: first.copy_orders)
        self.pause(first)
        await self.notify_until(lambda: second.requests)
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual({}, first.running)
        await response_task

    async def test_a_broken_run_ends_at_an_engine_that_wants_no_requests(self):
        used, _, response_task = await self.start_at_any("e1", "e2")
        self.pause(used)
        for connection in list(used._listener.connections):
            connection.abort()
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual({}, used.running)
        await response_task

    async def test_a_cancelled_run_ends_where_no_engine_wants_requests(self):
        engines = await self.add_keepers("e1", "e2", events=10_000)
        connection = await self.connect()
        connection.send(request("/stream/x", *STREAM_HEADERS))
        await connection.head()
        for engine in engines:
            self.pause(engine)
        connection.abort()
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual([{}, {}], [engine.running for engine in engines])
        # One order is enough, and the release of the copy waits like a request.
        orders = [order for e in engines for order in self.orders_to_stop(e)]
        self.assertEqual(1, len(orders))
        self.assertEqual([], [path for e in engines for path in e.copy_releases])

    async def test_a_plain_run_ends_whose_caller_has_left(self):
        """Guards against runs without a stream, which no order stopped."""
        engines = await self.add_keepers("e1", "e2", events=10_000)
        connection = await self.connect()
        counts = (b"X-Endivesill-Token-Counts", b"1000,80")
        connection.send(request("/answer/x", counts))
        await self.wait_until(lambda: any(engine.running for engine in engines))
        connection.abort()
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual([{}, {}], [engine.running for engine in engines])
        orders = [order for e in engines for order in self.orders_to_stop(e)]
        self.assertEqual(1, len(orders))

    async def test_a_run_ends_at_the_end_of_a_stopping_entry(self):
        """Guards against a process that ended before its orders were sent."""
        used, _, response_task = await self.start_at_any("e1", "e2", events=10_000)
        proxy = ProxyService(
            self.timer,
            "127.0.0.1:0",
            self.table,
            self.pool,
            self.links,
            PlatformProtocol(),
        )
        await proxy.listener.start()
        grace_s = 3.2
        with mock.patch.object(entry_stop, "BALANCER_LAG_S", 0.0):
            await entry_stop.stop_serving(
                self.timer,
                self.listener,
                self.forwarder,
                proxy,
                self.timer.now_s(),
                grace_s,
            )
        self.assertEqual(1, len(self.orders_to_stop(used)))
        await asyncio.gather(response_task, return_exceptions=True)

    async def test_a_plain_run_that_has_ended_gets_no_order(self):
        engines = await self.add_keepers("e1", "e2", events=5)
        counts = (b"X-Endivesill-Token-Counts", b"1000,80")
        head, _ = await self.send_request("/answer/x", counts)
        self.assertEqual(200, head.status)
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual([], [order for e in engines for order in e.copy_orders])

    async def test_a_cancelled_run_ends_at_the_only_engine_of_its_service(self):
        await self.add_engines("app", "p1")
        (engine,) = await self.add_keepers("e1", events=10_000)
        connection = await self.connect()
        connection.send(request("/stream/x", *STREAM_HEADERS))
        await connection.head()
        connection.abort()
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual({}, engine.running)

    async def test_a_copy_waits_where_the_engine_wants_no_requests(self):
        (first, _), response_task = await self.start_run("e2")
        self.pause(first)
        self.give_notice("e1")
        for _ in range(20):
            self.table.notify()
            await asyncio.sleep(0.01)
        self.assertEqual([], first.copy_orders)
        response_task.cancel()

    async def test_a_replaced_engine_gets_no_order(self):
        """Guards against an order to another engine, which may have a like run."""
        used, _, response_task = await self.start_at_any("e1", "e2")
        self.target(used.identity).is_replaced = True
        for connection in list(used._listener.connections):
            connection.abort()
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual([], used.copy_orders)
        response_task.cancel()
