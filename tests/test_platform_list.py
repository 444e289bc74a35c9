"""Tests of entries of the platform's list that come from other writers."""

import json
import unittest

from hypothesis import assume, given, settings
from hypothesis import strategies as st

from endivesill import errors, events
from endivesill.http1 import HttpListener
from endivesill.platform.client import PlatformClient
from endivesill.platform.engines import decode_list_page
from endivesill.platform.provider import PlatformEngineList
from endivesill.timer import SystemTimer
from tests.test_fuzz import PROFILE

DEEP = 100_000


def entry(name="i-1", **changes):
    return {
        "id": name,
        "service": "llm",
        "address": "10.0.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 24,
        "state": "ready",
        "cold_remaining_ms": 1500,
        "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        **changes,
    }


def without(field):
    return {name: value for name, value in entry("odd").items() if name != field}


def page(*rows, tail=b',"next":null'):
    """Return a page with entries, which are values or bytes."""
    parts = [
        row if isinstance(row, bytes) else json.dumps(row).encode() for row in rows
    ]
    return b'{"instances":[' + b",".join(parts) + b"]" + tail + b"}"


SOUND = [entry(f"i-{number}") for number in range(3)]
NAMES = ["i-0", "i-1", "i-2"]
# Entries that are no JSON, and values that trip up what uses them.
ODD_BYTES = [
    b"",
    b"\xff\xfe",
    b"nothing",
    b'"',
    b"{",
    b"}",
    b"[",
    b"]",
    b"[0",
    b'{"a":[0',
    b'],"next":"p-2"}',
    b'{"id":"odd\xff"}',
    json.dumps(entry("odd")).encode().replace(b"odd", b"o\xc3d"),
    json.dumps(entry("odd")).encode().replace(b"odd", b"\xed\xa0\x80"),
    b"[" * DEEP,
    b"[" * DEEP + b"]" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b"9" * 5_000,
    b'{"slots":%b}' % (b"9" * 5_000),
    b"\x00" * 100,
    b'{"id":"odd","id":"odd"}',
    json.dumps(entry("odd")).encode() + b"x",
]
ODD_VALUES = [
    None,
    7,
    "odd",
    [],
    {},
    [SOUND[0]],
    {"nested": SOUND[0]},
    *(without(field) for field in entry() if field not in ("stage", "models")),
    *(
        entry("odd", **{field: None})
        for field in entry()
        if field not in ("stage", "models")
    ),
    *(entry("odd", **{field: [[7]]}) for field in entry()),
    *(entry("odd", **{field: True}) for field in entry()),
    entry(""),
    entry("o" * 257),
    entry("odd\r\nX-Other: 1"),
    entry("odd\ud800"),
    entry(" odd"),
    entry("odd", service=""),
    entry("odd", zone=""),
    entry("odd", version=""),
    entry("odd", version="\x00"),
    entry("odd", state="gone"),
    entry("odd", slots=0),
    entry("odd", slots=-1),
    entry("odd", slots=24.0),
    entry("odd", slots=10**30),
    entry("odd", slots="24"),
    entry("odd", cold_remaining_ms=-1),
    entry("odd", cold_remaining_ms=1e300),
    entry("odd", cold_remaining_ms=10**400),
    entry("odd", cold_remaining_ms=float("nan")),
    entry("odd", cold_remaining_ms=float("inf")),
    entry("odd", born=-1),
    entry("odd", born=1.5),
    entry("odd", born=10**30),
    entry("odd", address=""),
    entry("odd", address="10.0.0.9"),
    entry("odd", address="10.0.0.9:"),
    entry("odd", address="10.0.0.9:0"),
    entry("odd", address="10.0.0.9:65536"),
    entry("odd", address="10.0.0.9:99999999999999999999"),
    entry("odd", address="10.0.0.9:-1"),
    entry("odd", address="10.0.0.9:\u0661\u0662"),
    entry("odd", address="10.0.0.9:80 "),
    entry("odd", address="10.0.0.256:80"),
    entry("odd", address="localhost:80"),
    entry("odd", address="10.0.0.9\r\n:80"),
    entry("odd", address="[::1]:80"),
]
JUNK = st.lists(
    st.sampled_from([*ODD_BYTES[:14], b",", b":", b"\\", b" ", b"1", b"null", b"\n"])
    | st.binary(max_size=6),
    max_size=8,
).map(b"".join)


def identities(body):
    return [engine.identity for engine in decode_list_page(body).engines]


class OddEntryTest(unittest.TestCase):
    """Guards against an entry that hides others, or that is used as an engine."""

    def check(self, odd):
        for position in range(4):
            rows = [*SOUND[:position], odd, *SOUND[position:]]
            self.assertEqual(NAMES, identities(page(*rows)), odd)

    def test_entries_that_are_no_json(self):
        for odd in ODD_BYTES:
            self.check(odd)

    def test_entries_with_values_that_cannot_be_used(self):
        for odd in ODD_VALUES:
            self.check(odd)

    def test_all_odd_entries_together(self):
        rows = [*ODD_BYTES, SOUND[0], *ODD_VALUES, SOUND[1], *ODD_BYTES[::-1], SOUND[2]]
        self.assertEqual(NAMES, identities(page(*rows)))

    def test_the_next_page_follows_a_damaged_one(self):
        for tail in (b',"next":"p-50"', b' , "total": 4, "next" : "p-50" '):
            body = page(SOUND[0], b"\xff", SOUND[1], tail=tail)
            self.assertEqual("p-50", decode_list_page(body).next_token)

    def test_reasons_are_short_whatever_the_entry(self):
        rows = [entry("o" * 100_000), entry("odd", address="x" * 100_000), *ODD_VALUES]
        for reason in decode_list_page(page(*rows)).skipped:
            self.assertLess(len(reason), 200)

    def test_a_page_with_too_much_that_cannot_be_read_is_rejected(self):
        with self.assertRaises(errors.DocumentError):
            decode_list_page(page(*[b'{"a":'] * 5_000, SOUND[0]))

    @settings(PROFILE)
    @given(st.lists(JUNK | st.none(), min_size=4, max_size=4))
    def test_any_bytes_beside_sound_entries(self, junk):
        rows = []
        for position, odd in enumerate(junk):
            rows += [] if odd is None else [odd]
            rows += SOUND[position : position + 1]
        body = page(*rows)
        try:
            is_whole = len(json.loads(body)["instances"]) != len(rows)
        except (ValueError, TypeError, KeyError, RecursionError):
            is_whole = False
        # As a whole, the bytes may be another page, with entries around the sound ones.
        assume(not is_whole)
        self.assertEqual(NAMES, identities(body))


class ReadTest(unittest.IsolatedAsyncioTestCase):
    """The list as it is read over HTTP, page by page."""

    async def asyncSetUp(self):
        self.bodies = {b"/instances": page(*SOUND)}
        self.listener = HttpListener(SystemTimer(), "127.0.0.1:0", self.respond)
        await self.listener.start()
        self.addAsyncCleanup(self.listener.stop)
        client = PlatformClient(SystemTimer())
        self.list = PlatformEngineList(client, self.listener.address, 1_000.0)
        self.lines = []
        self.addCleanup(
            events.listen(lambda kind, fields: self.lines.append((kind.name, fields)))
        )

    async def respond(self, exchange):
        exchange.respond(200, [], self.bodies[exchange.target])

    async def names(self):
        return sorted(engine.identity for engine in await self.list.read())

    async def test_the_list_is_followed_beside_each_odd_entry(self):
        for odd in [*ODD_BYTES, *ODD_VALUES]:
            draining = {**SOUND[1], "state": "draining"}
            self.bodies[b"/instances"] = page(SOUND[0], odd, draining, SOUND[2])
            states = {e.identity: e.is_draining for e in await self.list.read()}
            expected = {"i-0": False, "i-1": True, "i-2": False}
            self.assertEqual(expected, states, odd)

    async def test_skipped_entries_are_counted_and_logged_once(self):
        self.bodies[b"/instances"] = page(
            b"\xff", SOUND[0], b"\xff", entry("odd", slots=0)
        )
        for _ in range(3):
            self.assertEqual(["i-0"], await self.names())
        self.assertEqual(3, self.list.skipped_entries)
        self.assertEqual(2, len(self.lines))

    async def test_many_reasons_take_few_lines(self):
        rows = [entry("odd", address=f"10.0.0.{n}:0") for n in range(200)]
        self.bodies[b"/instances"] = page(*rows)
        self.assertEqual([], await self.names())
        self.assertLessEqual(len(self.lines), 20)

    async def test_an_odd_entry_longer_than_other_responses(self):
        self.bodies[b"/instances"] = page(SOUND[0], {"a": "x" * 3_000_000}, SOUND[1])
        self.assertEqual(["i-0", "i-1"], await self.names())

    async def test_a_list_whose_pages_have_no_end(self):
        self.bodies[b"/instances"] = page(SOUND[0], tail=b',"next":"p"')
        self.bodies[b"/instances?page_token=p"] = page(SOUND[1], tail=b',"next":"p"')
        with self.assertRaises(errors.UnavailableError):
            await self.list.read()

    async def test_an_engine_on_two_pages_counts_once(self):
        draining = {**SOUND[0], "state": "draining"}
        for first, second in ((SOUND[0], draining), (draining, SOUND[0])):
            self.bodies[b"/instances"] = page(first, tail=b',"next":"p"')
            self.bodies[b"/instances?page_token=p"] = page(second)
            (engine,) = await self.list.read()
            self.assertTrue(engine.is_draining)

    async def test_an_engine_that_is_listed_again_with_another_service(self):
        again = {**SOUND[0], "service": "app"}
        self.bodies[b"/instances"] = page(SOUND[0], again, SOUND[1])
        services = {e.identity: e.service for e in await self.list.read()}
        self.assertEqual({"i-0": "llm", "i-1": "llm"}, services)
        self.assertEqual(1, self.list.skipped_entries)
