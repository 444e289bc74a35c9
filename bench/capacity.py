"""Generates the tables of docs/CAPACITY.md: `python -m bench.capacity`.

The tables are computed from the benchmark reports in docs/capacity/. With
`--check`, nothing is written, and the exit status is 1 if the page is out of date.
"""

from __future__ import annotations

import pathlib
import re
import shutil
import sys
from typing import Any

import cyclopts

from bench.capacity_model import ROLES
from bench.capacity_runs import BenchmarkRuns, Row
from bench.fit import fit_line

__all__ = ["main", "render"]

PAGE = pathlib.Path("docs/CAPACITY.md")
RUNS_FOLDER = pathlib.Path("docs/capacity")
EXIT_STALE = 1

_TABLE_BLOCK = re.compile(
    r"(?P<begin><!-- table: (?P<name>[^>]+) -->\n).*?(?P<end><!-- end -->)", re.DOTALL
)


def format_value(value: float) -> str:
    """Return a value with three significant digits, or without decimals from 1000."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def role_table(rows: list[Row]) -> str:
    """Return the rows of a role as a Markdown table."""
    lines = [
        "| quantity at the target size | figure | unit | bound | carried | from |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        bound = "" if row.bound is None else format_value(row.bound)
        lines.append(
            f"| {row.quantity} | {format_value(row.value)} | {row.unit} | {bound} "
            f"| {row.verdict} | {row.source} |"
        )
    return "\n".join(lines) + "\n"


def slope_table(runs: dict[str, dict[str, Any]]) -> str:
    """Return a Markdown table of all slopes with their fit and residual."""
    lines = [
        "| bench | slope | sizes | for each | at zero | residual | unit |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for bench, run in sorted(runs.items()):
        for slope in run["slopes"]:
            fit = fit_line(slope["points"])
            sizes = ", ".join(format_value(x) for x, _ in slope["points"])
            lines.append(
                f"| {bench} | {slope['name']} | {sizes} {slope['x_unit']} "
                f"| {fit.slope:.3g} | {fit.intercept:.3g} "
                f"| {100 * fit.residual:.1f} % | {slope['y_unit']} |"
            )
    return "\n".join(lines) + "\n"


def run_table(runs: dict[str, dict[str, Any]]) -> str:
    """Return a Markdown table of the runs that the page is computed from."""
    lines = [
        "| bench | commit | seed | cores | python |",
        "| --- | --- | --- | --- | --- |",
    ]
    for bench, run in sorted(runs.items()):
        machine = run["machine"]
        lines.append(
            f"| {bench} | {run['commit']} | {run['seed']} "
            f"| {machine['cores']} | {machine['python']} |"
        )
    return "\n".join(lines) + "\n"


def render(page: str, benchmark_runs: BenchmarkRuns) -> str:
    """Return the page with all its tables recomputed.

    Raises:
      KeyError: the page names an unknown table, or a report lacks a result.
    """

    def table(match: re.Match[str]) -> str:
        name = match["name"].strip()
        if name == "slopes":
            text = slope_table(benchmark_runs.by_benchmark())
        elif name == "runs":
            text = run_table(benchmark_runs.by_benchmark())
        else:
            text = role_table(ROLES[name](benchmark_runs))
        return match["begin"] + text + match["end"]

    return _TABLE_BLOCK.sub(table, page)


def main(*, results: pathlib.Path | None = None, check: bool = False) -> None:
    """Recompute the tables of the page, or check that they are current.

    Parameters
    ----------
    results
        Folder with new reports, which are first copied to docs/capacity/.
    check
        Write nothing; exit with 1 if the page is out of date.
    """
    if results is not None:
        RUNS_FOLDER.mkdir(exist_ok=True)
        for path in sorted(results.glob("*.json")):
            shutil.copy(path, RUNS_FOLDER / path.name)
    page = PAGE.read_text(encoding="utf-8")
    rendered = render(page, BenchmarkRuns(RUNS_FOLDER))
    if check:
        if rendered != page:
            print(
                f"{PAGE} is out of date: run python -m bench.capacity", file=sys.stderr
            )
            raise SystemExit(EXIT_STALE)
        return
    PAGE.write_text(rendered, encoding="utf-8")


if __name__ == "__main__":
    cyclopts.run(main)
