"""Tests of the operators' calls about roll-outs, letter for letter."""

import json
import unittest

from endivesill import errors, porcelain
from endivesill.http1 import ConnectionPool, HttpListener
from endivesill.platform.operators import OperatorHandler
from endivesill.platform.rollouts import RolloutCalls
from endivesill.rollouts.model import Phase, Rollout, RolloutState
from endivesill.timer import SystemTimer

ADDRESS = "10.0.0.4:8748"
CONFIGURATION = {
    "version": 7,
    "routes": [],
    "services": [{"name": "huvo11a", "health_path": "/health"}],
}
START = b'{"service":"huvo11a","target":"v2","duration_s":12}'


class FakeChanges:
    """Has a configuration, or none yet."""

    def __init__(self):
        self.document = CONFIGURATION

    async def read_configuration(self):
        if self.document is None:
            raise errors.UnavailableError("no configuration yet")
        return self.document


class FakeOrders:
    """Records orders and answers with one roll-out."""

    def __init__(self):
        self.started = []
        self.state = RolloutState.RUNNING
        self.error = None

    async def start(self, service, version, duration_s):
        if self.error is not None:
            raise self.error
        self.started.append((service, version, duration_s))

    async def read(self, service):
        if service != "huvo11a":
            return None
        return Rollout(
            service, "v2", 12.0, self.state, Phase.CANARY, 5, 0.0, 0.0, 0, 0, None, ""
        )


class RolloutCallsTestCase(unittest.IsolatedAsyncioTestCase):
    """A handler behind a listener on loopback."""

    has_rollouts = True

    async def asyncSetUp(self):
        timer = SystemTimer()
        self.changes, self.orders = FakeChanges(), FakeOrders()
        calls = RolloutCalls(self.orders, self.changes) if self.has_rollouts else None
        handler = OperatorHandler(timer, self.changes, ADDRESS, calls)
        self.listener = HttpListener(timer, "127.0.0.1:0", handler.handle)
        await self.listener.start()
        self.addAsyncCleanup(self.listener.stop)
        self.pool = ConnectionPool(timer, 1.0, 10.0)
        self.addCleanup(self.pool.close)

    async def call(self, method, target, body=b""):
        head = f"{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
        request = head.encode() + b"\r\n\r\n" + body
        head, body = await self.pool.exchange(self.listener.address, request)
        return head.status, json.loads(body)


class StartTest(RolloutCallsTestCase):
    async def test_an_order(self):
        status, _ = await self.call("POST", "/Rollouts.Start", START)
        self.assertEqual(200, status)
        self.assertEqual([("huvo11a", "v2", 12.0)], self.orders.started)

    async def test_invalid_orders(self):
        for body in (
            b"",
            b"[]",
            b"{",
            b'{"service":"huvo11a","target":"v2"}',
            b'{"service":"huvo11a","target":"","duration_s":12}',
            b'{"service":"huvo11a","target":7,"duration_s":12}',
            b'{"service":"huvo11a","target":"v2","duration_s":0}',
            b'{"service":"huvo11a","target":"v2","duration_s":-1}',
            b'{"service":"huvo11a","target":"v2","duration_s":1e9}',
            b'{"service":"huvo11a","target":"v2","duration_s":NaN}',
            b'{"service":"other","target":"v2","duration_s":12}',
        ):
            status, _ = await self.call("POST", "/Rollouts.Start", body)
            self.assertEqual(400, status, body)
        self.assertEqual([], self.orders.started)

    async def test_another_roll_out_in_progress(self):
        self.orders.error = errors.ConflictError("in progress")
        status, document = await self.call("POST", "/Rollouts.Start", START)
        self.assertEqual((409, {"error": "in progress"}), (status, document))

    async def test_an_unknown_outcome(self):
        self.orders.error = errors.OutcomeUnknownError("timeout")
        status, _ = await self.call("POST", "/Rollouts.Start", START)
        self.assertEqual(503, status)

    async def test_before_the_first_configuration(self):
        self.changes.document = None
        status, _ = await self.call("POST", "/Rollouts.Start", START)
        self.assertEqual(503, status)


class GetTest(RolloutCallsTestCase):
    async def test_states(self):
        for state, text in (
            (RolloutState.RUNNING, "running"),
            (RolloutState.COMPLETED, "completed"),
            (RolloutState.ROLLED_BACK, "rolled_back"),
        ):
            self.orders.state = state
            answer = await self.call("GET", "/Rollouts.Get/huvo11a")
            self.assertEqual((200, {"state": text, "target": "v2"}), answer)

    async def test_a_service_without_one(self):
        status, _ = await self.call("GET", "/Rollouts.Get/other")
        self.assertEqual(404, status)


class CommandTest(RolloutCallsTestCase):
    """The command of operators, which follows a roll-out until its end."""

    async def follow(self, version=None, duration_s=None):
        lines = []
        state = await porcelain.platform_rollout(
            self.listener.address, "huvo11a", version, duration_s, lines.append
        )
        return state, lines

    async def test_a_roll_out_is_started_and_followed(self):
        self.orders.state = RolloutState.COMPLETED
        state, lines = await self.follow("v2", 12.0)
        self.assertEqual("completed", state)
        self.assertEqual(["huvo11a to v2: completed"], lines)
        self.assertEqual([("huvo11a", "v2", 12.0)], self.orders.started)

    async def test_the_newest_one_is_followed(self):
        self.orders.state = RolloutState.ROLLED_BACK
        state, _ = await self.follow()
        self.assertEqual("rolled_back", state)
        self.assertEqual([], self.orders.started)

    async def test_an_order_that_is_rejected(self):
        self.orders.error = errors.ConflictError("v3 is in progress")
        with self.assertRaisesRegex(errors.OrderError, "v3 is in progress"):
            await self.follow("v2", 12.0)

    async def test_a_time_budget_is_needed(self):
        with self.assertRaisesRegex(errors.OrderError, "time budget"):
            await self.follow("v2")


class WithoutRolloutsTest(RolloutCallsTestCase):
    """A deployment whose settings have no bounds on exposure."""

    has_rollouts = False

    async def test_calls_are_unknown(self):
        status, _ = await self.call("POST", "/Rollouts.Start", START)
        self.assertEqual(404, status)
        status, _ = await self.call("GET", "/Rollouts.Get/huvo11a")
        self.assertEqual(404, status)
