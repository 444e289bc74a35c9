"""The design size and the benchmark reports behind docs/CAPACITY.md."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import attrs

from bench.fit import Fit, fit_line

__all__ = ["DESIGN_SIZE", "BenchmarkRuns", "DeploymentSize", "Row"]


@attrs.frozen
class DeploymentSize:
    """The size of the whole deployment that the users expect within two years."""

    nodes: int = 560
    control_vms: int = 12
    targets: int = 2400
    requests_per_s: float = 13_000.0
    tokens_per_s: float = 5_400_000.0
    organisations: int = 19_000
    models: int = 16
    regions: int = 4
    data_centres: int = 8
    changes_per_day: int = 1800
    failures_per_day: int = 18
    restarts_per_day: int = 170
    tokens_per_s_per_stream: float = 20.0

    @property
    def entries(self) -> int:
        """Nodes that run entries; the others are reserved for control replicas."""
        return self.nodes - self.control_vms

    @property
    def entry_tokens_per_s(self) -> float:
        """Tokens per second that one entry forwards."""
        return self.tokens_per_s / self.entries

    @property
    def entry_requests_per_s(self) -> float:
        """Requests per second that one entry receives."""
        return self.requests_per_s / self.entries

    @property
    def entry_streams(self) -> float:
        """Concurrent streams at one entry."""
        return self.entry_tokens_per_s / self.tokens_per_s_per_stream

    @property
    def targets_per_entry(self) -> float:
        """Targets that one entry owns on average."""
        return self.targets / self.entries

    @property
    def entries_per_data_centre(self) -> float:
        """Entries in one data centre on average."""
        return self.entries / self.data_centres


DESIGN_SIZE = DeploymentSize()


@attrs.frozen
class Row:
    """One row of the table of a role.

    Attributes:
      quantity: what is estimated.
      value: the estimate at the design size.
      unit: the unit of `value` and `bound`.
      source: the benchmark and slope that the estimate is based on.
      bound: the upper bound that is required; None without one.
    """

    quantity: str
    value: float
    unit: str
    source: str
    bound: float | None = None

    @property
    def verdict(self) -> str:
        """Whether the value is within the bound, as Markdown; empty without one."""
        if self.bound is None:
            return ""
        return "yes" if self.value <= self.bound else "**no**"


class BenchmarkRuns:
    """The stored reports of all benchmarks.

    Args:
      folder: folder of JSON reports, one file per benchmark.

    Raises:
      OSError: a file cannot be read.
      ValueError: a file is not valid JSON.
      KeyError: a report does not name its benchmark.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._reports: dict[str, dict[str, Any]] = {}
        for path in sorted(folder.glob("*.json")):
            report = json.loads(path.read_text(encoding="utf-8"))
            self._reports[report["bench"]] = report

    def by_benchmark(self) -> dict[str, dict[str, Any]]:
        """Return the reports by benchmark name; they are shared, not copies."""
        return self._reports

    def fit(self, bench: str, name: str) -> Fit:
        """Return the line fitted to the points of a slope.

        Raises:
          KeyError: there is no such slope.
        """
        for slope in self._reports[bench]["slopes"]:
            if slope["name"] == name:
                return fit_line(slope["points"])
        raise KeyError(f"benchmark {bench} has no slope {name!r}")

    def extrapolate(self, bench: str, name: str, size: float) -> float:
        """Return the value of a slope, extrapolated to a size.

        A falling line says nothing about sizes far beyond the measured ones, so
        in that case the value at the largest measured size is returned.

        Raises:
          KeyError: there is no such slope.
        """
        fit = self.fit(bench, name)
        if fit.slope >= 0:
            return fit.at(size)
        for slope in self._reports[bench]["slopes"]:
            if slope["name"] == name:
                return max(slope["points"])[1]
        raise KeyError(name)

    def at_smallest_size(self, bench: str, name: str) -> float:
        """Return the value of a slope at its smallest measured size.

        Raises:
          KeyError: there is no such slope.
        """
        for slope in self._reports[bench]["slopes"]:
            if slope["name"] == name:
                return min(slope["points"])[1]
        raise KeyError(name)

    def result(self, bench: str, name_prefix: str) -> float:
        """Return the value of the first result whose name starts with a prefix.

        Raises:
          KeyError: there is no such result.
        """
        for result in self._reports[bench]["results"]:
            if result["name"].startswith(name_prefix):
                return result["value"]
        raise KeyError(f"benchmark {bench} has no result {name_prefix!r}")
