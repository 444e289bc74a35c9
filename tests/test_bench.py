"""Tests of the modules that the benches share."""

import pathlib
import tempfile
import unittest
import xml.etree.ElementTree as ElementTree

from bench.all import write_load_plots
from bench.compare import compare
from bench.fit import fit_line
from bench.plot import Line, line_plot
from bench.report import Report


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
