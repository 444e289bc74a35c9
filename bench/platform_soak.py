"""Soak of the platform processes: a real fleet under injected faults.

    python -m bench.platform_soak [--seed N] [--seeds COUNT] [--fault-s S] [--jobs J]

Starts three control VMs and three entries, sends requests and configuration changes,
injects the faults drawn from the seed, and checks what callers, operators and targets
observed. Ends only processes that it started. Logs stay in run/platform-soak.
"""

from __future__ import annotations

import asyncio
import collections
import concurrent.futures
import contextlib
import json
import pathlib
import random
import signal
import sys
import traceback
from typing import Any

import cyclopts

from bench.fault_proxy import FaultProxy, LinkState
from bench.platform_soak_callers import Callers, CallRecord, Operator
from bench.platform_soak_faults import Fault, make_faults
from bench.platform_soak_fleet import DATA_CENTRES, GRACE_S, SoakFleet, SoakProcess
from bench.platform_soak_targets import PlatformTargetList, SoakTarget
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
# Control VMs get no fault for this long after one has lost its disk: that replica
# must be replaced first.
VOTER_REPAIR_S = 8.0
# These statuses promise that the request did not run.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
DENIED_STATUSES = (401, 403, 404)


class Soak:
    """One run against a fleet of its own.

    Args:
      seed: seed of the load and of the faults.
      fault_s: length of the period in which faults begin.
      number: number of the fleet, unique on the machine.

    Attributes:
      skipped: number of faults that were not injected since their process was down,
        in another fault or under repair.
      findings: violations found, one text each.
    """

    def __init__(
        self, seed: int, fault_s: float, number: int = FIRST_FLEET_NUMBER
    ) -> None:
        self._seed = seed
        self._fault_s = fault_s
        self._timer = SystemTimer()
        self._random = random.Random(seed)
        self._run_counts: collections.Counter[str] = collections.Counter()
        self._targets: list[SoakTarget] = []
        self._all_targets: list[SoakTarget] = []
        self._target_list = PlatformTargetList(self._timer, self._targets)
        self._folder = RUN_FOLDER / f"seed-{seed}-{number}"
        self._number = number
        self._tasks: set[asyncio.Task[None]] = set()
        self._repair_until_s = 0.0
        self.skipped = 0
        self.findings: list[str] = []

    async def run(self) -> dict[str, Any]:
        """Run the soak; return its figures and findings.

        Raises:
          TimeoutError: the fleet acknowledges no configuration change at the start.
        """
        await self._target_list.start()
        for service in ("app", "llm"):
            for data_centre in DATA_CENTRES:
                await self._add_target(service, data_centre)
        fleet = self._fleet = SoakFleet(
            self._folder, self._number, self._target_list.proxy.address
        )
        operator = Operator(self._timer, fleet, self._seed)
        try:
            await fleet.start()
            callers = Callers(self._timer, fleet, self._seed)
            operator_task = asyncio.ensure_future(operator.run())
            await self._wait_until_serving(operator)
            call_task = asyncio.ensure_future(callers.run())
            faults = make_faults(self._seed, self._fault_s)
            await self._inject(faults)
            operator_task.cancel()
            faults_ended_s = self._timer.now_s()
            await self._timer.sleep(FAULT_FREE_S)
            await self._check_configuration(operator)
            call_task.cancel()
            await asyncio.gather(call_task, operator_task, return_exceptions=True)
        finally:
            await fleet.stop()
            for target in self._all_targets:
                await target.stop()
            await self._target_list.stop()
        self._check_records(callers.records, faults_ended_s)
        return self._report(callers.records, faults)

    async def _add_target(self, service: str, data_centre: str) -> None:
        target = SoakTarget(
            self._timer, service, data_centre, self._run_counts, self._random
        )
        await target.start()
        self._targets.append(target)
        self._all_targets.append(target)

    async def _wait_until_serving(self, operator: Operator) -> None:
        timeout_at_s = self._timer.now_s() + START_TIMEOUT_S
        while not operator.acknowledged:
            if self._timer.now_s() > timeout_at_s:
                raise TimeoutError("no configuration change acknowledged at the start")
            await self._timer.sleep(0.2)
        await self._timer.sleep(1.0)

    # Faults.

    async def _inject(self, faults: list[Fault]) -> None:
        started_s = self._timer.now_s()
        for fault in faults:
            await self._timer.sleep(started_s + fault.at_s - self._timer.now_s())
            task = asyncio.ensure_future(getattr(self, f"_{fault.action}")(fault))
            self._tasks.add(task)
        await asyncio.gather(*self._tasks)

    def _available_process(self, fault: Fault) -> SoakProcess | None:
        """Return the process of a fault; None, counted as skipped, if unavailable."""
        process = self._fleet.processes[fault.subject]
        is_under_repair = process.role == "control" and (
            self._timer.now_s() < self._repair_until_s
        )
        if process.process is None or process.has_active_fault or is_under_repair:
            self.skipped += 1
            return None
        return process

    async def _kill(self, fault: Fault) -> None:
        process = self._available_process(fault)
        if process is not None:
            process.kill()
            await self._timer.sleep(fault.for_s)
            self._fleet.launch(process)

    async def _pause(self, fault: Fault) -> None:
        process = self._available_process(fault)
        if process is not None:
            process.has_active_fault = True
            process.signal(signal.SIGSTOP)
            await self._timer.sleep(fault.for_s)
            process.signal(signal.SIGCONT)
            process.has_active_fault = False

    async def _stop(self, fault: Fault) -> None:
        process = self._available_process(fault)
        if process is None or process.process is None:
            return
        running = process.process
        process.signal(signal.SIGTERM)
        # Keeps other faults off the process while it stops.
        process.has_active_fault = True
        timeout_at_s = self._timer.now_s() + GRACE_S
        while running.poll() is None and self._timer.now_s() < timeout_at_s:
            await self._timer.sleep(0.05)
        process.kill()
        await self._timer.sleep(fault.for_s)
        self._fleet.launch(process)

    async def _wipe_disk(self, fault: Fault) -> None:
        process = self._available_process(fault)
        controls = self._fleet.with_role("control")
        if process is None or any(
            c.process is None or c.has_active_fault for c in controls
        ):
            self.skipped += 1
            return
        self._repair_until_s = self._timer.now_s() + fault.for_s + VOTER_REPAIR_S
        process.kill()
        process.wipe_disk()
        await self._timer.sleep(fault.for_s)
        self._fleet.launch(process)

    async def _fail_disk(self, fault: Fault) -> None:
        process = self._available_process(fault)
        if process is not None:
            process.limit_file_size(0)
            process.has_active_fault = True
            await self._timer.sleep(fault.for_s)
            process.kill()
            self._fleet.launch(process)

    async def _kill_all_controls(self, fault: Fault) -> None:
        if self._timer.now_s() < self._repair_until_s:
            self.skipped += 1
            return
        down = [c for c in self._fleet.with_role("control") if not c.has_active_fault]
        for process in down:
            process.kill()
        await self._timer.sleep(fault.for_s)
        for process in down:
            if process.process is None:
                self._fleet.launch(process)

    async def _impair(self, proxy: FaultProxy, fault: Fault) -> None:
        proxy.set(LinkState(fault.link))
        await self._timer.sleep(fault.for_s)
        proxy.set(LinkState.OPEN)

    async def _impair_entry_link(self, fault: Fault) -> None:
        await self._impair(self._fleet.entry_proxies[fault.subject], fault)

    async def _impair_control_link(self, fault: Fault) -> None:
        await self._impair(self._fleet.control_proxies[fault.subject], fault)

    async def _impair_list_link(self, fault: Fault) -> None:
        await self._impair(self._target_list.proxy, fault)

    def _target(self, fault: Fault) -> SoakTarget:
        return self._targets[int(fault.subject) % len(self._targets)]

    async def _impair_target_link(self, fault: Fault) -> None:
        await self._impair(self._target(fault).proxy, fault)

    async def _crash_target(self, fault: Fault) -> None:
        target = self._target(fault)
        await target.stop()
        await self._replace_target(target, fault.for_s)

    async def _drain_target(self, fault: Fault) -> None:
        target = self._target(fault)
        target.is_draining = True
        await self._timer.sleep(fault.for_s)
        await target.stop()
        await self._replace_target(target, 0.0)

    async def _replace_target(
        self, target: SoakTarget, delisting_delay_s: float
    ) -> None:
        """Remove a stopped target from the list after a delay, and add a new one."""
        await self._timer.sleep(delisting_delay_s)
        if target in self._targets:
            self._targets.remove(target)
            await self._add_target(target.service, target.data_centre)

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
        for record in records:
            self._check_record(record, self._run_counts[record.attempt_id])
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
            "faults_skipped": self.skipped,
            "requests": len(records),
            "statuses": dict(sorted(statuses.items())),
            "findings": self.findings,
        }


def run_seed(seed: int, fault_s: float, number: int) -> dict[str, Any]:
    """Run one seed in this process; return its report.

    A run that fails or exceeds its time limit is reported as a finding.
    """
    soak = Soak(seed, fault_s, number)

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
    *, seed: int = 1, seeds: int = 1, fault_s: float = FAULT_PERIOD_S, jobs: int = 1
) -> int:
    """Run seeds and print a report of each as a line of JSON.

    Args:
      seed: the first seed.
      seeds: number of consecutive seeds.
      fault_s: length of the period in which faults begin, for each seed.
      jobs: number of fleets that run at a time.
    """
    failed_seeds = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        run_futures = [
            pool.submit(
                run_seed,
                current_seed,
                fault_s,
                FIRST_FLEET_NUMBER + current_seed % FLEET_NUMBERS,
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
