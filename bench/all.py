"""`make bench`: every bench one after the other, JSON and plots in a folder."""

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

BENCHES = (
    "routing",
    "membership",
    "credits",
    "control",
    "configuration",
    "entry",
    "entry_tables",
)
RESULTS = pathlib.Path("bench/results")
LIMIT_S = 240.0
BY_LOAD = re.compile(
    r"load (?P<load>[\d.]+), (?P<vms>\d+ VMs?) (?P<policy>[\w-]+)\(\d+\) "
    r"(?P<figure>gap p\d+|stall time|preemptions)$"
)


def run_bench(name: str, folder: pathlib.Path) -> dict[str, Any] | None:
    """Run one bench in a process of its own and keep its JSON.

    Returns:
      The run, or None when the bench failed.
    """
    print(f"== bench.{name}", file=sys.stderr, flush=True)
    command = [sys.executable, "-m", f"bench.{name}"]
    try:
        finished = subprocess.run(
            command, stdout=subprocess.PIPE, timeout=LIMIT_S, check=False
        )
    except subprocess.TimeoutExpired:
        print(f"bench.{name} took over {LIMIT_S} s", file=sys.stderr)
        return None
    try:
        document = json.loads(finished.stdout)
    except ValueError:
        print(f"bench.{name} printed no JSON", file=sys.stderr)
        return None
    (folder / f"{name}.json").write_bytes(finished.stdout)
    return document


def write_plots(document: dict[str, Any], folder: pathlib.Path) -> None:
    """Write one SVG for each slope of a run."""
    for slope in document["slopes"]:
        words = "".join(c if c.isalnum() else "-" for c in slope["name"]).strip("-")
        points = [(float(x), float(y)) for x, y in slope["points"]]
        svg = line_plot(
            f"{document['bench']}: {slope['name']}",
            slope["x_unit"],
            slope["y_unit"],
            [Line(slope["name"], points)],
        )
        path = folder / f"{document['bench']}-{words}.svg"
        path.write_text(svg, encoding="utf-8")


def write_load_plots(document: dict[str, Any], folder: pathlib.Path) -> None:
    """Write gaps, stalls and preemptions by load, both policies in one plot."""
    plots: dict[str, dict[str, list[tuple[float, float]]]] = {}
    units: dict[str, str] = {}
    for result in document["results"]:
        match = BY_LOAD.match(result["name"])
        if match is None:
            continue
        line = f"{match['policy']}, {match['vms']}"
        points = plots.setdefault(match["figure"], {}).setdefault(line, [])
        points.append((float(match["load"]), float(result["value"])))
        units[match["figure"]] = result["unit"]
    for figure, lines in plots.items():
        svg = line_plot(
            f"{figure} by load",
            "load, as a share of capacity",
            units[figure],
            [Line(label, points) for label, points in lines.items()],
        )
        path = folder / f"routing-by-load-{figure.replace(' ', '-')}.svg"
        path.write_text(svg, encoding="utf-8")


def main(folder: pathlib.Path = RESULTS, /) -> None:
    """Run all benches; exit with 1 if one did not finish.

    Parameters
    ----------
    folder
        Where the JSON files and plots go.
    """
    folder.mkdir(parents=True, exist_ok=True)
    failed = []
    for name in BENCHES:
        document = run_bench(name, folder)
        if document is None:
            failed.append(name)
            continue
        write_plots(document, folder)
        write_load_plots(document, folder)
    if failed:
        print(f"not finished: {', '.join(failed)}", file=sys.stderr)
        raise SystemExit(1)


if __name__ == "__main__":
    cyclopts.run(main)
