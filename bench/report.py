"""The shape in which every bench prints its figures.

JSON goes to stdout and a readable table to stderr:
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
    """One figure.

    Attributes:
      name: what was measured.
      value: the figure.
      unit: its unit.
      target: the bound that the users or the design state, in words.
      holds: whether the figure meets it; None where there is no target.
    """

    name: str
    value: float
    unit: str
    target: str = ""
    holds: bool | None = None


@attrs.frozen
class Slope:
    """A figure over a size, for the capacity page.

    Attributes:
      name: what was measured.
      x_unit: what the size counts.
      y_unit: the figure's unit.
      points: pairs of size and figure, three or more.
    """

    name: str
    x_unit: str
    y_unit: str
    points: list[tuple[float, float]]


class Report:
    """The figures of one run of a bench.

    Args:
      bench: the bench's name.
      seed: the seed of the run.
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
        """Add one figure."""
        self.results.append(Result(name, value, unit, target, holds))

    def slope(
        self, name: str, x_unit: str, y_unit: str, points: list[tuple[float, float]]
    ) -> None:
        """Add a figure over three sizes or more."""
        self.slopes.append(Slope(name, x_unit, y_unit, points))

    def document(self) -> dict[str, Any]:
        """Return the run as a JSON object."""
        return {
            "bench": self.bench,
            "seed": self.seed,
            "machine": machine(),
            "commit": commit(),
            "results": [attrs.asdict(result) for result in self.results],
            "slopes": [attrs.asdict(slope) for slope in self.slopes],
        }

    def print(self) -> None:
        """Print the JSON to stdout and the table to stderr."""
        print(json.dumps(self.document(), indent=1))
        for result in self.results:
            print(table_line(result), file=sys.stderr)


def table_line(result: Result) -> str:
    """Return one figure as a line of the table."""
    verdict = {None: "", True: "holds", False: "FALLS SHORT"}[result.holds]
    target = f"target {result.target}" if result.target else ""
    return (
        f"{result.name:<58} {result.value:>12.4g} {result.unit:<14} {target} {verdict}"
    ).rstrip()


def machine() -> dict[str, Any]:
    """Return what machine this is."""
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "system": platform.system(),
        "processor": platform.machine(),
    }


def commit() -> str:
    """Return the commit of the working tree, or an empty string outside git."""
    finished = subprocess.run(
        ["git", "rev-parse", "--short=12", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return finished.stdout.strip()
