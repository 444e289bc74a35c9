"""Bench of the routing: the policy `credit` beside the baseline, in one run.

The baseline's fixed limit is swept, and the limit of its best goodput at each
load is the one to beat. Then decision cost and memory over fleet sizes.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

import attrs

from bench.report import Report
from bench.routing_cost import add_costs
from bench.routing_run import Figures, Plan, run_plan
from bench.routing_workload import mean_output_tokens

__all__ = ["main"]

SEED = 1
CAPACITY_REQUESTS_S = 29.0
LIMITS = (40, 50, 60, 80)
LIMITS_OF_SIX = (8, 10, 14)
CREDIT_LIMIT = 128
DURATION_S = 120.0
SCENARIO_LOAD = 0.8
SCENARIOS = ("turns-cold", "dies", "data-centre")
PROCESSES = 3
GAP_TARGET_MS = 71.0


@attrs.frozen
class Case:
    """A load over so many entries, with the limits of the baseline to sweep."""

    load: float
    entries: int
    limits: tuple[int, ...]

    @property
    def name(self) -> str:
        """The case in the report."""
        return f"load {self.load}, {self.entries} VM" + "s" * (self.entries > 1)

    def plans(self) -> list[Plan]:
        """Return the baseline's runs and ours, which is the last."""
        rate_per_s = self.load * CAPACITY_REQUESTS_S
        kinds = [("least-outstanding", limit) for limit in self.limits]
        return [
            Plan(policy, limit, rate_per_s, DURATION_S, SEED, entries=self.entries)
            for policy, limit in (*kinds, ("credit", CREDIT_LIMIT))
        ]


CASES = (
    Case(0.7, 1, LIMITS),
    Case(1.0, 1, LIMITS),
    Case(1.3, 1, LIMITS),
    Case(1.0, 6, LIMITS_OF_SIX),
    Case(1.3, 6, LIMITS_OF_SIX),
)


def scenario_plans(scenario: str) -> list[Plan]:
    """Return the baseline's run and ours under a fault."""
    rate_per_s = SCENARIO_LOAD * CAPACITY_REQUESTS_S
    return [
        Plan(policy, limit, rate_per_s, DURATION_S, SEED, scenario)
        for policy, limit in (("least-outstanding", 60), ("credit", CREDIT_LIMIT))
    ]


def add_figures(report: Report, name: str, figures: Figures) -> None:
    """Add the figures of one run."""
    label = f"{name} {figures.policy}({figures.limit})"
    report.add(f"{label} goodput", figures.goodput_tokens_s, "tokens/s")
    report.add(f"{label} goodput in time", figures.timely_goodput_tokens_s, "tokens/s")
    report.add(f"{label} preemptions", figures.preemptions, "count")
    report.add(f"{label} stall time", figures.stall_s, "s")
    for share, value in figures.gap_ms.items():
        report.add(f"{label} gap {share}", value, "ms")
    for share, value in figures.first_token_ms.items():
        report.add(f"{label} first token {share}", value, "ms")
    report.add(
        f"{label} checks first token p95", figures.check_first_token_ms["p95"], "ms"
    )
    refused = figures.refused / max(1, figures.requests)
    report.add(f"{label} refused", round(refused, 4), "share")


def add_comparison(report: Report, case: Case, ours: Figures, base: Figures) -> None:
    """Add the targets that ours has to meet against the baseline."""

    def at_most(name: str, value: float, bound: float, unit: str, text: str) -> None:
        report.add(f"{case.name} {name}", value, unit, text, value <= bound)

    goodput = round(ours.goodput_tokens_s / base.goodput_tokens_s, 4)
    holds = goodput >= 0.97
    report.add(f"{case.name} goodput to baseline", goodput, "ratio", ">= 0.97", holds)
    if case.load >= 1.0:
        bound = base.preemptions / 10
        text = f"<= a tenth of {base.preemptions} (Pemberton)"
        at_most("preemptions", ours.preemptions, bound, "count", text)
        text = f"<= a fifth of {base.stall_s} (Pemberton)"
        at_most("stall time", ours.stall_s, base.stall_s / 5, "s", text)
    tail = round(ours.gap_ms["p99"] / base.gap_ms["p99"], 3)
    at_most("gap p99 to baseline", tail, 0.7, "ratio", "<= 0.7 (Hovslag)")
    if case.load <= 1.0:
        text = "<= 71 (Hovslag)"
        at_most("gap p95", ours.gap_ms["p95"], GAP_TARGET_MS, "ms", text)
    for share in ("p50", "p95"):
        bound = base.first_token_ms[share]
        value = ours.first_token_ms[share]
        at_most(f"first token {share}", value, bound, "ms", f"<= {bound}")
    lone = ours.lone_prompt_share / max(1e-9, ours.long_step_share)
    report.add(f"{case.name} long gaps by one prompt", round(lone, 3), "share")
    if case.entries > 1:
        report.add(f"{case.name} credit bodies", ours.credit_bytes_s, "B/s and VM")


def add_scenario(report: Report, name: str, ours: Figures, base: Figures) -> None:
    """Add the targets of a fault."""
    stall = f"<= baseline's {base.stall_s} (Pemberton)"
    report.add(f"{name} stall", ours.stall_s, "s", stall, ours.stall_s <= base.stall_s)
    tail, bound = ours.gap_ms["p99"], base.gap_ms["p99"]
    report.add(
        f"{name} gap p99", tail, "ms", f"<= baseline's {bound} (Hovslag)", tail <= bound
    )
    report.add(f"{name} broken", ours.broken, "count", f"baseline {base.broken}")
    report.add(
        f"{name} cold target above its allowance",
        ours.cold_excess,
        "requests",
        f"<= 0; most at once {ours.cold_peak}, baseline {base.cold_peak}",
        ours.cold_excess <= 0,
    )
    if name == "data-centre":
        report.add(
            f"{name} starts while taken out",
            ours.starts_in_closed,
            "count",
            "0 (Hovslag)",
            ours.starts_in_closed == 0,
        )


def main() -> None:
    """Run all plans and print the report."""
    report = Report("routing", SEED)
    plans = [plan for case in CASES for plan in case.plans()]
    plans += [plan for scenario in SCENARIOS for plan in scenario_plans(scenario)]
    plans.sort(key=lambda plan: -plan.rate_per_s)
    with ProcessPoolExecutor(PROCESSES) as pool:
        runs = dict(zip(plans, pool.map(run_plan, plans), strict=True))
    report.add("mean output", round(mean_output_tokens(), 1), "tokens")
    goodputs = {}
    for case in CASES:
        *bases, ours = (runs[plan] for plan in case.plans())
        base = max(bases, key=lambda f: (f.goodput_tokens_s, -f.limit))
        goodputs[case.entries, case.load] = ours.goodput_tokens_s
        for figures in (*bases, ours):
            add_figures(report, case.name, figures)
        add_comparison(report, case, ours, base)
    for entries in (1, 6):
        held = round(goodputs[entries, 1.3] / goodputs[entries, 1.0], 4)
        name = f"goodput at 1.3 to 1.0, {entries} VMs"
        report.add(name, held, "ratio", ">= 0.95", held >= 0.95)
    for scenario in SCENARIOS:
        base, ours = (runs[plan] for plan in scenario_plans(scenario))
        add_figures(report, scenario, base)
        add_figures(report, scenario, ours)
        add_scenario(report, scenario, ours, base)
    add_costs(report)
    report.print()
    if "--details" in sys.argv:
        for plan, figures in runs.items():
            print(attrs.asdict(plan), attrs.asdict(figures), file=sys.stderr)


if __name__ == "__main__":
    main()
