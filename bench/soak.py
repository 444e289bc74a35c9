"""Soak of the daemons: a small real fleet under load and scheduled faults.

`python -m bench.soak --seed N` starts every process itself, kills, suspends,
stops and restarts processes as scheduled by the seed, and checks every token,
booking and refusal against the runs that the stand-ins recorded. It exits with 0
only if no violation was found.
"""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import signal
import sys

import cyclopts

from bench.fleet import CALLER_KEY, Fleet, FleetPlan
from bench.report import Report
from bench.soak_check import SoakFindings, StandinRuns, check_soak
from bench.soak_schedule import Fault, FleetNames, make_schedule
from endivesill.load import (
    LoadRunner,
    RequestRecord,
    format_summary,
    parse_experiment,
    summarize,
)
from endivesill.timer import SystemTimer

__all__ = ["main"]

RUN_FOLDER = pathlib.Path("run/soak")
PLANNED_STOP_TIMEOUT_S = 60.0
DRAIN_S = 60.0
STALL_THRESHOLD_S = 1.0
MAX_PRINTED_FINDINGS = 10
NON_REPEATABLE = frozenset(("bookings", "bookings-without-key"))

EXPERIMENT = """
[load]
addresses = {addresses}
duration_s = {duration_s}
drain_s = {drain_s}
rate_per_s = {rate_per_s}
health_period_s = 0.4
seed = {seed}
[organisation farriers]
key = {key}
[stream plans]
model = plan-llm
share = 6
output_tokens = 120
maximum_output_tokens = 1500
[stream checks]
model = plan-llm
share = 3
output_tokens = 8
[stream bookings]
kind = plain
path = /stable/bookings
idempotency = yes
share = 3
[stream bookings-without-key]
kind = plain
path = /stable/bookings
share = 1
"""


class Soak:
    """One run.

    Args:
      seed: seed of the load and of the faults.
      duration_s: length of the load.
      rate_per_s: mean rate of requests.
    """

    def __init__(self, seed: int, duration_s: float, rate_per_s: float) -> None:
        self._seed = seed
        self._duration_s = duration_s
        self._timer = SystemTimer()
        plan = FleetPlan(vms=6, control_vms=5, engines=6, plain_services=3)
        self._fleet = Fleet(plan, RUN_FOLDER / f"seed-{seed}")
        text = EXPERIMENT.format(
            addresses=" ".join(self._fleet.caller_addresses.values()),
            duration_s=duration_s,
            drain_s=DRAIN_S,
            rate_per_s=rate_per_s,
            seed=seed,
            key=CALLER_KEY,
        )
        self._experiment = parse_experiment(text, "soak")
        self._planned_stops: list[tuple[str, float, float]] = []
        self._stopping: set[str] = set()
        self._next_revision = 2
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> int:
        """Run the soak and print its report; return the exit code."""
        fleet = self._fleet
        names = FleetNames(
            tuple(fleet.vm_names), tuple(fleet.engines), fleet.plan.data_centres
        )
        schedule = make_schedule(self._seed, names, self._duration_s)
        try:
            await fleet.start()
            runner = LoadRunner(self._experiment, self._timer)
            load = asyncio.ensure_future(runner.run())
            await self._inject(schedule)
            records = await load
            await asyncio.gather(*self._tasks, return_exceptions=True)
            runs = await self._collect_runs()
        finally:
            fleet.stop()
        findings = check_soak(
            records, runs, self._seed, NON_REPEATABLE, self._planned_stops
        )
        self._print_report(records, findings, runner.unsent)
        return 1 if findings.violations else 0

    async def _inject(self, schedule: list[Fault]) -> None:
        start_s = self._timer.now_s()
        for fault in schedule:
            wait_s = start_s + fault.at_s - self._timer.now_s()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            text = f"{fault.at_s:7.1f} s {fault.action} {fault.subject}"
            print(text, file=sys.stderr, flush=True)
            task = asyncio.ensure_future(self._run_fault(fault))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run_fault(self, fault: Fault) -> None:
        try:
            await self._execute(fault)
        except RuntimeError as error:
            print(f"  {fault.action}: {error}", file=sys.stderr, flush=True)

    async def _execute(self, fault: Fault) -> None:
        process = self._fleet.processes.get(fault.subject)
        if fault.action in ("take-out", "put-back"):
            await self._fleet.run_command("data-centre", fault.action, fault.subject)
        elif fault.action == "apply":
            await self._apply()
        elif fault.action == "reclaim":
            await self._fleet.reclaim(fault.subject)
        elif process is None:
            raise RuntimeError(f"no process {fault.subject}")
        elif fault.action == "planned-stop":
            await self._planned_stop(fault.subject)
        elif fault.subject in self._stopping:
            return
        elif fault.action == "kill":
            process.kill()
        elif fault.action == "start":
            if not process.is_running:
                process.start()
        elif fault.action == "suspend":
            process.send_signal(signal.SIGSTOP)
        elif fault.action == "continue":
            process.send_signal(signal.SIGCONT)

    async def _apply(self) -> None:
        revision, self._next_revision = self._next_revision, self._next_revision + 1
        path = self._fleet.operator_folder / "40-soak.ini"
        text = f"[service plan-llm]\ngap_target_ms = {70 + revision}\n"
        path.write_text(text, encoding="utf-8")
        folder = str(self._fleet.operator_folder)
        await self._fleet.run_command(
            "config", "apply", folder, "--number", str(revision)
        )

    async def _planned_stop(self, vm: str) -> None:
        process = self._fleet.processes[vm]
        if not process.is_running or vm in self._stopping:
            return
        self._stopping.add(vm)
        started_s = self._timer.now_s()
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        exit_code = await process.wait_stopped(PLANNED_STOP_TIMEOUT_S)
        self._planned_stops.append(
            (self._fleet.caller_addresses[vm], started_s, self._timer.now_s())
        )
        if exit_code != 0:
            text = f"  {vm} ended its planned stop with exit code {exit_code}"
            print(text, file=sys.stderr, flush=True)
            process.kill()
        process.start()
        self._stopping.discard(vm)

    async def _collect_runs(self) -> StandinRuns:
        generations: collections.Counter[str] = collections.Counter()
        calls: collections.Counter[str] = collections.Counter()
        for name in self._fleet.engines:
            generations.update(self._fleet.recorded_tags(name))
        for name in self._fleet.plain_services:
            calls.update(self._fleet.recorded_tags(name))
        return StandinRuns(dict(generations), dict(calls))

    def _print_report(
        self, records: list[RequestRecord], findings: SoakFindings, unsent: int
    ) -> None:
        summary = summarize(records, self._duration_s, STALL_THRESHOLD_S)
        print(format_summary(summary), file=sys.stderr)
        report = Report("soak", self._seed)
        report.add("requests sent", summary.sent, "requests")
        report.add("complete", summary.complete, "requests")
        report.add("not sent, too many running", unsent, "requests")
        report.add("stall time", summary.stall_s, "s")
        for name, quantiles in (("gap", summary.gap_ms), ("first", summary.first_ms)):
            for quantile, value in quantiles.items():
                report.add(f"{name} {quantile}", value, "ms")
        for promise, texts in (
            ("tokens lost, doubled or out of order", findings.disorder),
            ("non-repeatable calls run twice", findings.duplicate_calls),
            ("answered calls that never ran", findings.lost_calls),
            ("false not-run", findings.false_not_run),
            ("streams cut by a planned stop", findings.cut_by_planned_stop),
        ):
            report.add(promise, len(texts), "requests", "0", not texts)
            for text in texts[:MAX_PRINTED_FINDINGS]:
                print(f"VIOLATION {promise}: {text}", file=sys.stderr)
        for reason, count in findings.incomplete.most_common():
            report.add(f"incomplete: {reason}", count, "requests")
        report.print()
        path = self._fleet.folder / "soak.json"
        path.write_text(json.dumps(report.document()), encoding="utf-8")


def main(*, seed: int = 1, duration_s: float = 180.0, rate_per_s: float = 15.0) -> None:
    """Run the soak with a seed."""
    sys.exit(asyncio.run(Soak(seed, duration_s, rate_per_s).run()))


if __name__ == "__main__":
    cyclopts.run(main)
