"""Soak of the platform processes: a real fleet under injected faults.

    python -m bench.platform_soak [--seed N] [--seeds COUNT] [--fault-s S] [--jobs J]
        [--profile standard|stops|crashes|requests|limits|cuts|mass-cuts|orders|entries|
        rollouts|replacements|runs]
        [--entries N]

Starts three control VMs and three entries, or N in each data centre, sends requests and
configuration changes, injects the faults drawn from the seed, and checks what callers,
operators and targets observed. Ends only processes that it started. Logs stay in
run/platform-soak.
"""

from __future__ import annotations

import asyncio
import collections
import concurrent.futures
import contextlib
import json
import pathlib
import random
import sys
import traceback
from typing import Any

import cyclopts

from bench.platform_soak_callers import Callers, CallRecord, Operator
from bench.platform_soak_faults import STANDARD, Fault
from bench.platform_soak_fleet import DATA_CENTRES, SoakFleet
from bench.platform_soak_injector import FaultInjector
from bench.platform_soak_profiles import make_profile
from bench.platform_soak_targets import SoakTarget
from endivesill.timer import SystemTimer

__all__ = ["Soak", "main"]

RUN_FOLDER = pathlib.Path("run/platform-soak")
FAULT_PERIOD_S = 20.0
START_TIMEOUT_S = 20.0
# Load continues this long after the last fault has ended.
FAULT_FREE_S = 14.0
# Requests sent later than this after the last fault must be served again.
RECOVERY_LIMIT_S = 7.0
MIN_SERVED_FRACTION = 0.75
READ_TIMEOUT_S = 8.0
# Fleet numbers of manual runs; tests use higher ones.
FIRST_FLEET_NUMBER = 256
FLEET_NUMBERS = 20_000
# Time for a run besides its fault period, from the start to the last check.
RUN_MARGIN_S = 90.0
# These statuses promise that the request did not run.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
DENIED_STATUSES = (401, 403, 404)


class Soak:
    """One run against a fleet of its own.

    Args:
      seed: seed of the load and of the faults.
      fault_s: length of the period in which faults begin.
      number: number of the fleet, unique on the machine.
      profile: name of a profile of `platform_soak_profiles`.
      entries: entries in each data centre.

    Attributes:
      findings: violations found, one text each.
    """

    def __init__(
        self,
        seed: int,
        fault_s: float,
        number: int = FIRST_FLEET_NUMBER,
        profile: str = STANDARD,
        entries: int = 1,
    ) -> None:
        self._entries = entries
        self._seed = seed
        self._fault_s = fault_s
        self._timer = SystemTimer()
        self._random = random.Random(seed)
        self._run_counts: collections.Counter[str] = collections.Counter()
        self._targets: list[SoakTarget] = []
        self._all_targets: list[SoakTarget] = []
        self._folder = RUN_FOLDER / f"seed-{seed}-{number}"
        self._profile = make_profile(profile, self._timer, seed)
        self._target_list = self._profile.make_target_list(self._targets)
        self._number = number
        self.findings: list[str] = []

    async def run(self) -> dict[str, Any]:
        """Run the soak; return its figures and findings.

        Raises:
          TimeoutError: the fleet acknowledges no configuration change at the start.
        """
        await self._target_list.start()
        for service in ("app", "llm"):
            for data_centre in DATA_CENTRES * self._profile.targets_per_data_centre:
                await self.add_target(service, data_centre)
        fleet = self._fleet = SoakFleet(
            self._folder,
            self._number,
            self._target_list.proxy.address,
            self._profile.grace_s,
            self._entries,
            self._profile.further_bounds,
        )
        self._injector = FaultInjector(
            self._timer,
            fleet,
            self._targets,
            self._target_list,
            self,
            self._profile.cuts,
        )
        operator = Operator(
            self._timer, fleet, self._seed, **self._profile.engine_features
        )
        try:
            await fleet.start()
            callers = Callers(self._timer, fleet, self._seed)
            operator_task = asyncio.ensure_future(operator.run())
            await self._wait_until_serving(operator)
            call_task = asyncio.gather(callers.run(), self._profile.run(fleet))
            faults = self._profile.make_faults(self._fault_s)
            load_ends_s = self._timer.now_s() + self._profile.load_s
            await self._injector.inject(faults)
            await self._timer.sleep(max(0.0, load_ends_s - self._timer.now_s()))
            operator_task.cancel()
            faults_ended_s = self._timer.now_s()
            await self._timer.sleep(FAULT_FREE_S)
            await self._check_configuration(operator)
            call_task.cancel()
            await asyncio.gather(call_task, operator_task, return_exceptions=True)
        finally:
            await self._profile.stop()
            await fleet.stop()
            for target in self._all_targets:
                await target.stop()
            await self._target_list.stop()
        self._check_records(callers.records, faults_ended_s)
        return self._report(callers.records, faults)

    async def add_target(self, service: str, data_centre: str) -> None:
        """Add a target that callers reach from now on."""
        target = self._profile.make_target(
            service, data_centre, self._run_counts, self._random
        )
        await target.start()
        self._targets.append(target)
        self._all_targets.append(target)

    def note_stop(self, name: str) -> None:
        """Record that a VM gets SIGTERM now."""
        self._profile.note_stop(name)

    async def _wait_until_serving(self, operator: Operator) -> None:
        timeout_at_s = self._timer.now_s() + START_TIMEOUT_S
        while not operator.acknowledged:
            if self._timer.now_s() > timeout_at_s:
                raise TimeoutError("no configuration change acknowledged at the start")
            await self._timer.sleep(0.2)
        await self._timer.sleep(1.0)

    # Checks.

    async def _check_configuration(self, operator: Operator) -> None:
        """Check that the last acknowledged configuration or a later one is in force.

        It must equal the document that was sent with its version.
        """
        timeout_at_s = self._timer.now_s() + READ_TIMEOUT_S
        document = await operator.read()
        while document is None and self._timer.now_s() < timeout_at_s:
            await self._timer.sleep(0.2)
            document = await operator.read()
        if document is None:
            self.findings.append("no control VM returned the configuration in time")
            return
        version = document["version"]
        if version < operator.acknowledged:
            self.findings.append(
                f"version {version} was read, but {operator.acknowledged} was "
                "acknowledged"
            )
        if document != operator.sent.get(version):
            self.findings.append(f"version {version} differs from the document sent")

    def _check_records(self, records: list[CallRecord], faults_ended_s: float) -> None:
        for record in [*records, *self._profile.records]:
            self._check_record(record, self._run_counts[record.attempt_id])
        self.findings.extend(self._profile.check())
        recovered_s = faults_ended_s + RECOVERY_LIMIT_S
        after_recovery = [r for r in records if r.sent_s > recovered_s and r.ended_s]
        served = sum(record.status == 200 for record in after_recovery)
        if served < MIN_SERVED_FRACTION * len(after_recovery) or not after_recovery:
            self.findings.append(
                f"only {served} of {len(after_recovery)} requests served "
                "after the last fault"
            )

    def _check_record(self, record: CallRecord, runs: int) -> None:
        name = f"{record.kind} {record.attempt_id}"
        if record.kind != "safe" and runs > 1:
            self.findings.append(f"{name} ran {runs} times")
        if record.status in NOT_EXECUTED_STATUSES and record.kind != "safe" and runs:
            self.findings.append(f"{name} got status {record.status} although it ran")
        if record.status == 200 and not record.is_correct:
            self.findings.append(f"{name} got a wrong or unsealed response")
        if record.status in DENIED_STATUSES:
            self.findings.append(f"{name} was denied with status {record.status}")

    def _report(self, records: list[CallRecord], faults: list[Fault]) -> dict[str, Any]:
        statuses = collections.Counter(str(record.status) for record in records)
        return {
            "seed": self._seed,
            "faults": len(faults),
            "faults_skipped": self._injector.skipped,
            "replaced_controls": self._injector.replaced_controls,
            "requests": len(records),
            "statuses": dict(sorted(statuses.items())),
            **self._profile.figures,
            "findings": self.findings,
        }


def run_seed(
    seed: int, fault_s: float, number: int, profile: str, entries: int
) -> dict[str, Any]:
    """Run one seed in this process; return its report.

    A run that fails or exceeds its time limit is reported as a finding.
    """
    soak = Soak(seed, fault_s, number, profile, entries)

    async def run_with_timeout() -> dict[str, Any]:
        async with asyncio.timeout(fault_s + RUN_MARGIN_S):
            return await soak.run()

    try:
        return asyncio.run(run_with_timeout())
    except Exception as error:
        traceback.print_exc()
        return {"seed": seed, "findings": [*soak.findings, repr(error)]}


app = cyclopts.App(help=__doc__)


@app.default
def main(
    *,
    seed: int = 1,
    seeds: int = 1,
    fault_s: float = FAULT_PERIOD_S,
    jobs: int = 1,
    profile: str = STANDARD,
    entries: int = 1,
) -> int:
    """Run seeds and print a report of each as a line of JSON.

    Args:
      seed: the first seed.
      seeds: number of consecutive seeds.
      fault_s: length of the period in which faults begin, for each seed.
      jobs: number of fleets that run at a time.
      profile: the faults, callers and checks.
      entries: entries in each of the three data centres.
    """
    failed_seeds = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        run_futures = [
            pool.submit(
                run_seed,
                current_seed,
                fault_s,
                FIRST_FLEET_NUMBER + current_seed % FLEET_NUMBERS,
                profile,
                entries,
            )
            for current_seed in range(seed, seed + seeds)
        ]
        for future in run_futures:
            report = future.result()
            failed_seeds += bool(report["findings"])
            print(json.dumps(report), flush=True)
    print(f"{seeds} seeds, {failed_seeds} with findings", file=sys.stderr)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(app())
