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

import attrs

from bench.platform_soak_callers import encode_request
from bench.platform_soak_faults import STANDARD, Fault
from bench.platform_soak_fleet import DATA_CENTRES, SoakFleet
from bench.platform_soak_profile import Profile, register
from bench.platform_soak_targets import SEAL, PlatformTargetList, SoakTarget
from endivesill import errors
from endivesill.http1 import ConnectionPool, Exchange, UpstreamError
from endivesill.timer import TimerService

__all__ = ["RolloutOperators", "RolloutProfile", "RolloutRecord", "RolloutTarget"]

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
ROLLOUT_BOUNDS = f"""
exposure_share = {EXPOSURE_SHARE}
exposure_slack = {EXPOSURE_SLACK}
rollback_ms = {round(1_000 * ROLLBACK_S)}
"""
# How much longer a version may be used while the control VMs are disturbed.
STRETCH_S = 6.0
DURATION_S = 12.0
START_DELAY_S = 0.5
DRAIN_S = 2.0
PAUSE_S = 1.0
POLL_S = 0.3
CALL_TIMEOUT_S = 1.0
# An order that is not acknowledged by then is given up.
ORDER_TIMEOUT_S = 12.0
# The operator asks this long after the end of the budget for the outcome.
OUTCOME_TIMEOUT_S = 20.0
BAD_FRACTION = 0.5
SLOW_S = 0.4
KINDS = ("good", "failing", "slow")


@attrs.define
class RolloutRecord:
    """One roll-out as the operator and the targets saw it.

    Attributes:
      service: the service.
      version: the version that it is moved to.
      kind: whether the version is good, and how it is bad.
      ordered_s: when the order was sent first.
      requests_s: when each request reached a target of the service.
      new_requests_s: when each request reached a target of the version.
      bad_s: when each bad answer was given.
      is_acknowledged: whether the order was acknowledged.
      state: the last state that was read.
      cut: requests that ran on old targets when they were stopped.
    """

    service: str
    version: str
    kind: str
    ordered_s: float
    requests_s: list[float] = attrs.Factory(list)
    new_requests_s: list[float] = attrs.Factory(list)
    bad_s: list[float] = attrs.Factory(list)
    is_acknowledged: bool = False
    state: str = ""
    cut: int = 0

    def findings(self, is_faultless: bool) -> list[str]:
        """Return the violations; some bounds only hold without faults."""
        name = f"{self.kind} version {self.version} of {self.service}"
        found = []
        if self.kind != "good":
            end_s = self.ordered_s + DURATION_S
            exposed = sum(time_s <= end_s for time_s in self.new_requests_s)
            requests = sum(
                self.ordered_s <= time_s <= end_s for time_s in self.requests_s
            )
            if exposed > EXPOSURE_SHARE * requests + EXPOSURE_SLACK:
                found.append(f"{name}: {exposed} of {requests} requests")
            found += self._late_finding(name)
            if is_faultless and self.is_acknowledged and self.state == "completed":
                found.append(f"{name} was completed")
        elif is_faultless and self.state != "completed":
            found.append(f"{name}: {self.state or 'never started'}")
        if is_faultless and self.cut:
            found.append(f"{name}: {self.cut} requests were cut off")
        return found

    def _late_finding(self, name: str) -> list[str]:
        if len(self.bad_s) < BAD_ANSWERS:
            return []
        limit_s = self.bad_s[BAD_ANSWERS - 1] + ROLLBACK_S + STRETCH_S
        late = sum(time_s > limit_s for time_s in self.new_requests_s)
        return [f"{name}: {late} requests long after it was known"] if late else []


class RolloutTarget(SoakTarget):
    """A target of a version.

    Attributes:
      version: its version.
      record: the roll-out that its requests count for; None before the first.
      is_new: whether it is of the version that the roll-out moves to.
      running: requests that run.
    """

    version = "v1"
    is_new = False
    record: RolloutRecord | None = None
    running = 0

    def list_entry(self) -> dict[str, Any]:
        """Return its entry in the platform's target list."""
        return {**super().list_entry(), "version": self.version}

    async def _run(self, exchange: Exchange) -> None:
        self.running += 1
        try:
            if not await self._is_bad(exchange):
                await super()._run(exchange)
        finally:
            self.running -= 1

    async def _is_bad(self, exchange: Exchange) -> bool:
        """Record a request; return whether it was answered badly."""
        record = self.record
        expected = exchange.header(b"x-endivesill-expected-instance").decode()
        if record is None or expected != self.identity:
            return False
        now_s = self._timer.now_s()
        record.requests_s.append(now_s)
        if not self.is_new:
            return False
        record.new_requests_s.append(now_s)
        if record.kind == "good" or self._random.random() >= BAD_FRACTION:
            return False
        record.bad_s.append(now_s)
        if record.kind == "slow":
            await asyncio.sleep(SLOW_S)
            return False
        attempt = exchange.header(b"x-endivesill-request-attempt-id")
        self._run_counts[attempt.decode()] += 1
        exchange.respond(500, [(b"X-Endivesill-Request-Attempt-Id", attempt), SEAL])
        return True


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
        request = encode_request("POST", "/Rollouts.Start", [], body)

        async def is_acknowledged() -> bool:
            status, _ = await self._call(fleet, request)
            return status == 200

        record.is_acknowledged = await self._retry(is_acknowledged, ORDER_TIMEOUT_S)
        return record.is_acknowledged

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
    """Roll-outs of good and bad versions; odd seeds have faults."""

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
        return super().make_faults(duration_s) if self._seed % 2 else []

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
        await self._operators.run(fleet)

    async def stop(self) -> None:
        """Stop the targets that were started."""
        assert self._operators is not None
        await self._operators.stop()

    def check(self) -> list[str]:
        """Return what broke the bounds on exposure, and lost orders."""
        assert self._operators is not None
        findings, self.figures = self._operators.check(not self._seed % 2)
        return findings
