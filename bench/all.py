"""Runs all benchmarks in turn (`make bench`); writes JSON reports and SVG plots."""

from __future__ import annotations

import json
import pathlib
import re
import subprocess
import sys
from typing import Any

import cyclopts

from bench.plot import Line, line_plot

__all__ = ["main"]

BENCHMARKS = (
    "routing",
    "membership",
    "credits",
    "control",
    "configuration",
    "entry",
    "entry_tables",
)
RESULTS_FOLDER = pathlib.Path("bench/results")
TIMEOUT_S = 240.0
LOAD_RESULT_PATTERN = re.compile(
    r"load (?P<load>[\d.]+), (?P<vms>\d+ VMs?) (?P<policy>[\w-]+)\(\d+\) "
    r"(?P<figure>gap p\d+|stall time|preemptions)$"
)


def run_benchmark(name: str, folder: pathlib.Path) -> dict[str, Any] | None:
    """Run one benchmark in a subprocess and store its JSON report.

    Returns:
      The report, or None if the benchmark timed out or printed no JSON.
    """
    print(f"== bench.{name}", file=sys.stderr, flush=True)
    command = [sys.executable, "-m", f"bench.{name}"]
    try:
        completed = subprocess.run(
            command, stdout=subprocess.PIPE, timeout=TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        print(f"bench.{name} did not finish within {TIMEOUT_S} s", file=sys.stderr)
        return None
    try:
        document = json.loads(completed.stdout)
    except ValueError:
        print(f"bench.{name} printed no JSON", file=sys.stderr)
        return None
    (folder / f"{name}.json").write_bytes(completed.stdout)
    return document


def write_plots(document: dict[str, Any], folder: pathlib.Path) -> None:
    """Write one SVG plot for each slope of a report."""
    for slope in document["slopes"]:
        slug = "".join(c if c.isalnum() else "-" for c in slope["name"]).strip("-")
        points = [(float(x), float(y)) for x, y in slope["points"]]
        svg = line_plot(
            f"{document['bench']}: {slope['name']}",
            slope["x_unit"],
            slope["y_unit"],
            [Line(slope["name"], points)],
        )
        path = folder / f"{document['bench']}-{slug}.svg"
        path.write_text(svg, encoding="utf-8")


def write_load_plots(document: dict[str, Any], folder: pathlib.Path) -> None:
    """Plot token gaps, stall time and preemptions over load, one SVG per quantity.

    A plot has one line per policy and number of VMs.
    """
    plots: dict[str, dict[str, list[tuple[float, float]]]] = {}
    units: dict[str, str] = {}
    for result in document["results"]:
        match = LOAD_RESULT_PATTERN.match(result["name"])
        if match is None:
            continue
        line = f"{match['policy']}, {match['vms']}"
        points = plots.setdefault(match["figure"], {}).setdefault(line, [])
        points.append((float(match["load"]), float(result["value"])))
        units[match["figure"]] = result["unit"]
    for quantity, lines in plots.items():
        svg = line_plot(
            f"{quantity} by load",
            "load, as a share of capacity",
            units[quantity],
            [Line(label, points) for label, points in lines.items()],
        )
        path = folder / f"routing-by-load-{quantity.replace(' ', '-')}.svg"
        path.write_text(svg, encoding="utf-8")


def main(folder: pathlib.Path = RESULTS_FOLDER, /) -> None:
    """Run all benchmarks; exit with 1 if one did not finish.

    Parameters
    ----------
    folder
        Folder for the JSON reports and plots.
    """
    folder.mkdir(parents=True, exist_ok=True)
    failed = []
    for name in BENCHMARKS:
        document = run_benchmark(name, folder)
        if document is None:
            failed.append(name)
            continue
        write_plots(document, folder)
        write_load_plots(document, folder)
    if failed:
        print(f"benchmarks that did not finish: {', '.join(failed)}", file=sys.stderr)
        raise SystemExit(1)


if __name__ == "__main__":
    cyclopts.run(main)
