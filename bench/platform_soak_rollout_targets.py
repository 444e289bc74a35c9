"""Targets of good and bad versions, and what they saw of a roll-out."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from bench.platform_soak_targets import SEAL, SoakTarget
from endivesill.http1 import Exchange

__all__ = [
    "DURATION_S",
    "ROLLOUT_BOUNDS",
    "STRETCH_S",
    "RolloutRecord",
    "RolloutTarget",
]

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
BAD_FRACTION = 0.5
SLOW_S = 0.4


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
      last_request_s: when the newest request reached it.
    """

    version = "v1"
    is_new = False
    record: RolloutRecord | None = None
    running = 0
    last_request_s = 0.0

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
        if expected != self.identity:
            return False
        now_s = self.last_request_s = self._timer.now_s()
        if record is None:
            return False
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
