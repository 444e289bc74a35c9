"""Tests of the calls of operators, over real connections on loopback."""

import asyncio
import json
import unittest

from endivesill import errors
from endivesill.http1 import ConnectionPool, HttpListener
from endivesill.platform.configuration import decode_configuration
from endivesill.platform.operators import OperatorHandler
from endivesill.timer import SystemTimer

ADDRESS = "10.0.0.4:8748"


class FakeChanges:
    """Records orders; one that is sent over a connection of index 0 is overtaken."""

    def __init__(self):
        self.orders = []
        self.configurations = []
        self.current = None

    async def replace_configuration(self, version, document):
        self.configurations.append(document)
        return version

    async def set_evacuation(self, data_centre, evacuated, known_index):
        self.orders.append((data_centre, evacuated, known_index))
        if known_index == 0:
            raise errors.OvertakenError(12)

    async def is_in_force(self, document):
        return document == self.current

    async def read_configuration(self):
        raise errors.UnavailableError("no configuration yet")


class OperatorHandlerTestCase(unittest.IsolatedAsyncioTestCase):
    """A handler behind a listener on loopback."""

    async def asyncSetUp(self):
        timer = SystemTimer()
        self.changes = FakeChanges()
        handler = OperatorHandler(timer, self.changes, ADDRESS)
        self.listener = HttpListener(timer, "127.0.0.1:0", handler.handle)
        await self.listener.start()
        self.addAsyncCleanup(self.listener.stop)
        self.pool = ConnectionPool(timer, 1.0, 10.0)
        self.addCleanup(self.pool.close)

    async def call(self, method, target, body=b""):
        head = f"{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
        request = head.encode() + b"\r\n\r\n" + body
        return await self.pool.exchange(self.listener.address, request)


class EvacuationTest(OperatorHandlerTestCase):
    async def test_an_order_that_may_be_old_must_be_confirmed(self):
        head, _ = await self.call("POST", "/Evacuation.End/zone%20a")
        self.assertEqual(307, head.status)
        self.assertEqual(b"close", head.header(b"connection"))
        url = head.header(b"location").decode()
        target = url.removeprefix(f"http://{ADDRESS}")
        self.assertEqual("/Evacuation.End/zone%20a?confirmed-index=12", target)
        head, body = await self.call("POST", target)
        self.assertEqual((200, b"{}"), (head.status, body))
        orders = [("zone a", False, 0), ("zone a", False, 12)]
        self.assertEqual(orders, self.changes.orders)

    async def test_the_index_of_the_connection_counts(self):
        self.listener.opening_stamp.value = 30
        head, _ = await self.call("POST", "/Evacuation.Start/a?confirmed-index=12")
        self.assertEqual(200, head.status)
        self.assertEqual([("a", True, 30)], self.changes.orders)

    async def test_an_index_that_is_no_number_confirms_nothing(self):
        for query in ("", "confirmed-index=", "confirmed-index=-5", "a&b=%"):
            head, _ = await self.call("POST", f"/Evacuation.Start/a?{query}")
            self.assertEqual(307, head.status)
        head, _ = await self.call(
            "POST", "/Evacuation.Start/a?confirmed-index=" + "9" * 5_000
        )
        self.assertEqual(307, head.status)

    async def test_an_order_whose_caller_has_left_is_not_carried_out(self):
        host, _, port = self.listener.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        request = b"POST /Evacuation.End/a HTTP/1.1\r\nHost: a\r\n\r\n"
        writer.write(request)
        writer.write_eof()
        writer.close()
        await writer.wait_closed()
        await self.call("GET", "/Configuration.Get")
        self.assertEqual([], self.changes.orders)

    async def test_a_read_before_the_first_configuration(self):
        head, _ = await self.call("GET", "/Configuration.Get")
        self.assertEqual(503, head.status)


class UnreadableConfigurationTest(OperatorHandlerTestCase):
    """Guards against documents that are no JSON, or that cannot be passed on."""

    async def check(self, timeout_ms, other=b"1"):
        body = b'{"version":1,"services":[{"name":"s"}],"other":%b,"routes":[%b]}'
        route = (
            b'{"name":"r","host":"h","path_prefix":"/","kind":"safe","service":"s",'
            b'"timeout_ms":%b}' % timeout_ms
        )
        head, _ = await self.call(
            "POST", "/Configuration.Replace", body % (other, route)
        )
        return head.status

    async def test_a_sound_document(self):
        self.assertEqual(200, await self.check(b"5"))
        self.assertEqual(1, len(self.changes.configurations))

    async def test_numbers_that_are_not_finite(self):
        for number in (b"NaN", b"Infinity", b"-Infinity", b"1e999", b"9" * 5_000):
            self.assertEqual(400, await self.check(number))
            self.assertEqual(400, await self.check(b"5", number))
        self.assertEqual([], self.changes.configurations)

    async def test_text_that_is_no_unicode(self):
        for text in (b'"\\ud800"', b'"\xff"', b'"\xed\xa0\x80"'):
            self.assertEqual(400, await self.check(b"5", text))

    async def test_deep_nesting(self):
        for depth in (70, 900, 100_000):
            nested = b"[" * depth + b"]" * depth
            self.assertEqual(400, await self.check(b"5", nested))
        self.assertEqual(200, await self.check(b"5", b"[" * 60 + b"]" * 60))


class InvalidConfigurationTest(OperatorHandlerTestCase):
    """Guards against states that the page calls invalid and that were accepted."""

    async def replace(self, limits, **fields):
        route = {
            "name": "r",
            "host": "h",
            "path_prefix": "/",
            "kind": "safe",
            "timeout_ms": 5,
            "traffic_split": [{"service": "s", "weight": 1}],
            **fields,
        }
        services = [{"name": "s"}]
        self.document = {"version": 1, "services": services, "routes": [route]}
        self.document["limits"] = limits
        body = json.dumps(self.document).encode()
        return (await self.call("POST", "/Configuration.Replace", body))[0].status

    async def test_an_unknown_service_beside_a_traffic_split(self):
        for service in ("gone", ""):
            self.assertEqual(400, await self.replace({}, service=service))
        self.assertEqual([], self.changes.configurations)
        for service in ("s", None):
            self.assertEqual(200, await self.replace({}, service=service))

    async def test_limits_that_are_no_object(self):
        for limits in ([], "", 0, False):
            self.assertEqual(400, await self.replace(limits))
        self.assertEqual([], self.changes.configurations)
        self.assertEqual(200, await self.replace(None))

    async def test_a_state_in_force_is_acknowledged_again(self):
        """An earlier build has accepted it, and its acknowledgement was lost."""
        self.assertEqual(400, await self.replace({}, service="gone"))
        self.changes.current = self.document
        self.assertEqual(200, await self.replace({}, service="gone"))
        self.assertIsNotNone(decode_configuration(self.document))
        self.assertEqual(400, await self.replace([], service="gone"))
        self.assertIsNotNone(decode_configuration(self.document))
