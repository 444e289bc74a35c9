"""Roll-outs of good and bad versions under faults, and their check.

Operators move the services one after another to new versions, whose targets start
beside the old ones. What counts is what targets and operators see: requests that a bad
version gets, when it gets the last ones, orders that are lost, and requests that are
cut off when old targets stop.
"""

from __future__ import annotations

import asyncio
import collections
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

from bench.fault_proxy import CutKind
from bench.platform_soak_callers import Callers, encode_request
from bench.platform_soak_faults import STANDARD, Fault
from bench.platform_soak_fleet import DATA_CENTRES, SoakFleet
from bench.platform_soak_profile import Profile, register
from bench.platform_soak_rollout_targets import (
    DURATION_S,
    ROLLOUT_BOUNDS,
    STRETCH_S,
    RolloutRecord,
    RolloutTarget,
)
from bench.platform_soak_targets import PlatformTargetList, SoakTarget
from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.timer import TimerService

__all__ = ["RolloutOperators", "RolloutProfile"]

START_DELAY_S = 0.5
DRAIN_S = 2.0
PAUSE_S = 1.0
POLL_S = 0.3
CALL_TIMEOUT_S = 1.0
# An order that is not acknowledged by then is given up.
ORDER_TIMEOUT_S = 12.0
# The operator asks this long after the end of the budget for the outcome.
OUTCOME_TIMEOUT_S = 20.0
KINDS = ("good", "failing", "slow")
# One seed in so many has an evacuation, and one in so many twice the load from the
# middle on.
EVACUATION_SEEDS = 3
BURST_SEEDS = 4
# A data centre is out for longer than its targets may get requests after the order.
EVACUATION_S = 5.0
EVACUATED_S = EVACUATION_S + STRETCH_S + 3.0
CUT_S = 4.0


class RolloutOperators:
    """An operator for each service, with the targets that the platform starts.

    Args:
      timer: the timer service.
      seed: seed of the versions.
      targets: the listed targets; shared with the platform's list.
    """

    def __init__(
        self, timer: TimerService, seed: int, targets: list[SoakTarget]
    ) -> None:
        self._timer = timer
        self._random = random.Random(f"{seed} roll-outs")
        self._targets = targets
        self._pool = ConnectionPool(timer, CALL_TIMEOUT_S, 0.0)
        self._started: list[RolloutTarget] = []
        self._findings: list[str] = []
        self._run_counts: collections.Counter[str] = collections.Counter()
        self.until_s = float("inf")
        self.records: list[RolloutRecord] = []

    def use_counts(self, run_counts: collections.Counter[str]) -> None:
        """Set the counts that started targets add to."""
        self._run_counts = run_counts

    async def run(self, fleet: SoakFleet) -> None:
        """Order roll-outs until the end."""
        await asyncio.gather(
            self._operate(fleet, "app"),
            self._operate(fleet, "llm"),
        )

    async def stop(self) -> None:
        """Stop the targets that were started."""
        for target in self._started:
            await target.stop()

    async def evacuate(self, fleet: SoakFleet) -> None:
        """Empty a data centre, check that its targets get no requests, and undo it."""
        name = self._random.choice(DATA_CENTRES)
        await self._timer.sleep(self._random.uniform(PAUSE_S, DURATION_S / 2))
        if await self._send(fleet, f"/Evacuation.Start/{name}"):
            acknowledged_s = self._timer.now_s()
            await self._timer.sleep(EVACUATED_S)
            late = sum(
                isinstance(target, RolloutTarget)
                and target.data_centre == name
                and target.last_request_s > acknowledged_s + EVACUATION_S + STRETCH_S
                for target in self._targets
            )
            if late:
                self._findings.append(f"{late} targets of {name} got requests")
        await self._send(fleet, f"/Evacuation.End/{name}")

    async def _operate(self, fleet: SoakFleet, service: str) -> None:
        number = 1
        await self._timer.sleep(PAUSE_S)
        while self._timer.now_s() + DURATION_S < self.until_s:
            number += 1
            kind = self._random.choice(KINDS)
            now_s = self._timer.now_s()
            record = RolloutRecord(service, f"v{number}", kind, now_s)
            self.records.append(record)
            old = [t for t in self._of(service) if isinstance(t, RolloutTarget)]
            for target in old:
                target.record, target.is_new = record, False
            if await self._order(fleet, record):
                await self._play(fleet, record, old)
            await self._timer.sleep(PAUSE_S)

    async def _play(
        self, fleet: SoakFleet, record: RolloutRecord, old: list[RolloutTarget]
    ) -> None:
        """Start the new targets, wait for the outcome, and stop one of the versions."""
        await self._timer.sleep(START_DELAY_S)
        new = [await self._start_target(record, name) for name in DATA_CENTRES]
        end_s = record.ordered_s + DURATION_S + OUTCOME_TIMEOUT_S
        while self._timer.now_s() < end_s and record.state in ("", "running"):
            await self._timer.sleep(POLL_S)
            await self._read(fleet, record)
        if record.state == "completed":
            record.cut = sum(target.running for target in old)
            await self._remove(old)
            return
        for target in new:
            target.is_draining = True
        await self._timer.sleep(DRAIN_S)
        await self._remove(new)

    async def _start_target(
        self, record: RolloutRecord, data_centre: str
    ) -> RolloutTarget:
        target = RolloutTarget(
            self._timer, record.service, data_centre, self._run_counts, self._random
        )
        target.version, target.record, target.is_new = record.version, record, True
        await target.start()
        self._started.append(target)
        self._targets.append(target)
        return target

    async def _remove(self, targets: list[RolloutTarget]) -> None:
        for target in targets:
            if target in self._targets:
                self._targets.remove(target)
            await target.stop()

    def _of(self, service: str) -> list[SoakTarget]:
        return [t for t in self._targets if t.service == service]

    # Calls.

    async def _order(self, fleet: SoakFleet, record: RolloutRecord) -> bool:
        """Send the order until it is acknowledged; return False if it is given up."""
        document = {
            "service": record.service,
            "target": record.version,
            "duration_s": DURATION_S,
        }
        body = json.dumps(document).encode()
        record.is_acknowledged = await self._send(fleet, "/Rollouts.Start", body)
        return record.is_acknowledged

    async def _send(self, fleet: SoakFleet, path: str, body: bytes = b"") -> bool:
        """Send an order until it is acknowledged; return False if it is given up."""
        request = encode_request("POST", path, [], body)

        async def is_acknowledged() -> bool:
            status, _ = await self._call(fleet, request)
            return status == 200

        return await self._retry(is_acknowledged, ORDER_TIMEOUT_S)

    async def _read(self, fleet: SoakFleet, record: RolloutRecord) -> None:
        request = encode_request("GET", f"/Rollouts.Get/{record.service}", [], b"")
        status, body = await self._call(fleet, request)
        if status == 200:
            document = json.loads(body)
            is_kept = document["target"] == record.version
            record.state = document["state"] if is_kept else "lost"
        elif status == 404:
            record.state = "lost"

    async def _retry(
        self, attempt: Callable[[], Awaitable[bool]], timeout_s: float
    ) -> bool:
        give_up_s = self._timer.now_s() + timeout_s
        while self._timer.now_s() < give_up_s:
            if await attempt():
                return True
            await self._timer.sleep(POLL_S)
        return False

    async def _call(self, fleet: SoakFleet, request: bytes) -> tuple[int, bytes]:
        """Return the status and body of a control VM's answer; 0 without one."""
        proxy = self._random.choice(list(fleet.control_proxies.values()))
        exchange = self._pool.exchange(proxy.address, request)
        try:
            head, body = await self._timer.wait_for(exchange, CALL_TIMEOUT_S)
        except (UpstreamError, errors.DeadlineExceededError):
            return 0, b""
        return head.status, body

    def check(self, is_faultless: bool) -> tuple[list[str], dict[str, Any]]:
        """Return the violations and counts for the report."""
        findings = [f for r in self.records for f in r.findings(is_faultless)]
        findings += self._findings
        findings += [
            f"the roll-out of {r.service} to {r.version} was lost"
            for r in self.records
            if r.state == "lost"
        ]
        outcomes = collections.Counter(
            f"{r.kind} {r.state or 'unknown'}" for r in self.records
        )
        exposed = {
            r.service + " " + r.version: len(r.new_requests_s) for r in self.records
        }
        return findings, {"rollouts": dict(outcomes), "exposed": exposed}


@register
class RolloutProfile(Profile):
    """Roll-outs of good and bad versions; odd seeds have faults.

    Some seeds have an evacuation, and some twice the load from the middle on.
    """

    name = "rollouts"
    faults_of = STANDARD
    further_bounds = ROLLOUT_BOUNDS

    def __init__(self, timer: TimerService, seed: int) -> None:
        super().__init__(timer, seed)
        self._operators: RolloutOperators | None = None

    def make_faults(self, duration_s: float) -> list[Fault]:
        """Return the faults in order of time."""
        self.load_s = duration_s
        assert self._operators is not None
        self._operators.until_s = self._timer.now_s() + duration_s
        if not self._seed % 2:
            return []
        rng = random.Random(f"{self._seed} cut")
        cut = Fault(
            rng.uniform(0.0, duration_s),
            "cut_entry",
            f"entry-{rng.choice(DATA_CENTRES)}",
            CUT_S,
            CutKind.ONE_WAY.value,
            "all",
        )
        return sorted([*super().make_faults(duration_s), cut])

    def make_target(
        self,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
    ) -> SoakTarget:
        """Return a target of the first version."""
        assert self._operators is not None
        self._operators.use_counts(run_counts)
        return RolloutTarget(self._timer, service, data_centre, run_counts, rng)

    def make_target_list(self, targets: list[SoakTarget]) -> PlatformTargetList:
        """Return the platform's list of targets, which is not started."""
        self._operators = RolloutOperators(self._timer, self._seed, targets)
        return super().make_target_list(targets)

    async def run(self, fleet: SoakFleet) -> None:
        """Order roll-outs until the end."""
        assert self._operators is not None
        jobs = [self._operators.run(fleet)]
        if not self._seed % EVACUATION_SEEDS:
            jobs.append(self._operators.evacuate(fleet))
        if not self._seed % BURST_SEEDS:
            jobs.append(self._burst(fleet))
        await asyncio.gather(*jobs)

    async def _burst(self, fleet: SoakFleet) -> None:
        """Add as many callers as there are, from the middle of the load on."""
        await self._timer.sleep(self.load_s / 2)
        callers = Callers(self._timer, fleet, f"{self._seed} burst")
        self.records = callers.records
        await callers.run()

    async def stop(self) -> None:
        """Stop the targets that were started."""
        assert self._operators is not None
        await self._operators.stop()

    def check(self) -> list[str]:
        """Return what broke the bounds on exposure, and lost orders."""
        assert self._operators is not None
        findings, self.figures = self._operators.check(not self._seed % 2)
        return findings
