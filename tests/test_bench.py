"""Tests of the modules that the benches share."""

import asyncio
import pathlib
import tempfile
import unittest
import xml.etree.ElementTree as ElementTree

from aiohttp import test_utils, web

from bench import demo
from bench.all import write_load_plots
from bench.compare import compare
from bench.fit import fit_line
from bench.order_engines import OrderEngines, orders_configuration
from bench.plot import Line, line_plot
from bench.report import Report
from endivesill.orders.messages import OrderKind
from endivesill.targets.messages import Order
from endivesill.timer import ManualTimer


class CompareTest(unittest.TestCase):
    def test_figures_of_two_runs_are_compared_by_name(self):
        runs = []
        for value in (2.0, 3.0):
            report = Report("x")
            report.add("speed", value, "m/s")
            report.add(f"only {value}", value, "m/s")
            runs.append({"x": report.document()})
        changes = compare(*runs)
        self.assertEqual([("speed", 50.0)], [(c.name, c.percent) for c in changes])


class PlotTest(unittest.TestCase):
    def test_a_plot_is_well_formed_and_escapes_labels(self):
        svg = line_plot("a < b", "x", "y", [Line("l & m", [(0, 1), (2, 3)])])
        root = ElementTree.fromstring(svg)
        self.assertTrue(root.tag.endswith("svg"))
        self.assertIn("a &lt; b", svg)


class FitTest(unittest.TestCase):
    def test_collinear_points_have_no_residual(self):
        fit = fit_line([(1, 5.0), (2, 7.0), (4, 11.0)])
        self.assertAlmostEqual(2.0, fit.slope)
        self.assertAlmostEqual(3.0, fit.intercept)
        self.assertAlmostEqual(0.0, fit.residual)
        self.assertAlmostEqual(23.0, fit.at(10))

    def test_a_slope_needs_three_points(self):
        with self.assertRaises(ValueError):
            fit_line([(1, 1.0), (2, 2.0)])


class LoadPlotTest(unittest.TestCase):
    def test_one_plot_by_load_shows_both_policies(self):
        results = [
            {"name": f"load {load}, 1 VM {policy} stall time", "value": 1, "unit": "s"}
            for load in ("0.7", "1.0")
            for policy in ("credit(128)", "least-outstanding(60)")
        ]
        with tempfile.TemporaryDirectory() as folder:
            write_load_plots({"results": results}, pathlib.Path(folder))
            (path,) = pathlib.Path(folder).iterdir()
            svg = path.read_text(encoding="utf-8")
        self.assertEqual(2, svg.count("<polyline"))
        self.assertIn("least-outstanding, 1 VM", svg)


class OrderEnginesTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_order_is_applied_once(self):
        timer = ManualTimer()
        configuration = orders_configuration()
        engines = OrderEngines(timer, configuration)
        target = configuration.targets["plain-0"]
        for number, delay_s in enumerate((0.0, 1.0)):
            engines.engines["plain-0"].apply_delay_s = delay_s
            order = Order(f"o{number}", 1, OrderKind.LOAD_ADAPTER.value, f"a{number}")
            sent = asyncio.ensure_future(engines.order(target, order))
            await timer.advance(2.0)
            await sent
        adapters = engines.engines["plain-0"].report.adapters
        self.assertEqual(("a0", "a1"), adapters)


class DemoFleet:
    """A fleet with one entry that refuses, and an engine that starts meanwhile."""

    engines = ("engine-1",)

    def __init__(self, address, new_starts):
        self.caller_addresses = {"vm-1": address}
        self._starts = 0
        self._new_starts = new_starts

    async def fetch_runs(self, engine):
        starts = self._starts
        self._starts += self._new_starts
        return {"generation": starts}


class DemoTest(unittest.IsolatedAsyncioTestCase):
    async def check_refusal(self, new_starts):
        async def refuse(request):
            return web.json_response({"run": "not-run"}, status=404)

        application = web.Application()
        application.router.add_post("/v1/completions", refuse)
        async with test_utils.TestServer(application, host="127.0.0.1") as server:
            fleet = DemoFleet(f"127.0.0.1:{server.port}", new_starts)
            return await demo.check_refusal(fleet, demo.Caller(fleet, None))

    async def test_a_refusal_that_started_nothing_holds(self):
        check = await self.check_refusal(0)
        self.assertTrue(check.holds)
        self.assertIn("engines untouched", check.observed)

    async def test_engines_that_started_a_refused_request_are_told(self):
        check = await self.check_refusal(1)
        self.assertFalse(check.holds)
        self.assertNotIn("untouched", check.observed)
        self.assertIn("engines started 1", check.observed)
