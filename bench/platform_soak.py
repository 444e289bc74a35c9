"""The soak of the platform's programs: real processes under faults from outside.

    python -m bench.platform_soak [--seed N] [--seeds COUNT] [--fault-s S] [--jobs J]

It starts three control VMs and three entries, calls them, changes the configuration,
injects the faults of the seed, and checks what callers, operators and targets have
seen. It ends only processes that it has started. Logs stay in run/platform-soak.
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
from bench.platform_soak_targets import PlatformList, SoakTarget
from endivesill.timer import SystemTimer

__all__ = ["Soak", "main"]

RUN_FOLDER = pathlib.Path("run/platform-soak")
FAULT_S = 20.0
START_LIMIT_S = 20.0
# After the last fault has ended; calls are judged in its second half.
QUIET_S = 14.0
SETTLE_S = 7.0
SERVED_SHARE = 0.75
READ_LIMIT_S = 8.0
# Numbers of the fleets of runs by hand; tests take those beyond.
FIRST_NUMBER = 256
SEED_NUMBERS = 20_000
# What a run may take besides its faults, from the start to the last check.
RUN_MARGIN_S = 90.0
# A second control VM is not harmed for this long after one has lost its disk: the
# lost one has to be replaced first.
REPAIR_S = 8.0
PROMISED_NOT_RUN = (408, 421, 429, 503)
DENIALS = (401, 403, 404)


class Soak:
    """One run.

    Args:
      seed: of the load and of the faults.
      fault_s: how long faults begin.
      number: tells fleets on one machine apart.
    """

    def __init__(self, seed: int, fault_s: float, number: int = FIRST_NUMBER) -> None:
        self._seed = seed
        self._fault_s = fault_s
        self._timer = SystemTimer()
        self._random = random.Random(seed)
        self._runs: collections.Counter[str] = collections.Counter()
        self._targets: list[SoakTarget] = []
        self._all_targets: list[SoakTarget] = []
        self._list = PlatformList(self._timer, self._targets)
        self._folder = RUN_FOLDER / f"seed-{seed}-{number}"
        self._number = number
        self._tasks: set[asyncio.Task[None]] = set()
        self._spared_until_s = 0.0
        self.skipped = 0
        self.findings: list[str] = []

    async def run(self) -> dict[str, Any]:
        """Run it; return its figures and findings."""
        await self._list.start()
        for service in ("app", "llm"):
            for data_centre in DATA_CENTRES:
                await self._add_target(service, data_centre)
        fleet = self._fleet = SoakFleet(
            self._folder, self._number, self._list.proxy.address
        )
        operator = Operator(self._timer, fleet, self._seed)
        try:
            await fleet.start()
            callers = Callers(self._timer, fleet, self._seed)
            operating = asyncio.ensure_future(operator.run())
            await self._wait_for_service(operator)
            calling = asyncio.ensure_future(callers.run())
            faults = make_faults(self._seed, self._fault_s)
            await self._inject(faults)
            operating.cancel()
            quiet_s = self._timer.now_s()
            await self._timer.sleep(QUIET_S)
            await self._check_configuration(operator)
            calling.cancel()
            await asyncio.gather(calling, operating, return_exceptions=True)
        finally:
            await fleet.stop()
            for target in self._all_targets:
                await target.stop()
            await self._list.stop()
        self._check_records(callers.records, quiet_s)
        return self._report(callers.records, faults)

    async def _add_target(self, service: str, data_centre: str) -> None:
        target = SoakTarget(self._timer, service, data_centre, self._runs, self._random)
        await target.start()
        self._targets.append(target)
        self._all_targets.append(target)

    async def _wait_for_service(self, operator: Operator) -> None:
        limit_s = self._timer.now_s() + START_LIMIT_S
        while not operator.acknowledged:
            if self._timer.now_s() > limit_s:
                raise TimeoutError("the programs did not come up")
            await self._timer.sleep(0.2)
        await self._timer.sleep(1.0)

    # Faults.

    async def _inject(self, faults: list[Fault]) -> None:
        began_s = self._timer.now_s()
        for fault in faults:
            await self._timer.sleep(began_s + fault.at_s - self._timer.now_s())
            task = asyncio.ensure_future(getattr(self, f"_{fault.action}")(fault))
            self._tasks.add(task)
        await asyncio.gather(*self._tasks)

    def _process(self, fault: Fault) -> SoakProcess | None:
        """Return the process of a fault, unless it is down or to be spared."""
        process = self._fleet.processes[fault.subject]
        spared = process.role == "control" and (
            self._timer.now_s() < self._spared_until_s
        )
        if process.process is None or process.paused or spared:
            self.skipped += 1
            return None
        return process

    async def _kill(self, fault: Fault) -> None:
        process = self._process(fault)
        if process is not None:
            process.kill()
            await self._timer.sleep(fault.for_s)
            self._fleet.launch(process)

    async def _pause(self, fault: Fault) -> None:
        process = self._process(fault)
        if process is not None:
            process.paused = True
            process.signal(signal.SIGSTOP)
            await self._timer.sleep(fault.for_s)
            process.signal(signal.SIGCONT)
            process.paused = False

    async def _stop(self, fault: Fault) -> None:
        process = self._process(fault)
        if process is None or process.process is None:
            return
        running = process.process
        process.signal(signal.SIGTERM)
        # Others leave it alone meanwhile.
        process.paused = True
        limit_s = self._timer.now_s() + GRACE_S
        while running.poll() is None and self._timer.now_s() < limit_s:
            await self._timer.sleep(0.05)
        process.kill()
        await self._timer.sleep(fault.for_s)
        self._fleet.launch(process)

    async def _wipe(self, fault: Fault) -> None:
        process = self._process(fault)
        controls = self._fleet.of_role("control")
        if process is None or any(c.process is None or c.paused for c in controls):
            self.skipped += 1
            return
        self._spared_until_s = self._timer.now_s() + fault.for_s + REPAIR_S
        process.kill()
        process.wipe()
        await self._timer.sleep(fault.for_s)
        self._fleet.launch(process)

    async def _fail_disk(self, fault: Fault) -> None:
        process = self._process(fault)
        if process is not None:
            process.limit_files(0)
            process.paused = True
            await self._timer.sleep(fault.for_s)
            process.kill()
            self._fleet.launch(process)

    async def _kill_all_controls(self, fault: Fault) -> None:
        if self._timer.now_s() < self._spared_until_s:
            self.skipped += 1
            return
        down = [c for c in self._fleet.of_role("control") if not c.paused]
        for process in down:
            process.kill()
        await self._timer.sleep(fault.for_s)
        for process in down:
            if process.process is None:
                self._fleet.launch(process)

    async def _harm(self, proxy: FaultProxy, fault: Fault) -> None:
        proxy.set(LinkState(fault.link))
        await self._timer.sleep(fault.for_s)
        proxy.set(LinkState.OPEN)

    async def _harm_front(self, fault: Fault) -> None:
        await self._harm(self._fleet.fronts[fault.subject], fault)

    async def _harm_operators(self, fault: Fault) -> None:
        await self._harm(self._fleet.operators[fault.subject], fault)

    async def _harm_list(self, fault: Fault) -> None:
        await self._harm(self._list.proxy, fault)

    def _target(self, fault: Fault) -> SoakTarget:
        return self._targets[int(fault.subject) % len(self._targets)]

    async def _harm_target(self, fault: Fault) -> None:
        await self._harm(self._target(fault).proxy, fault)

    async def _crash_target(self, fault: Fault) -> None:
        target = self._target(fault)
        await target.stop()
        await self._replace(target, fault.for_s)

    async def _drain_target(self, fault: Fault) -> None:
        target = self._target(fault)
        target.is_draining = True
        await self._timer.sleep(fault.for_s)
        await target.stop()
        await self._replace(target, 0.0)

    async def _replace(self, target: SoakTarget, listed_s: float) -> None:
        """Take a target off the list after a time, and add another one."""
        await self._timer.sleep(listed_s)
        if target in self._targets:
            self._targets.remove(target)
            await self._add_target(target.service, target.data_centre)

    # Checks.

    async def _check_configuration(self, operator: Operator) -> None:
        """Check that what was acknowledged is there, as it was sent."""
        limit_s = self._timer.now_s() + READ_LIMIT_S
        document = await operator.read()
        while document is None and self._timer.now_s() < limit_s:
            await self._timer.sleep(0.2)
            document = await operator.read()
        if document is None:
            self.findings.append("no control VM reads the configuration back")
            return
        version = document["version"]
        if version < operator.acknowledged:
            self.findings.append(
                f"version {version} is read back, {operator.acknowledged} was "
                "acknowledged"
            )
        if document != operator.sent.get(version):
            self.findings.append(f"version {version} is not as it was sent")

    def _check_records(self, records: list[CallRecord], quiet_s: float) -> None:
        for record in records:
            self._check_record(record, self._runs[record.attempt_id])
        settled_s = quiet_s + SETTLE_S
        late = [r for r in records if r.sent_s > settled_s and r.ended_s]
        served = sum(record.status == 200 for record in late)
        if served < SERVED_SHARE * len(late) or not late:
            self.findings.append(
                f"{served} of {len(late)} requests served after the last fault"
            )

    def _check_record(self, record: CallRecord, runs: int) -> None:
        name = f"{record.kind} {record.attempt_id}"
        if record.kind != "safe" and runs > 1:
            self.findings.append(f"{name} ran {runs} times")
        if record.status in PROMISED_NOT_RUN and record.kind != "safe" and runs:
            self.findings.append(f"{name} was answered {record.status} and ran")
        if record.status == 200 and not record.is_right:
            self.findings.append(f"{name} got an answer that is not its own")
        if record.status in DENIALS:
            self.findings.append(f"{name} was denied with {record.status}")

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

    A run that does not come to its end is a finding too.
    """
    soak = Soak(seed, fault_s, number)

    async def limited() -> dict[str, Any]:
        async with asyncio.timeout(fault_s + RUN_MARGIN_S):
            return await soak.run()

    try:
        return asyncio.run(limited())
    except Exception as error:
        traceback.print_exc()
        return {"seed": seed, "findings": [*soak.findings, repr(error)]}


app = cyclopts.App(help=__doc__)


@app.default
def main(
    *, seed: int = 1, seeds: int = 1, fault_s: float = FAULT_S, jobs: int = 1
) -> int:
    """Run seeds and print a report of each as a line of JSON.

    Args:
      seed: the first seed.
      seeds: how many seeds, one after the other from the first.
      fault_s: how long faults begin.
      jobs: how many fleets run at a time.
    """
    found = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        jobs_of = [
            pool.submit(run_seed, one, fault_s, FIRST_NUMBER + one % SEED_NUMBERS)
            for one in range(seed, seed + seeds)
        ]
        for job in jobs_of:
            report = job.result()
            found += bool(report["findings"])
            print(json.dumps(report), flush=True)
    print(f"{seeds} seeds, {found} with findings", file=sys.stderr)
    return 1 if found else 0


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(app())
