"""The output format that all benchmarks share.

A report is printed as JSON to stdout and as a readable table to stderr:
`{"bench", "seed", "machine", "commit", "results": [...], "slopes": [...]}`.
"""

from __future__ import annotations

import json
import os
import platform
import subprocess
import sys
from typing import Any

import attrs

__all__ = ["Report", "Result", "Slope"]


@attrs.frozen
class Result:
    """One measured value.

    Attributes:
      name: what was measured.
      value: the measured value.
      unit: the unit of `value`.
      target: the requirement, in words; empty without one.
      holds: whether the value meets the target; None without a target.
    """

    name: str
    value: float
    unit: str
    target: str = ""
    holds: bool | None = None


@attrs.frozen
class Slope:
    """A value measured at several sizes, which the capacity page extrapolates.

    Attributes:
      name: what was measured.
      x_unit: the unit of the size.
      y_unit: the unit of the measured value.
      points: pairs of size and measured value, three or more.
    """

    name: str
    x_unit: str
    y_unit: str
    points: list[tuple[float, float]]


class Report:
    """The results of one run of a benchmark.

    Args:
      bench: the name of the benchmark.
      seed: seed of the random choices of the run.
    """

    def __init__(self, bench: str, seed: int = 1) -> None:
        self.bench = bench
        self.seed = seed
        self.results: list[Result] = []
        self.slopes: list[Slope] = []

    def add(
        self,
        name: str,
        value: float,
        unit: str,
        target: str = "",
        holds: bool | None = None,
    ) -> None:
        """Add one result; see `Result`."""
        self.results.append(Result(name, value, unit, target, holds))

    def slope(
        self, name: str, x_unit: str, y_unit: str, points: list[tuple[float, float]]
    ) -> None:
        """Add a value measured at three sizes or more; see `Slope`."""
        self.slopes.append(Slope(name, x_unit, y_unit, points))

    def document(self) -> dict[str, Any]:
        """Return the report as a JSON object, with the machine and the commit."""
        return {
            "bench": self.bench,
            "seed": self.seed,
            "machine": machine(),
            "commit": commit(),
            "results": [attrs.asdict(result) for result in self.results],
            "slopes": [attrs.asdict(slope) for slope in self.slopes],
        }

    def print(self) -> None:
        """Print the JSON to stdout and the table of results to stderr."""
        print(json.dumps(self.document(), indent=1))
        for result in self.results:
            print(format_result(result), file=sys.stderr)


def format_result(result: Result) -> str:
    """Return one result as a line of the table."""
    verdict = {None: "", True: "holds", False: "FALLS SHORT"}[result.holds]
    target = f"target {result.target}" if result.target else ""
    return (
        f"{result.name:<58} {result.value:>12.4g} {result.unit:<14} {target} {verdict}"
    ).rstrip()


def machine() -> dict[str, Any]:
    """Return the cores, Python version and platform of this machine."""
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "system": platform.system(),
        "processor": platform.machine(),
    }


def commit() -> str:
    """Return the abbreviated commit checked out, or an empty string outside git."""
    finished = subprocess.run(
        ["git", "rev-parse", "--short=12", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return finished.stdout.strip()
