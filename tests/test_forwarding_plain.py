"""Tests of forwarding and retrying plain requests."""

import asyncio

import attrs

from endivesill.fleet.load import EngineLoad
from endivesill.fleet.model import Organisation
from endivesill.forwarding.health_table import REPLACED_S
from endivesill.forwarding.initial_sync import InitialSync
from endivesill.forwarding.route_table import RouteTable
from endivesill.forwarding.run_copy import CopyRefusedError, RunCopier
from endivesill.http1 import UpstreamError
from endivesill.platform.engines import PlatformProtocol
from endivesill.timer import ManualTimer
from tests.forwarding_case import STREAM_HEADERS, ForwardingTestCase, request


class ForwardTest(ForwardingTestCase):
    async def test_a_request_is_forwarded_unchanged(self):
        (engine,) = await self.add_engines("app", "p1")
        head, body = await self.send_request(
            "/unsafe/x?a=%20b", (b"X-Mine", b" v "), body=b"\x00\xff"
        )
        self.assertEqual((200, b"p1"), (head.status, body))
        method, target, headers, sent = engine.requests[0]
        self.assertEqual(
            ("POST", b"/unsafe/x?a=%20b", b"\x00\xff"), (method, target, sent)
        )
        self.assertEqual(b"v ", headers[b"x-mine"])
        self.assertEqual(b"a1", headers[b"x-endivesill-request-attempt-id"])
        self.assertEqual(b"p1", headers[b"x-endivesill-expected-instance"])
        left_ms = int(headers[b"x-endivesill-deadline-remaining"])
        self.assertTrue(3_000 < left_ms <= 4_000)

    async def test_the_response_is_forwarded_with_its_seal(self):
        (engine,) = await self.add_engines("app", "p1")
        engine.statuses = [418]
        head, body = await self.send_request("/unsafe/x")
        self.assertEqual((418, b"p1"), (head.status, body))
        self.assertEqual(b"1.2.3", head.header(b"x-endivesill-response-seal"))

    async def test_system_headers_from_callers_are_dropped(self):
        (engine,) = await self.add_engines("app", "p1")
        own = [
            (b"X-Endivesill-Hold", b"h"),
            (b"X-Endivesill-Pin-Duration", b"9"),
            (b"X-Endivesill-Kv-Backup", b"10.0.0.1:1"),
            (b"Kv-From", b"10.0.0.1:1/x"),
            (b"X-Endivesill-Tenant", b"forged"),
            (b"Api-Key", b"secret"),
        ]
        await self.send_request("/unsafe/x", *own)
        headers = engine.requests[0][2]
        for name, value in own:
            self.assertNotEqual(value, headers.get(name.lower()), name)

    async def test_a_key_is_replaced_by_its_organisation(self):
        (engine,) = await self.add_engines("app", "p1")
        head, _ = await self.send_request("/keyed/x", (b"Api-Key", b"k1"))
        self.assertEqual(200, head.status)
        headers = engine.requests[0][2]
        self.assertEqual(b"owners", headers[b"x-endivesill-tenant"])
        self.assertNotIn(b"api-key", headers)

    async def test_the_engine_learns_of_an_organisation_without_a_name(self):
        """Guards against requests that pass for ones that need no key."""
        (engine,) = await self.add_engines("app", "p1")
        nameless = Organisation("", ("k1",), None)
        configuration = attrs.evolve(
            self.forwarder.routes.configuration, organisations=(nameless,)
        )
        self.forwarder.routes = RouteTable(configuration)
        for path, expected in (("/keyed/x", b""), ("/unsafe/x", None)):
            await self.send_request(path, (b"Api-Key", b"k1"))
            headers = engine.requests[-1][2]
            self.assertEqual(expected, headers.get(b"x-endivesill-tenant"))

    async def test_an_unknown_key_is_refused_without_sending_the_request(self):
        (engine,) = await self.add_engines("app", "p1")
        for keys in ([], [(b"Api-Key", b"k9")], [(b"Api-Key", b"k1")] * 2):
            head, _ = await self.send_request("/keyed/x", *keys)
            self.assertEqual(401, head.status)
        self.assertEqual([], engine.requests)

    async def test_without_held_keys_only_public_routes_are_served(self):
        """Guards against requests that run with a key that nobody holds any more."""
        (engine,) = await self.add_engines("app", "p1")
        configuration = attrs.evolve(
            self.forwarder.routes.configuration, organisations=()
        )
        self.forwarder.routes = RouteTable(configuration)
        for keys in ([], [(b"Api-Key", b"k1")], [(b"Api-Key", b"")]):
            head, _ = await self.send_request("/keyed/x", *keys)
            self.assertEqual(401, head.status)
        self.assertEqual([], engine.requests)
        self.assertEqual(200, (await self.send_request("/unsafe/x"))[0].status)

    async def test_the_urgency_stays_in_its_range(self):
        """Guards against urgencies that engines do not know."""
        (engine,) = await self.add_engines("llm", "e1")
        configuration = self.forwarder.routes.configuration
        for priority, urgency in ((-3, b"0"), (0, b"3"), (9, b"9")):
            routes = tuple(
                attrs.evolve(route, priority=priority) for route in configuration.routes
            )
            changed = attrs.evolve(configuration, routes=routes)
            self.forwarder.routes = RouteTable(changed)
            await self.send_request("/stream/x", *STREAM_HEADERS)
            headers = engine.requests[-1][2]
            self.assertEqual(urgency, headers[b"x-endivesill-request-urgency"])

    async def test_without_need_of_keys_all_routes_are_served(self):
        await self.add_engines("app", "p1")
        configuration = attrs.evolve(
            self.forwarder.routes.configuration, organisations=(), needs_keys=False
        )
        self.forwarder.routes = RouteTable(configuration)
        self.assertEqual(200, (await self.send_request("/keyed/x"))[0].status)

    async def test_no_route_is_a_404_and_no_configuration_a_503(self):
        self.assertEqual(404, (await self.send_request("/none/x"))[0].status)
        self.forwarder.routes = None
        head, _ = await self.send_request("/unsafe/x")
        self.assertEqual(503, head.status)
        self.assertTrue(head.header(b"retry-after"))

    async def test_requests_wait_for_the_first_configuration(self):
        """All VMs have restarted; the first configuration follows an election."""
        await self.add_engines("app", "p1")
        routes, self.forwarder.routes = self.forwarder.routes, None
        self.forwarder._initial_sync = InitialSync(self.timer, self.table)
        waiting = [
            asyncio.ensure_future(self.send_request("/unsafe/x")) for _ in range(3)
        ]
        await asyncio.sleep(0.05)
        self.assertFalse(any(task.done() for task in waiting))
        self.forwarder.routes = routes
        heads = [head.status for head, _ in await asyncio.gather(*waiting)]
        self.assertEqual([200, 200, 200], heads)

    async def test_requests_wait_for_the_first_list_of_engines(self):
        """The configuration may come before the new leader has read the list."""
        waiting = [
            asyncio.ensure_future(self.send_request("/unsafe/x")) for _ in range(3)
        ]
        await asyncio.sleep(0.3)
        self.assertFalse(any(task.done() for task in waiting))
        await self.add_engines("app", "p1")
        self.table.notify()
        heads = [head.status for head, _ in await asyncio.gather(*waiting)]
        self.assertEqual([200, 200, 200], heads)

    async def test_a_request_without_a_configuration_is_refused_in_time(self):
        self.forwarder._initial_sync = InitialSync(self.timer, self.table)
        self.forwarder.routes = None
        deadline = (b"X-Endivesill-Deadline-Remaining", b"200")
        head, _ = await self.send_request("/unsafe/x", deadline)
        self.assertEqual(503, head.status)
        self.assertTrue(head.header(b"retry-after"))

    async def test_a_response_without_a_length_is_forwarded_completely(self):
        (engine,) = await self.add_engines("app", "p1")
        engine.omits_length = True
        head, body = await self.send_request("/unsafe/x")
        self.assertEqual((200, b"p1"), (head.status, body))
        self.assertEqual(b"2", head.header(b"content-length"))


class RetryTest(ForwardingTestCase):
    async def test_a_failed_safe_request_is_retried_at_another_target(self):
        engines = await self.add_engines("app", "p1", "p2")
        for engine in engines:
            engine.statuses = [500]
        head, _ = await self.send_request("/safe/x", method="GET", body=b"")
        self.assertEqual(500, head.status)
        self.assertEqual([1, 1], [len(e.requests) for e in engines])

    async def test_a_retry_of_a_safe_request_succeeds(self):
        one, two = await self.add_engines("app", "p1", "p2")
        one.is_hanging = two.is_hanging = False
        one.statuses = [500]
        two.statuses = []
        heads = [
            (await self.send_request("/safe/x", method="GET", body=b""))[0].status
            for _ in range(4)
        ]
        self.assertEqual([200] * 4, heads)

    async def test_an_unsafe_request_that_may_have_run_is_not_retried(self):
        engines = await self.add_engines("app", "p1", "p2")
        for engine in engines:
            engine.statuses = [500]
        head, _ = await self.send_request("/unsafe/x")
        self.assertEqual(500, head.status)
        self.assertEqual(1, sum(len(e.requests) for e in engines))

    async def test_an_unsafe_request_that_was_not_run_is_retried(self):
        one, _ = await self.add_engines("app", "p1", "p2")
        one.rejects = True
        for _ in range(4):
            self.assertEqual(200, (await self.send_request("/unsafe/x"))[0].status)

    async def test_a_reused_address_is_not_used_again(self):
        one, _ = await self.add_engines("app", "p1", "p2")
        one.identity = "someone-else"
        for _ in range(4):
            self.assertEqual(200, (await self.send_request("/unsafe/x"))[0].status)
        self.assertLessEqual(len(one.requests), 1)

    async def test_a_request_that_no_target_ran_is_refused(self):
        one, two = await self.add_engines("app", "p1", "p2")
        one.rejects = two.rejects = True
        head, _ = await self.send_request("/unsafe/x")
        self.assertEqual(503, head.status)
        self.assertTrue(head.header(b"retry-after"))

    async def test_an_unsafe_request_that_times_out_has_an_unknown_outcome(self):
        (engine,) = await self.add_engines("app", "p1")
        engine.is_hanging = True
        head, _ = await self.send_request("/short/x")
        self.assertEqual(504, head.status)
        self.assertEqual(["unknown"], self.outcomes())

    async def test_a_response_to_another_request_is_skipped(self):
        (engine,) = await self.add_engines("app", "p1")
        engine.sends_foreign_response = True
        head, body = await self.send_request("/unsafe/x")
        self.assertEqual((200, b"p1"), (head.status, body))


class SlowRunTest(ForwardingTestCase):
    """Plain requests need much of their time at targets without a fault."""

    async def test_a_safe_request_that_needs_most_of_its_time(self):
        for engine in await self.add_engines("app", "p1", "p2"):
            engine.run_s = 0.3
        head, _ = await self.send_request("/soon/x", method="GET", body=b"")
        self.assertEqual(200, head.status)

    async def send_soon(self):
        return await self.send_request("/soon/x", method="GET", body=b"")

    def failed(self, name):
        """Return what was logged of an attempt at a target."""
        return [
            fields["reason"]
            for kind, fields in self.lines
            if kind == "attempt-failed" and fields["target"] == name
        ]

    async def add_pair(self):
        """Add two targets of which the first gets the first attempt."""
        engines = await self.add_engines("app", "p1", "p2")
        self.target("p2").remote_load = EngineLoad(6, 0, 0)
        return engines

    async def test_a_target_that_hangs_leaves_time_for_another_one(self):
        one, _ = await self.add_pair()
        one.is_hanging = True
        head, body = await self.send_soon()
        self.assertEqual((200, b"p2"), (head.status, body))
        self.assertEqual(["overtaken"], self.failed("p1"))
        await self.wait_until(lambda: one.cancelled_requests == 1)
        self.assertEqual(0, sum(self.target(n).requests for n in ("p1", "p2")))

    async def test_the_first_attempt_answers_if_the_second_one_hangs(self):
        one, two = await self.add_pair()
        one.run_s, two.is_hanging = 0.3, True
        head, body = await self.send_soon()
        self.assertEqual((200, b"p1"), (head.status, body))
        self.assertEqual([], self.failed("p1"))
        await self.wait_until(lambda: two.cancelled_requests == 1)

    async def test_a_failure_of_the_second_attempt_is_not_the_answer(self):
        one, two = await self.add_pair()
        one.run_s, two.statuses = 0.3, [500]
        head, body = await self.send_soon()
        self.assertEqual((200, b"p1"), (head.status, body))

    async def test_an_exhausted_budget_leaves_the_first_attempt_its_time(self):
        for engine in await self.add_engines("app", "p1", "p2"):
            engine.run_s = 0.3
        self.forwarder._budget.try_acquire = lambda service: False
        for _ in range(4):
            head, _ = await self.send_soon()
            self.assertEqual(200, head.status)
        self.assertEqual(4, sum(len(engine.requests) for engine in self.engines))

    async def test_both_are_ended_when_the_caller_leaves(self):
        one, two = await self.add_engines("app", "p1", "p2")
        one.is_hanging = two.is_hanging = True
        connection = await self.connect()
        connection.send(request("/soon/x", method="GET", body=b""))
        await self.wait_until(lambda: one.requests and two.requests)
        connection.abort()
        await self.wait_until(lambda: one.cancelled_requests == 1)
        await self.wait_until(lambda: two.cancelled_requests == 1)


class AnnouncementTest(ForwardingTestCase):
    async def test_an_engine_that_says_it_leaves_gets_no_further_request(self):
        leaving, _ = await self.add_engines("app", "p1", "p2")
        reported = []
        self.table.on_leaving = reported.append
        leaving.response_headers = [(b"Server-Leaving", b"1")]
        while not leaving.requests:
            await self.send_request("/unsafe/x")
        before = len(leaving.requests)
        for _ in range(10):
            head, _ = await self.send_request("/unsafe/x")
            self.assertEqual(200, head.status)
        self.assertEqual(before, len(leaving.requests))
        self.assertEqual(["p1"], [engine.identity for engine in reported])
        # The platform's list may still show it as ready.
        self.table.update_engines()
        await self.send_request("/unsafe/x")
        self.assertEqual(before, len(leaving.requests))
        self.assertEqual(["p1@1"], self.table.unlisted_departures())

    async def test_a_refusal_and_a_skipped_response_announce_a_departure_too(self):
        one, two = await self.add_engines("app", "p1", "p2")
        one.rejects = two.sends_foreign_response = True
        one.response_headers = [(b"Server-Leaving", b"1")]
        two.response_headers = [(b"Server-Leaving", b"1")]
        await self.send_request("/unsafe/x")
        await self.send_request("/unsafe/x")
        self.assertEqual(["p1@1", "p2@1"], sorted(self.table.notices.leaving()))

    async def test_a_stream_announces_a_departure_and_continues(self):
        (engine,) = await self.add_engines("llm", "m1")
        engine.response_headers = [(b"Server-Leaving", b"1")]
        head, body = await self.send_request("/stream/x", *STREAM_HEADERS)
        self.assertEqual(200, head.status)
        self.assertEqual(5, body.count(b"id: "))
        head, _ = await self.send_request("/stream/x", *STREAM_HEADERS)
        self.assertEqual((503, 1), (head.status, len(engine.requests)))

    async def test_an_engine_that_asks_for_a_pause_gets_no_request_meanwhile(self):
        paused, _ = await self.add_engines("app", "p1", "p2")
        paused.rejects = True
        paused.response_headers = [(b"Retry-After", b"0.4")]
        while not paused.requests:
            await self.send_request("/unsafe/x")
        self.assertEqual(1, len(paused.requests))
        paused.rejects = False
        for _ in range(10):
            head, _ = await self.send_request("/unsafe/x")
            self.assertEqual(200, head.status)
        self.assertEqual(1, len(paused.requests))
        target = self.target("p1")
        await self.wait_until(lambda: self.table.accepts_requests(target))
        while len(paused.requests) == 1:
            await self.send_request("/unsafe/x")

    async def test_callers_are_refused_until_the_first_pause_ends(self):
        engines = await self.add_engines("app", "p1", "p2")
        for engine, pause in zip(engines, (b"60", b"9"), strict=True):
            engine.rejects = True
            engine.response_headers = [(b"Retry-After", pause)]
        head, _ = await self.send_request(
            "/unsafe/x", (b"X-Endivesill-Deadline-Remaining", b"60000")
        )
        self.assertEqual(503, head.status)
        started_s = self.timer.now_s()
        head, _ = await self.send_request("/unsafe/x")
        self.assertEqual(503, head.status)
        self.assertLess(self.timer.now_s() - started_s, 0.2)
        # At most a third of the four seconds that the caller waits.
        self.assertAlmostEqual(4 / 3, float(head.header(b"retry-after")), delta=0.1)
        self.assertEqual([1, 1], [len(engine.requests) for engine in engines])

    async def test_a_paused_engine_gets_no_orders_to_copy_runs(self):
        (engine,) = await self.add_engines("llm", "m1")
        self.table.note_announcements(self.target("m1"), is_leaving=False, pause_s=60.0)
        copier = RunCopier(self.timer, self.client, self.table, PlatformProtocol())
        with self.assertRaises(CopyRefusedError):
            await copier.release(self.target("m1"), "h1")
        self.assertEqual([], engine.copy_releases)


class LeavingTest(ForwardingTestCase):
    async def test_a_rejected_request_whose_caller_has_left_is_not_sent_on(self):
        """Guards against engines that get requests for which nobody waits."""
        engines = await self.add_engines("app", "p1", "p2", "p3")
        for engine in engines:
            engine.rejects, engine.run_s = True, 0.1
        connection = await self.connect()
        connection.send(request("/unsafe/x"))
        await self.wait_until(lambda: any(engine.requests for engine in engines))
        connection.abort()
        await self.wait_until(lambda: any(k == "attempt-failed" for k, _ in self.lines))
        await asyncio.sleep(0.3)
        self.assertEqual(1, sum(len(engine.requests) for engine in engines))

    async def test_a_target_that_leaves_during_connection_setup_gets_no_request(self):
        one, two = await self.add_engines("app", "p1", "p2")
        acquire = self.pool.acquire

        async def acquire_slowly(address, *args):
            connection = await acquire(address, *args)
            for info in list(self.view.engines.values()):
                if info.address == address and address == one.address:
                    del self.view.engines[info.incarnation]
            self.table.update_engines()
            return connection

        self.pool.acquire = acquire_slowly
        for _ in range(3):
            self.assertEqual(200, (await self.send_request("/unsafe/x"))[0].status)
        self.assertEqual([], one.requests)
        self.assertEqual(3, len(two.requests))

    async def test_a_safe_request_is_cancelled_when_its_caller_disconnects(self):
        (engine,) = await self.add_engines("app", "p1")
        engine.is_hanging = True
        connection = await self.connect()
        connection.send(request("/safe/x", method="GET", body=b""))
        await self.wait_until(lambda: engine.requests)
        connection.abort()
        await self.wait_until(lambda: engine.cancelled_requests)
        self.assertEqual(["caller-gone"], self.outcomes())
        self.assertEqual(0, self.target("p1").requests)


class ReservationTest(ForwardingTestCase):
    """Guards against places that are kept for requests which have ended.

    That nothing is reserved is checked after each test of forwarding.
    """

    async def send_and_cancel(self, path):
        """Send requests that are cancelled in the turn in which they are placed."""
        placer = self.forwarder._placer
        place = placer.place

        async def place_and_cancel(call):
            placement = await place(call)
            asyncio.current_task().cancel()
            return placement

        placer.place = place_and_cancel
        for _ in range(3):
            with self.assertRaises(UpstreamError):
                await self.send_request(path, *STREAM_HEADERS)

    async def test_an_unsafe_request_that_is_cancelled_before_it_is_sent(self):
        (engine,) = await self.add_engines("app", "p1")
        await self.send_and_cancel("/unsafe/x")
        self.assertEqual([], engine.requests)

    async def test_a_safe_request_that_is_cancelled_before_it_is_sent(self):
        await self.add_engines("app", "p1", "p2")
        await self.send_and_cancel("/safe/x")

    async def test_a_generation_that_is_cancelled_before_it_is_sent(self):
        await self.add_engines("llm", "e1", "e2")
        await self.send_and_cancel("/answer/x")

    async def test_a_stream_that_is_cancelled_before_it_is_sent(self):
        await self.add_engines("llm", "e1", "e2")
        await self.send_and_cancel("/stream/x")

    async def test_a_generation_that_is_not_streamed_reserves_no_copy(self):
        await self.add_engines("llm", "e1", "e2")
        head, _ = await self.send_request("/answer/x", *STREAM_HEADERS)
        self.assertEqual(200, head.status)


class HopelessTest(ForwardingTestCase):
    async def test_a_request_without_time_left_is_refused_at_once(self):
        """Its turn would never come, and it would hold a place until then."""
        (engine,) = await self.add_engines("app", "p1")
        self.target("p1").requests = 1_000
        for remaining in (b"0", b"000"):
            connection = await self.connect()
            connection.send(request("/unsafe/x").replace(b" 4000", b" " + remaining))
            self.assertEqual(503, (await connection.head()).status)
        self.target("p1").requests = 0
        self.assertEqual([], engine.requests)
        reasons = {f.get("reason") for kind, f in self.lines if "refused" in kind}
        self.assertEqual({"no time left"}, reasons)

    async def test_a_route_that_allows_no_attempt_is_refused_at_once(self):
        (engine,) = await self.add_engines("app", "p1")
        configuration = self.forwarder.routes.configuration
        routes = tuple(
            attrs.evolve(route, max_attempts=0) for route in configuration.routes
        )
        self.forwarder.routes = RouteTable(attrs.evolve(configuration, routes=routes))
        for path in ("/unsafe/x", "/safe/x", "/stream/x"):
            head, _ = await self.send_request(path)
            self.assertEqual(503, head.status)
            self.assertTrue(head.header(b"retry-after"))
        self.assertEqual([], engine.requests)


class ExpectedVersionTest(ForwardingTestCase):
    """Guards against callers who take engines away by what they ask of them."""

    VERSION = b"X-Endivesill-Expected-Version"

    async def test_a_caller_that_asks_for_old_weights(self):
        engines = await self.add_engines("llm", "e1", "e2", "e3")
        for path in ("/answer/x", "/stream/x"):
            for _ in range(4):
                head, _ = await self.send_request(
                    path, *STREAM_HEADERS, (self.VERSION, b"1")
                )
                self.assertEqual(503, head.status)
            for _ in range(2 * len(engines)):
                head, _ = await self.send_request(path, *STREAM_HEADERS)
                self.assertEqual(200, head.status)
        for engine in engines:
            target = self.target(engine.identity)
            self.assertFalse(target.is_replaced)
            self.assertEqual(0.0, target.health.failure_rate)
            self.assertEqual(0.0, target.ejected_until_s)

    async def test_a_caller_that_asks_for_the_weights_of_one_engine(self):
        engines = await self.add_engines("llm", "e1", "e2", "e3")
        engines[0].weights = b"1"
        statuses = {
            (
                await self.send_request(
                    "/answer/x", *STREAM_HEADERS, (self.VERSION, b"1")
                )
            )[0].status
            for _ in range(3)
        }
        self.assertEqual({200}, statuses)

    async def test_another_target_at_an_address_is_tried_again_in_time(self):
        """Guards against a target that is lost for good by a single answer."""
        timer = self.table._timer = ManualTimer()
        await self.add_engines("app", "p1")
        target = self.target("p1")
        self.table.note_replaced(target)
        self.assertFalse(self.table.accepts_requests(target))
        await timer.advance(REPLACED_S + 0.1)
        self.assertTrue(self.table.accepts_requests(target))
