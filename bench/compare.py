"""Compares two benchmark runs: `python -m bench.compare A B`.

A and B are JSON reports of one benchmark, or folders of such reports.
"""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

import attrs
import cyclopts

__all__ = ["Change", "compare", "main"]

EXIT_NO_COMMON_RESULTS = 1


@attrs.frozen
class Change:
    """A result that both runs have.

    Attributes:
      bench: the name of the benchmark.
      name: what was measured.
      unit: the unit of both values.
      before: the value in run A.
      after: the value in run B.
    """

    bench: str
    name: str
    unit: str
    before: float
    after: float

    @property
    def percent(self) -> float | None:
        """The change in percent of `before`; None if `before` is zero."""
        if not self.before:
            return None
        return 100.0 * (self.after - self.before) / abs(self.before)


def read_runs(path: pathlib.Path) -> dict[str, dict[str, Any]]:
    """Return the reports of a file or folder, by benchmark name."""
    files = sorted(path.glob("*.json")) if path.is_dir() else [path]
    documents = [json.loads(file.read_text(encoding="utf-8")) for file in files]
    return {document["bench"]: document for document in documents}


def compare(
    before: dict[str, dict[str, Any]], after: dict[str, dict[str, Any]]
) -> list[Change]:
    """Return the results that both runs have, paired by name."""
    changes = []
    for bench in sorted(before.keys() & after.keys()):
        old = {result["name"]: result for result in before[bench]["results"]}
        for result in after[bench]["results"]:
            if result["name"] in old:
                value = old[result["name"]]["value"]
                changes.append(
                    Change(
                        bench, result["name"], result["unit"], value, result["value"]
                    )
                )
    return changes


def format_change(change: Change) -> str:
    """Return one change as a line of the table."""
    percent = "" if change.percent is None else f"{change.percent:+.1f} %"
    return (
        f"{change.bench:<14} {change.name:<52} {change.before:>12.4g} "
        f"{change.after:>12.4g} {change.unit:<14} {percent}"
    ).rstrip()


def main(before: pathlib.Path, after: pathlib.Path, /) -> None:
    """Compare two runs: BEFORE is the reference, AFTER the new run."""
    changes = compare(read_runs(before), read_runs(after))
    if not changes:
        print("the runs have no results in common", file=sys.stderr)
        raise SystemExit(EXIT_NO_COMMON_RESULTS)
    for change in changes:
        print(format_change(change))


if __name__ == "__main__":
    cyclopts.run(main)
