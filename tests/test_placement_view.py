"""Tests of the explanation of where a request would be placed now."""

import random
import unittest

from endivesill import errors
from endivesill.fleet.load import EngineLoad, FleetLoads
from endivesill.fleet.pauses import EnginePauses
from endivesill.forwarding.even_load import EvenLoad
from endivesill.forwarding.placement import cost_s, cost_terms
from endivesill.forwarding.placement_service import PlacementService
from endivesill.forwarding.placement_view import PlacementQuery, entry_page
from endivesill.forwarding.targets import ResourceDemand
from endivesill.metrics_port import PLACEMENT_PATH, MetricsListener
from endivesill.placement_client import format_placement, read_placement
from endivesill.timer import ManualTimer, SystemTimer
from tests.forwarding_fakes import MEMORY, MODEL, PLAIN, engine, make_table

QUERY = {"service": "llm", "prompt_tokens": "3000", "output_tokens": "1000"}
FULL = EngineLoad(5, MEMORY.capacity_tokens, 0)


class LeaderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.table = make_table(
            self.timer, engine("e1"), engine("e22"), engine("e333", is_draining=True)
        )
        self.leads = True
        self.service = PlacementService(
            self.timer,
            self.table,
            FleetLoads(),
            {"llm": MODEL, "app": PLAIN}.get,
            (1.5, 5.0),
            lambda: self.leads,
            random.Random(1),
        )

    def message(self, **changes):
        return {
            "entry": "entry-1",
            "grants_seen": 0,
            "loads": {},
            "service": "llm",
            "priority": 1,
            "request_id": "a1",
            "organisation": "",
            "session": "s",
            "prompt_tokens": 3_000,
            "memory_tokens": 3_500,
            "patience_s": 1.0,
            "return_patience_s": 3.0,
            "excluded": [],
            "holder": "",
            **changes,
        }

    async def test_the_answer_is_where_the_next_request_goes(self):
        for number in range(4):
            expected = self.service.view(QUERY)
            reply = await self.service.handle(self.message(session=f"s{number}"))
            answers = {c["target"]: c["cost_s"] for c in expected["candidates"]}
            self.assertEqual("placed", expected["outcome"])
            chosen = reply["target"]["identity"]
            self.assertEqual(answers[expected["target"]], answers[chosen])

    async def test_what_excludes_a_target_is_said(self):
        self.table.update_loads({"e1@1": FULL})
        first, *others = self.service.view(QUERY)["candidates"]
        self.assertEqual(("e22", ""), (first["target"], first["excluded"]))
        reasons = {c["target"]: c["excluded"] for c in others}
        self.assertEqual(
            {"e1": "its memory is reserved", "e333": "it is leaving"}, reasons
        )

    async def test_a_request_that_would_wait_or_be_refused(self):
        self.table.update_loads({"e1@1": FULL, "e22@1": FULL})
        self.assertEqual("waits", self.service.view(QUERY)["outcome"])
        rate = self.service._placement_rates["llm", 1]
        rate.note(self.timer.now_s())
        await self.timer.advance(10.0)
        answer = self.service.view(QUERY)
        self.assertEqual(("refused", None), (answer["outcome"], answer["target"]))
        self.assertEqual(2.0, answer["expected_wait_s"])
        self.assertEqual(
            "waits", self.service.view({**QUERY, "patience_s": "3"})["outcome"]
        )

    async def test_nothing_changes(self):
        before = (self.service.queue_length(), dict(self.service._grants))
        rows = self.service._loads.rows(self.timer.now_s())
        for _ in range(1_000):
            self.service.view(QUERY)
        self.assertEqual(
            before, (self.service.queue_length(), dict(self.service._grants))
        )
        self.assertEqual(rows, self.service._loads.rows(self.timer.now_s()))
        self.assertEqual([], [t for t in self.table.listed("llm") if t.requests])
        self.assertEqual({}, dict(self.service._placement_rates))

    async def test_who_cannot_say(self):
        self.assertIn(
            "no model engines", self.service.view({"service": "app"})["error"]
        )
        self.leads = False
        self.assertIn("does not lead", self.service.view(QUERY)["error"])

    def test_the_terms_add_up_to_the_cost(self):
        target = self.table.find_all(["e1@1"])[0]
        target.pauses = EnginePauses(9, 9, 5, (0.5,) * 48)
        target.is_strained = True
        target.reserve(ResourceDemand(1_000, 1_500))
        demand = ResourceDemand(3_000, 3_500, 0.18)
        terms = cost_terms(target, MODEL, demand, "b", target.total_requests)
        self.assertEqual(7, len(terms))
        self.assertAlmostEqual(cost_s(target, MODEL, demand, "b"), sum(terms.values()))


class EntryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.table = make_table(
            self.timer, engine("p1", "app"), engine("p22", "app", data_centre="b")
        )
        configuration = type("C", (), {"services": {"llm": MODEL, "app": PLAIN}})
        self.routes = type("R", (), {"configuration": configuration})
        self.page = entry_page(
            self.timer, self.table, lambda: self.routes, EvenLoad(self.timer)
        )

    def test_plain_requests(self):
        answer = self.page({"service": "app"})
        self.assertEqual(("placed", "p1"), (answer["outcome"], answer["target"]))
        self.assertIsNone(answer["knowledge_age_s"])
        self.assertEqual({"distance": 0.03}, answer["candidates"][1]["terms"])

    def test_what_an_entry_cannot_say(self):
        self.assertIn("leading control VM", self.page({"service": "llm"})["error"])
        self.assertIn("no service", self.page({"service": "other"})["error"])
        self.routes = None
        self.assertIn("no service", self.page({"service": "app"})["error"])


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """The page over HTTP, as the command-line tool reads it."""

    async def asyncSetUp(self):
        self.timer = SystemTimer()

        def page(fields):
            query = PlacementQuery.read(fields)
            if not query.service:
                return {"error": "this control VM does not lead"}
            return {
                "outcome": "placed",
                "target": "e1",
                "ahead": 0,
                "candidates": [
                    {
                        "target": "e1",
                        "data_centre": "a",
                        "requests": 2,
                        "excluded": "",
                        "cost_s": 0.43,
                        "terms": {"prompts": 0.43},
                        "report_age_s": 0.2,
                    }
                ],
            }

        listener = MetricsListener(
            self.timer, "127.0.0.1", lambda: ["up 1"], {PLACEMENT_PATH: page}
        )
        listener._listener._address = "127.0.0.1:0"
        await listener.start()
        self.addAsyncCleanup(listener._listener.stop)
        self.address = listener._listener.address

    async def test_an_answer_as_text(self):
        document = await read_placement(self.timer, self.address, QUERY)
        text = format_placement(document)
        self.assertIn("placed: e1", text)
        self.assertIn("may be chosen; cost 0.43 s (prompts 0.43)", text)

    async def test_a_process_that_cannot_say(self):
        with self.assertRaisesRegex(errors.OrderError, "does not lead"):
            await read_placement(self.timer, self.address, {"service": ""})

    async def test_a_field_that_is_no_number(self):
        with self.assertRaises(errors.OrderError):
            await read_placement(self.timer, self.address, {"priority": "high"})

    async def test_no_answer(self):
        with self.assertRaises(errors.UnavailableError):
            await read_placement(self.timer, "127.0.0.1:1", QUERY)
