"""The soak: a small fleet of real daemons under load and a schedule of faults.

`python -m bench.soak --seed N` starts every process itself, kills, suspends,
stops and restarts them by the seed's schedule, and checks every token, every
booking and every refusal against what the stand-ins ran. It exits with 0 only
if no promise was seen broken.
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
PLANNED_STOP_LIMIT_S = 60.0
DRAIN_S = 60.0
STALL_THRESHOLD_S = 1.0
SHOWN_FINDINGS = 10
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
      duration_s: how long load is sent.
      rate_per_s: requests a second.
    """

    def __init__(self, seed: int, duration_s: float, rate_per_s: float) -> None:
        self._seed = seed
        self._duration_s = duration_s
        self._timer = SystemTimer()
        plan = FleetPlan(vms=6, control=5, engines=6, plains=3)
        self._fleet = Fleet(plan, RUN_FOLDER / f"seed-{seed}")
        text = EXPERIMENT.format(
            addresses=" ".join(self._fleet.caller.values()),
            duration_s=duration_s,
            drain_s=DRAIN_S,
            rate_per_s=rate_per_s,
            seed=seed,
            key=CALLER_KEY,
        )
        self._experiment = parse_experiment(text, "soak")
        self._stops: list[tuple[str, float, float]] = []
        self._busy: set[str] = set()
        self._next_number = 2
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> int:
        """Run the soak; return the exit code."""
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
            runs = await self._runs()
        finally:
            fleet.stop()
        findings = check_soak(records, runs, self._seed, NON_REPEATABLE, self._stops)
        self._print(records, findings, runner.unsent)
        return 1 if findings.violations else 0

    async def _inject(self, schedule: list[Fault]) -> None:
        start_s = self._timer.now_s()
        for fault in schedule:
            wait_s = start_s + fault.at_s - self._timer.now_s()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            text = f"{fault.at_s:7.1f} s {fault.action} {fault.subject}"
            print(text, file=sys.stderr, flush=True)
            task = asyncio.ensure_future(self._act(fault))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _act(self, fault: Fault) -> None:
        try:
            await self._do(fault)
        except RuntimeError as error:
            print(f"  {fault.action}: {error}", file=sys.stderr, flush=True)

    async def _do(self, fault: Fault) -> None:
        process = self._fleet.processes.get(fault.subject)
        if fault.action in ("take-out", "put-back"):
            await self._fleet.command("data-centre", fault.action, fault.subject)
        elif fault.action == "apply":
            await self._apply()
        elif fault.action == "reclaim":
            await self._fleet.reclaim(fault.subject)
        elif process is None:
            raise RuntimeError(f"no process {fault.subject}")
        elif fault.action == "planned-stop":
            await self._planned_stop(fault.subject)
        elif fault.subject in self._busy:
            return
        elif fault.action == "kill":
            process.kill()
        elif fault.action == "start":
            if not process.running:
                process.start()
        elif fault.action == "suspend":
            process.send(signal.SIGSTOP)
        elif fault.action == "continue":
            process.send(signal.SIGCONT)

    async def _apply(self) -> None:
        number, self._next_number = self._next_number, self._next_number + 1
        path = self._fleet.operator_folder / "40-soak.ini"
        text = f"[service plan-llm]\ngap_target_ms = {70 + number}\n"
        path.write_text(text, encoding="utf-8")
        folder = str(self._fleet.operator_folder)
        await self._fleet.command("config", "apply", folder, "--number", str(number))

    async def _planned_stop(self, vm: str) -> None:
        process = self._fleet.processes[vm]
        if not process.running or vm in self._busy:
            return
        self._busy.add(vm)
        begin_s = self._timer.now_s()
        process.send(signal.SIGCONT)
        process.send(signal.SIGTERM)
        exit_code = await process.stopped(PLANNED_STOP_LIMIT_S)
        self._stops.append((self._fleet.caller[vm], begin_s, self._timer.now_s()))
        if exit_code != 0:
            text = f"  {vm} ended its planned stop with {exit_code}"
            print(text, file=sys.stderr, flush=True)
            process.kill()
        process.start()
        self._busy.discard(vm)

    async def _runs(self) -> StandinRuns:
        generations: collections.Counter[str] = collections.Counter()
        calls: collections.Counter[str] = collections.Counter()
        for name in self._fleet.engines:
            generations.update(self._fleet.recorded(name))
        for name in self._fleet.plains:
            calls.update(self._fleet.recorded(name))
        return StandinRuns(dict(generations), dict(calls))

    def _print(
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
        for promise, found in (
            ("tokens lost, doubled or out of order", findings.disorder),
            ("non-repeatable calls run twice", findings.doubled_calls),
            ("answered calls that never ran", findings.lost_calls),
            ("false not-run", findings.false_not_run),
            ("streams cut by a planned stop", findings.cut_by_planned_stop),
        ):
            report.add(promise, len(found), "requests", "0", not found)
            for text in found[:SHOWN_FINDINGS]:
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
