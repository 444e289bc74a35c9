"""Measures membership and orders: `python -m bench.membership`.

Detection runs on the manual timer at 2 % loss, in four processes at once. What a
VM spends is measured over real loopback sockets in a quiet fleet. Orders run in
random histories on the manual timer.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import cyclopts

from bench.fit import fit_line
from bench.membership_cost import Cost, measure_exchanges, measure_fleet
from bench.membership_trials import Detections, run_detections
from bench.order_trials import OrderCounts, run_orders
from bench.report import Report

__all__ = ["main"]

SIZES = (7, 50, 100, 150)
SIZES_OF_LINE = (50, 100, 150)
FLEET_AT_SIZE = 560
RUNS = 4
MANUAL_S_PER_RUN = 250.0
DETECTION_VMS = 50
HISTORIES_PER_RUN = 15
DETECTION_TARGET_S = 3.0
SENT_TARGET_BYTES = 1000.0
PROCESSOR_TARGET = 0.007
LEAVING_TARGET_S = 2.0


def quantile(values: list[float], share: float) -> float:
    """Return a quantile by the nearest rank."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def report_detection(report: Report, runs: list[Detections]) -> None:
    """Add the figures of failure detection."""
    times_s = [t for run in runs for t in run.times_s]
    data_centre_s = [t for run in runs for t in run.data_centre_times_s]
    leaving_s = [t for run in runs for t in run.leaving_times_s]
    manual_s = sum(run.manual_s for run in runs)
    false_deaths = sum(run.false_deaths for run in runs)
    missed = sum(run.missed for run in runs)
    moved = sum(run.homes_moved for run in runs)
    where = f"{DETECTION_VMS} VMs, 2 % loss"
    time_s = quantile(times_s, 0.99)
    report.add(
        f"detection by all, 99 in 100 ({where}, {len(times_s)} deaths)",
        time_s,
        "s",
        f"<= {DETECTION_TARGET_S:g} s",
        time_s <= DETECTION_TARGET_S,
    )
    report.add(f"detection by all, median ({where})", quantile(times_s, 0.5), "s")
    report.add("deaths or notices not learnt of", missed, "", "0", missed == 0)
    report.add(
        f"false deaths in {manual_s:.0f} s of manual time ({where})",
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
        f"<= {LEAVING_TARGET_S:g} s",
        leaving_max_s <= LEAVING_TARGET_S,
    )
    report.add(
        f"homes moved of {sum(run.homes_checked for run in runs)} whose VM lived on",
        moved,
        "",
        "0",
        moved == 0,
    )


def report_cost(report: Report, costs: dict[int, Cost]) -> None:
    """Add what a VM spends, and the slopes to the size to come."""
    for vms, cost in costs.items():
        report.add(
            f"bytes sent a VM a second at {vms} VMs",
            cost.sent_bytes,
            "B/s",
            f"<= {SENT_TARGET_BYTES:g} B/s",
            cost.sent_bytes <= SENT_TARGET_BYTES,
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
            f"<= {100 * PROCESSOR_TARGET:g} %",
            cost.processor_s <= PROCESSOR_TARGET,
        )
    # At 7 VMs every VM is a delegate, so that size is off the line.
    large = {vms: costs[vms] for vms in SIZES_OF_LINE}
    sent = [(float(vms), cost.sent_bytes) for vms, cost in large.items()]
    spent = [(float(vms), 100 * cost.processor_s) for vms, cost in large.items()]
    datagrams = [(float(vms), cost.sent_datagrams) for vms, cost in large.items()]
    report.slope("membership bytes sent", "VMs", "B/s a VM", sent)
    report.slope("membership datagrams sent", "VMs", "1/s a VM", datagrams)
    report.slope("membership processor time", "VMs", "% of a core a VM", spent)
    at_size = fit_line(sent).at(FLEET_AT_SIZE)
    report.add(
        f"bytes sent a VM a second at {FLEET_AT_SIZE} VMs, by the line",
        at_size,
        "B/s",
        f"<= {SENT_TARGET_BYTES:g} B/s",
        at_size <= SENT_TARGET_BYTES,
    )
    share = fit_line(spent).at(FLEET_AT_SIZE)
    report.add(
        f"processor time a VM at {FLEET_AT_SIZE} VMs, by the line",
        share,
        "% of a core",
        f"<= {100 * PROCESSOR_TARGET:g} %",
        share <= 100 * PROCESSOR_TARGET,
    )


def report_exchanges(report: Report) -> None:
    """Add HTTP and UDP beside each other."""
    for name, exchange in zip(("HTTP", "UDP"), measure_exchanges(), strict=True):
        report.add(f"one exchange over {name}, both ends", exchange.processor_us, "us")
        report.add(f"one exchange over {name}, both ways", exchange.bytes, "B")


def report_orders(report: Report, runs: list[OrderCounts]) -> None:
    """Add the counts of orders."""
    twice = sum(run.twice for run in runs)
    old_token = sum(run.old_token for run in runs)
    ran = sum(run.ran for run in runs)
    given = sum(run.given for run in runs)
    take_overs = sum(run.take_overs for run in runs)
    report.add(f"orders run (of {given} given, {take_overs} take-overs)", ran, "")
    report.add("orders run twice", twice, "", "0", twice == 0)
    report.add("orders run with an old token", old_token, "", "0", old_token == 0)


def main(*, seed: int = 1) -> None:
    """Measure and print the report.

    Parameters
    ----------
    seed
        Seed of all random choices.
    """
    report = Report("membership", seed)
    report_exchanges(report)
    with ProcessPoolExecutor(RUNS, mp_context=get_context("spawn")) as pool:
        costs = [pool.submit(measure_fleet, vms) for vms in SIZES]
        found = [future.result() for future in costs]
        report_cost(report, dict(zip(SIZES, found, strict=True)))
        detections = [
            pool.submit(run_detections, DETECTION_VMS, MANUAL_S_PER_RUN, seed + run)
            for run in range(RUNS)
        ]
        report_detection(report, [future.result() for future in detections])
        orders = [
            pool.submit(run_orders, HISTORIES_PER_RUN, seed + run)
            for run in range(RUNS)
        ]
        report_orders(report, [future.result() for future in orders])
    report.print()


if __name__ == "__main__":
    cyclopts.run(main)
