"""Benchmark of routing: the policy `credit` against `least-outstanding`.

The baseline, `least-outstanding`, runs with several fixed limits; at each load, the
credit policy is compared with the limit that gives the best goodput. The cost of a
decision and the memory use are measured over fleet sizes.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

import attrs

from bench.report import Report
from bench.routing_cost import add_costs
from bench.routing_run import Plan, RunResults, run_plan
from bench.routing_workload import mean_output_tokens

__all__ = ["main"]

SEED = 1
CAPACITY_REQUESTS_PER_S = 29.0
BASELINE_LIMITS = (40, 50, 60, 80)
BASELINE_LIMITS_6_ENTRIES = (8, 10, 14)
CREDIT_LIMIT = 128
DURATION_S = 120.0
SCENARIO_LOAD = 0.8
SCENARIOS = ("turns-cold", "dies", "data-centre")
WORKER_PROCESSES = 3
MAX_GAP_P95_MS = 71.0


@attrs.frozen
class LoadCase:
    """A load on a number of entries, and the fixed limits that the baseline tries.

    The load is a fraction of the capacity of all engines.
    """

    load: float
    entries: int
    limits: tuple[int, ...]

    @property
    def name(self) -> str:
        """The prefix of the names of this case's results."""
        return f"load {self.load}, {self.entries} VM" + "s" * (self.entries > 1)

    def plans(self) -> list[Plan]:
        """Return the plans of the baseline, and last the plan of the credit policy."""
        rate_per_s = self.load * CAPACITY_REQUESTS_PER_S
        baseline_policies = [("least-outstanding", limit) for limit in self.limits]
        return [
            Plan(policy, limit, rate_per_s, DURATION_S, SEED, entries=self.entries)
            for policy, limit in (*baseline_policies, ("credit", CREDIT_LIMIT))
        ]


LOAD_CASES = (
    LoadCase(0.7, 1, BASELINE_LIMITS),
    LoadCase(1.0, 1, BASELINE_LIMITS),
    LoadCase(1.3, 1, BASELINE_LIMITS),
    LoadCase(1.0, 6, BASELINE_LIMITS_6_ENTRIES),
    LoadCase(1.3, 6, BASELINE_LIMITS_6_ENTRIES),
)


def scenario_plans(scenario: str) -> list[Plan]:
    """Return the plans of the baseline and of the credit policy under a fault."""
    rate_per_s = SCENARIO_LOAD * CAPACITY_REQUESTS_PER_S
    return [
        Plan(policy, limit, rate_per_s, DURATION_S, SEED, scenario)
        for policy, limit in (("least-outstanding", 60), ("credit", CREDIT_LIMIT))
    ]


def add_run_results(report: Report, name: str, run_results: RunResults) -> None:
    """Add the results of one run."""
    label = f"{name} {run_results.policy}({run_results.limit})"
    report.add(f"{label} goodput", run_results.goodput_tokens_s, "tokens/s")
    report.add(
        f"{label} goodput in time", run_results.timely_goodput_tokens_s, "tokens/s"
    )
    report.add(f"{label} preemptions", run_results.preemptions, "count")
    report.add(f"{label} stall time", run_results.stall_s, "s")
    for quantile, value in run_results.gap_ms.items():
        report.add(f"{label} gap {quantile}", value, "ms")
    for quantile, value in run_results.first_token_ms.items():
        report.add(f"{label} first token {quantile}", value, "ms")
    report.add(
        f"{label} checks first token p95", run_results.check_first_token_ms["p95"], "ms"
    )
    refused = run_results.refused / max(1, run_results.requests)
    report.add(f"{label} refused", round(refused, 4), "share")


def add_comparison(
    report: Report, case: LoadCase, credit: RunResults, baseline: RunResults
) -> None:
    """Add the targets that the credit policy has to meet against the baseline."""

    def at_most(name: str, value: float, bound: float, unit: str, target: str) -> None:
        report.add(f"{case.name} {name}", value, unit, target, value <= bound)

    goodput = round(credit.goodput_tokens_s / baseline.goodput_tokens_s, 4)
    holds = goodput >= 0.97
    report.add(f"{case.name} goodput to baseline", goodput, "ratio", ">= 0.97", holds)
    if case.load >= 1.0:
        bound = baseline.preemptions / 10
        target = f"<= a tenth of {baseline.preemptions} (Pemberton)"
        at_most("preemptions", credit.preemptions, bound, "count", target)
        target = f"<= a fifth of {baseline.stall_s} (Pemberton)"
        at_most("stall time", credit.stall_s, baseline.stall_s / 5, "s", target)
    p99_ratio = round(credit.gap_ms["p99"] / baseline.gap_ms["p99"], 3)
    at_most("gap p99 to baseline", p99_ratio, 0.7, "ratio", "<= 0.7 (Hovslag)")
    if case.load <= 1.0:
        target = "<= 71 (Hovslag)"
        at_most("gap p95", credit.gap_ms["p95"], MAX_GAP_P95_MS, "ms", target)
    for quantile in ("p50", "p95"):
        bound = baseline.first_token_ms[quantile]
        value = credit.first_token_ms[quantile]
        at_most(f"first token {quantile}", value, bound, "ms", f"<= {bound}")
    single_prompt_ratio = credit.lone_prompt_share / max(1e-9, credit.long_step_share)
    report.add(
        f"{case.name} long gaps by one prompt", round(single_prompt_ratio, 3), "share"
    )
    if case.entries > 1:
        report.add(f"{case.name} credit bodies", credit.credit_bytes_s, "B/s and VM")


def add_scenario(
    report: Report, name: str, credit: RunResults, baseline: RunResults
) -> None:
    """Add the targets that the credit policy has to meet under a fault."""
    stall = f"<= baseline's {baseline.stall_s} (Pemberton)"
    report.add(
        f"{name} stall", credit.stall_s, "s", stall, credit.stall_s <= baseline.stall_s
    )
    p99_ms, bound = credit.gap_ms["p99"], baseline.gap_ms["p99"]
    report.add(
        f"{name} gap p99",
        p99_ms,
        "ms",
        f"<= baseline's {bound} (Hovslag)",
        p99_ms <= bound,
    )
    report.add(f"{name} broken", credit.broken, "count", f"baseline {baseline.broken}")
    report.add(
        f"{name} cold target above its allowance",
        credit.cold_excess,
        "requests",
        f"<= 0; most at once {credit.cold_peak}, baseline {baseline.cold_peak}",
        credit.cold_excess <= 0,
    )
    if name == "data-centre":
        report.add(
            f"{name} starts while taken out",
            credit.starts_in_closed,
            "count",
            "0 (Hovslag)",
            credit.starts_in_closed == 0,
        )


def main() -> None:
    """Run all plans and print the report; `--details` also prints every run."""
    report = Report("routing", SEED)
    plans = [plan for case in LOAD_CASES for plan in case.plans()]
    plans += [plan for scenario in SCENARIOS for plan in scenario_plans(scenario)]
    plans.sort(key=lambda plan: -plan.rate_per_s)
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        runs = dict(zip(plans, pool.map(run_plan, plans), strict=True))
    report.add("mean output", round(mean_output_tokens(), 1), "tokens")
    goodputs = {}
    for case in LOAD_CASES:
        *baselines, credit = (runs[plan] for plan in case.plans())
        baseline = max(baselines, key=lambda f: (f.goodput_tokens_s, -f.limit))
        goodputs[case.entries, case.load] = credit.goodput_tokens_s
        for run_results in (*baselines, credit):
            add_run_results(report, case.name, run_results)
        add_comparison(report, case, credit, baseline)
    for entries in (1, 6):
        ratio = round(goodputs[entries, 1.3] / goodputs[entries, 1.0], 4)
        name = f"goodput at 1.3 to 1.0, {entries} VMs"
        report.add(name, ratio, "ratio", ">= 0.95", ratio >= 0.95)
    for scenario in SCENARIOS:
        baseline, credit = (runs[plan] for plan in scenario_plans(scenario))
        add_run_results(report, scenario, baseline)
        add_run_results(report, scenario, credit)
        add_scenario(report, scenario, credit, baseline)
    add_costs(report)
    report.print()
    if "--details" in sys.argv:
        for plan, run_results in runs.items():
            print(attrs.asdict(plan), attrs.asdict(run_results), file=sys.stderr)


if __name__ == "__main__":
    main()
