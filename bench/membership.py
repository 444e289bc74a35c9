"""Benchmark of membership and orders: `python -m bench.membership`.

Failure detection runs on the manual timer with 2 % packet loss, in four processes in
parallel. The traffic and processor time of a VM are measured over loopback sockets
in a fleet without changes. Orders run in random histories on the manual timer.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import cyclopts

from bench.fit import fit_line
from bench.membership_cost import VmCost, measure_exchanges, measure_fleet
from bench.membership_trials import DetectionResults, run_detection_trials
from bench.order_trials import OrderCounts, run_order_histories
from bench.report import Report

__all__ = ["main"]

FLEET_VMS = (7, 50, 100, 150)
FITTED_FLEET_VMS = (50, 100, 150)
DESIGN_VMS = 560
RUNS = 4
MANUAL_S_PER_RUN = 250.0
DETECTION_VMS = 50
HISTORIES_PER_RUN = 15
MAX_DETECTION_P99_S = 3.0
MAX_SENT_BYTES_PER_S = 1000.0
MAX_CORES = 0.007
MAX_LEAVING_NOTICE_S = 2.0


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile by nearest rank; NaN without values."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def report_detection(report: Report, runs: list[DetectionResults]) -> None:
    """Add the results of the failure detection trials."""
    times_s = [t for run in runs for t in run.times_s]
    data_centre_s = [t for run in runs for t in run.data_centre_times_s]
    leaving_s = [t for run in runs for t in run.leaving_times_s]
    manual_s = sum(run.manual_s for run in runs)
    false_deaths = sum(run.false_deaths for run in runs)
    missed = sum(run.missed for run in runs)
    moved = sum(run.targets_moved for run in runs)
    conditions = f"{DETECTION_VMS} VMs, 2 % loss"
    p99_s = quantile(times_s, 0.99)
    report.add(
        f"detection by all, 99 in 100 ({conditions}, {len(times_s)} deaths)",
        p99_s,
        "s",
        f"<= {MAX_DETECTION_P99_S:g} s",
        p99_s <= MAX_DETECTION_P99_S,
    )
    report.add(f"detection by all, median ({conditions})", quantile(times_s, 0.5), "s")
    report.add("deaths or notices not learnt of", missed, "", "0", missed == 0)
    report.add(
        f"false deaths in {manual_s:.0f} s of manual time ({conditions})",
        false_deaths,
        "",
        "0 in 1,000 s",
        false_deaths == 0,
    )
    report.add(
        f"detection of a whole data centre, longest of {len(data_centre_s)}",
        max(data_centre_s, default=float("nan")),
        "s",
    )
    leaving_max_s = max(leaving_s, default=float("nan"))
    report.add(
        f"leaving target known by all, longest of {len(leaving_s)}",
        leaving_max_s,
        "s",
        f"<= {MAX_LEAVING_NOTICE_S:g} s",
        leaving_max_s <= MAX_LEAVING_NOTICE_S,
    )
    report.add(
        f"homes moved of {sum(run.targets_checked for run in runs)} whose VM lived on",
        moved,
        "",
        "0",
        moved == 0,
    )


def report_cost(report: Report, costs: dict[int, VmCost]) -> None:
    """Add the cost of a VM by fleet size, and its extrapolation to `DESIGN_VMS`."""
    for vms, cost in costs.items():
        report.add(
            f"bytes sent a VM a second at {vms} VMs",
            cost.sent_bytes,
            "B/s",
            f"<= {MAX_SENT_BYTES_PER_S:g} B/s",
            cost.sent_bytes <= MAX_SENT_BYTES_PER_S,
        )
        report.add(
            f"bytes sent by the busiest VM a second at {vms} VMs",
            cost.highest_sent_bytes,
            "B/s",
        )
        report.add(
            f"datagrams sent a VM a second at {vms} VMs", cost.sent_datagrams, ""
        )
        report.add(
            f"processor time a VM at {vms} VMs",
            100 * cost.processor_s,
            "% of a core",
            f"<= {100 * MAX_CORES:g} %",
            cost.processor_s <= MAX_CORES,
        )
    # At 7 VMs every VM is a delegate, so that size does not fit the line.
    fitted_costs = {vms: costs[vms] for vms in FITTED_FLEET_VMS}
    byte_points = [(float(vms), cost.sent_bytes) for vms, cost in fitted_costs.items()]
    processor_points = [
        (float(vms), 100 * cost.processor_s) for vms, cost in fitted_costs.items()
    ]
    datagram_points = [
        (float(vms), cost.sent_datagrams) for vms, cost in fitted_costs.items()
    ]
    report.slope("membership bytes sent", "VMs", "B/s a VM", byte_points)
    report.slope("membership datagrams sent", "VMs", "1/s a VM", datagram_points)
    report.slope(
        "membership processor time", "VMs", "% of a core a VM", processor_points
    )
    # The share of delegates falls with the fleet size, so the line may fall too; the
    # value at the largest measured size is the lower bound of the estimate.
    design_bytes_per_s = max(fit_line(byte_points).at(DESIGN_VMS), byte_points[-1][1])
    report.add(
        f"bytes sent a VM a second at {DESIGN_VMS} VMs, worked out",
        design_bytes_per_s,
        "B/s",
        f"<= {MAX_SENT_BYTES_PER_S:g} B/s",
        design_bytes_per_s <= MAX_SENT_BYTES_PER_S,
    )
    design_percent = max(
        fit_line(processor_points).at(DESIGN_VMS), processor_points[-1][1]
    )
    report.add(
        f"processor time a VM at {DESIGN_VMS} VMs, worked out",
        design_percent,
        "% of a core",
        f"<= {100 * MAX_CORES:g} %",
        design_percent <= 100 * MAX_CORES,
    )


def report_exchanges(report: Report) -> None:
    """Add the cost of a message exchange over HTTP and over UDP."""
    for name, exchange in zip(("HTTP", "UDP"), measure_exchanges(), strict=True):
        report.add(f"one exchange over {name}, both ends", exchange.processor_us, "us")
        report.add(f"one exchange over {name}, both ways", exchange.bytes, "B")


def report_orders(report: Report, runs: list[OrderCounts]) -> None:
    """Add the counts of executed, duplicate and stale orders."""
    duplicates = sum(run.duplicates for run in runs)
    stale_token = sum(run.stale_token for run in runs)
    executed = sum(run.executed for run in runs)
    issued = sum(run.issued for run in runs)
    takeovers = sum(run.takeovers for run in runs)
    report.add(f"orders run (of {issued} given, {takeovers} take-overs)", executed, "")
    report.add("orders run twice", duplicates, "", "0", duplicates == 0)
    report.add("orders run with an old token", stale_token, "", "0", stale_token == 0)


def main(*, seed: int = 1) -> None:
    """Run all measurements and print the report.

    Parameters
    ----------
    seed
        Seed of all random choices.
    """
    report = Report("membership", seed)
    report_exchanges(report)
    with ProcessPoolExecutor(RUNS, mp_context=get_context("spawn")) as pool:
        costs = [pool.submit(measure_fleet, vms) for vms in FLEET_VMS]
        measured = [future.result() for future in costs]
        report_cost(report, dict(zip(FLEET_VMS, measured, strict=True)))
        detection_futures = [
            pool.submit(
                run_detection_trials, DETECTION_VMS, MANUAL_S_PER_RUN, seed + run
            )
            for run in range(RUNS)
        ]
        report_detection(report, [future.result() for future in detection_futures])
        orders = [
            pool.submit(run_order_histories, HISTORIES_PER_RUN, seed + run)
            for run in range(RUNS)
        ]
        report_orders(report, [future.result() for future in orders])
    report.print()


if __name__ == "__main__":
    cyclopts.run(main)
