"""The target size and the measured runs that docs/CAPACITY.md rests on."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import attrs

from bench.fit import Fit, fit_line

__all__ = ["TARGET", "Measured", "Row", "TargetSize"]


@attrs.frozen
class TargetSize:
    """The size that the users expect within two years."""

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
    tokens_per_stream_s: float = 20.0

    @property
    def entries(self) -> int:
        """Nodes that are not set aside for control."""
        return self.nodes - self.control_vms

    @property
    def entry_tokens_per_s(self) -> float:
        """Tokens a second through one entry."""
        return self.tokens_per_s / self.entries

    @property
    def entry_requests_per_s(self) -> float:
        """Requests a second at one entry."""
        return self.requests_per_s / self.entries

    @property
    def entry_streams(self) -> float:
        """Streams at once at one entry."""
        return self.entry_tokens_per_s / self.tokens_per_stream_s

    @property
    def targets_per_home(self) -> float:
        """Targets that one entry is home of."""
        return self.targets / self.entries

    @property
    def entries_per_data_centre(self) -> float:
        """Entries in one data centre."""
        return self.entries / self.data_centres


TARGET = TargetSize()


@attrs.frozen
class Row:
    """One line of a role's table.

    Attributes:
      quantity: what is worked out.
      value: the figure at the target size.
      unit: its unit.
      source: the bench and slope it rests on.
      bound: the users' bound; None where there is none.
    """

    quantity: str
    value: float
    unit: str
    source: str
    bound: float | None = None

    @property
    def carried(self) -> str:
        """Whether today's mechanism stays within the bound."""
        if self.bound is None:
            return ""
        return "yes" if self.value <= self.bound else "**no**"


class Measured:
    """The benches' runs.

    Args:
      folder: the JSON files, one a bench.

    Raises:
      OSError: a file cannot be read.
      ValueError: a file is not the JSON of a run.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._runs: dict[str, dict[str, Any]] = {}
        for path in sorted(folder.glob("*.json")):
            document = json.loads(path.read_text(encoding="utf-8"))
            self._runs[document["bench"]] = document

    def runs(self) -> dict[str, dict[str, Any]]:
        """Return the runs by bench."""
        return self._runs

    def fit(self, bench: str, name: str) -> Fit:
        """Return the line through a slope's points.

        Raises:
          KeyError: there is no such slope.
        """
        for slope in self._runs[bench]["slopes"]:
            if slope["name"] == name:
                return fit_line(slope["points"])
        raise KeyError(f"bench {bench} has no slope {name!r}")

    def at(self, bench: str, name: str, size: float) -> float:
        """Return a figure at a size: the line's, but no less than was measured.

        A line that falls with the size says nothing far beyond it, so the figure
        of the largest measured size counts there.

        Raises:
          KeyError: there is no such slope.
        """
        fit = self.fit(bench, name)
        if fit.slope >= 0:
            return fit.at(size)
        for slope in self._runs[bench]["slopes"]:
            if slope["name"] == name:
                return max(slope["points"])[1]
        raise KeyError(name)

    def first(self, bench: str, name: str) -> float:
        """Return a slope's figure at its smallest size.

        Raises:
          KeyError: there is no such slope.
        """
        for slope in self._runs[bench]["slopes"]:
            if slope["name"] == name:
                return min(slope["points"])[1]
        raise KeyError(name)

    def result(self, bench: str, name: str) -> float:
        """Return a figure by the beginning of its name.

        Raises:
          KeyError: there is no such figure.
        """
        for result in self._runs[bench]["results"]:
            if result["name"].startswith(name):
                return result["value"]
        raise KeyError(f"bench {bench} has no figure {name!r}")
