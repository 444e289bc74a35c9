"""`python -m bench.capacity`: the tables of docs/CAPACITY.md from the benches.

The benches' JSON that the page rests on is kept in docs/capacity/. With
`--check` nothing is written and a page that does not match exits with 1.
"""

from __future__ import annotations

import pathlib
import re
import shutil
import sys
from typing import Any

import cyclopts

from bench.capacity_model import ROLES
from bench.capacity_runs import Measured, Row
from bench.fit import fit_line

__all__ = ["main", "render"]

PAGE = pathlib.Path("docs/CAPACITY.md")
KEPT_RUNS = pathlib.Path("docs/capacity")
EXIT_STALE = 1

_BLOCK = re.compile(
    r"(?P<begin><!-- table: (?P<name>[^>]+) -->\n).*?(?P<end><!-- end -->)", re.DOTALL
)


def number(value: float) -> str:
    """Return a figure with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def role_table(rows: list[Row]) -> str:
    """Return a role's rows as a table."""
    lines = [
        "| quantity at the target size | figure | unit | bound | carried | from |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        bound = "" if row.bound is None else number(row.bound)
        lines.append(
            f"| {row.quantity} | {number(row.value)} | {row.unit} | {bound} "
            f"| {row.carried} | {row.source} |"
        )
    return "\n".join(lines) + "\n"


def slope_table(runs: dict[str, dict[str, Any]]) -> str:
    """Return all slopes with their fit and residual."""
    lines = [
        "| bench | slope | sizes | for each | at zero | residual | unit |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for bench, run in sorted(runs.items()):
        for slope in run["slopes"]:
            fit = fit_line(slope["points"])
            sizes = ", ".join(number(x) for x, _ in slope["points"])
            lines.append(
                f"| {bench} | {slope['name']} | {sizes} {slope['x_unit']} "
                f"| {fit.slope:.3g} | {fit.intercept:.3g} "
                f"| {100 * fit.residual:.1f} % | {slope['y_unit']} |"
            )
    return "\n".join(lines) + "\n"


def run_table(runs: dict[str, dict[str, Any]]) -> str:
    """Return which runs the page rests on."""
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


def render(page: str, measured: Measured) -> str:
    """Return the page with all its tables computed anew.

    Raises:
      KeyError: the page names an unknown table, or a figure is missing.
    """

    def table(match: re.Match[str]) -> str:
        name = match["name"].strip()
        if name == "slopes":
            text = slope_table(measured.runs())
        elif name == "runs":
            text = run_table(measured.runs())
        else:
            text = role_table(ROLES[name](measured))
        return match["begin"] + text + match["end"]

    return _BLOCK.sub(table, page)


def main(*, results: pathlib.Path | None = None, check: bool = False) -> None:
    """Recompute the page, or check it.

    Parameters
    ----------
    results
        A folder with new runs, which are kept for the page first.
    check
        Write nothing; exit with 1 if the page is stale.
    """
    if results is not None:
        KEPT_RUNS.mkdir(exist_ok=True)
        for path in sorted(results.glob("*.json")):
            shutil.copy(path, KEPT_RUNS / path.name)
    page = PAGE.read_text(encoding="utf-8")
    fresh = render(page, Measured(KEPT_RUNS))
    if check:
        if fresh != page:
            print(f"{PAGE} is stale: run python -m bench.capacity", file=sys.stderr)
            raise SystemExit(EXIT_STALE)
        return
    PAGE.write_text(fresh, encoding="utf-8")


if __name__ == "__main__":
    cyclopts.run(main)
