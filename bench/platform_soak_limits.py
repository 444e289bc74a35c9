"""Plain targets that limit the rate of requests, their callers, and the check."""

from __future__ import annotations

import asyncio
import collections
import random
from typing import Any

import attrs

from bench.platform_soak_callers import Callers, CallRecord, encode_request
from bench.platform_soak_fleet import FRONT_PORT, SoakFleet
from bench.platform_soak_targets import SoakTarget, expected_body
from endivesill import errors
from endivesill.http1 import ConnectionPool, Exchange, UpstreamError
from endivesill.timer import TimerService

__all__ = ["LimitCallers", "LimitRecords", "LimitedTarget"]

LIMITS_PER_S = (0.5, 1.0, 2.4, 6.0, 20.0)
# Shortest and longest time until a target names its first limit, and another or none.
FIRST_LIMIT_S = (4.0, 6.0)
LIMIT_PERIOD_S = (7.0, 12.0)
FREE_FRACTION = 0.25
CALLERS = 24
CALL_PAUSE_S = 0.02
DEADLINE_S = 2.0
CONNECT_TIMEOUT_S = 0.5
# Time from the first response with a limit until it must hold.
LIMIT_HOLDS_AFTER_S = 3.0
WINDOW_S = 4.0
MAX_RATIO = 1.5
MAX_EXTRA = 5


@attrs.define
class LimitPeriod:
    """A time in which a target names one limit.

    Attributes:
      target: identity of the target.
      per_s: the limit.
      arrivals_s: when requests came after its first response with it.
    """

    target: str
    per_s: float
    arrivals_s: list[float] = attrs.field(factory=list)

    def most_in_window(self) -> int:
        """Return the most requests in a window once the limit must hold."""
        from_s = self.arrivals_s[0] + LIMIT_HOLDS_AFTER_S if self.arrivals_s else 0.0
        times_s = [time_s for time_s in self.arrivals_s if time_s >= from_s]
        most = start = 0
        for end, time_s in enumerate(times_s):
            while times_s[start] < time_s - WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most


class LimitRecords:
    """What targets saw while they named a limit.

    Attributes:
      periods: the times in which targets named a limit.
      until_s: from then on, targets name none; all requests must be served again.
    """

    def __init__(self) -> None:
        self.periods: list[LimitPeriod] = []
        self.until_s = float("inf")

    def check(self) -> tuple[list[str], dict[str, Any]]:
        """Return the periods in which a limit was broken, and counts."""
        findings = []
        arrivals = 0
        for period in self.periods:
            most = period.most_in_window()
            arrivals += len(period.arrivals_s)
            allowed = MAX_RATIO * period.per_s * WINDOW_S + MAX_EXTRA
            if most > allowed:
                findings.append(
                    f"{period.target} takes {period.per_s} requests a second and got "
                    f"{most} in {WINDOW_S} s; {allowed:.1f} allowed"
                )
        return findings, {"limits": len(self.periods), "limited_arrivals": arrivals}


class LimitedTarget(SoakTarget):
    """A plain target that names a limit for some time, then another one or none.

    Args:
      timer: the timer service.
      service: name of its service; others than `app` name no limit.
      data_centre: name of its data centre.
      run_counts: how often each attempt id ran, over all targets; updated here.
      rng: draws the requests that fail, and the limits.
      records: what the targets saw; updated here.
    """

    def __init__(
        self,
        timer: TimerService,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
        records: LimitRecords,
    ) -> None:
        super().__init__(timer, service, data_centre, run_counts, rng)
        self._records = records
        self._limit_rng = random.Random(f"{rng.random()} {self.identity}")
        self._period: LimitPeriod | None = None
        self._next_change_s = timer.now_s() + self._limit_rng.uniform(*FIRST_LIMIT_S)

    async def _run(self, exchange: Exchange) -> None:
        if self.service == "app":
            self._update_limit()
        expected = exchange.header(b"x-endivesill-expected-instance").decode()
        if self._period is not None and expected == self.identity:
            self._period.arrivals_s.append(self._timer.now_s())
        await super()._run(exchange)

    def _update_limit(self) -> None:
        now_s = self._timer.now_s()
        if now_s < min(self._next_change_s, self._records.until_s):
            return
        self._next_change_s = now_s + self._limit_rng.uniform(*LIMIT_PERIOD_S)
        self._period = None
        self.plain_headers = []
        is_free = self._limit_rng.random() < FREE_FRACTION
        if not is_free and now_s < self._records.until_s:
            per_s = self._limit_rng.choice(LIMITS_PER_S)
            self._period = LimitPeriod(self.identity, per_s)
            self._records.periods.append(self._period)
            self.plain_headers = [(b"Server-Limit", b"%.1f" % per_s)]


class LimitCallers:
    """Callers of plain requests, many more than the limits allow.

    Args:
      timer: the timer service.
      fleet: the fleet whose entries are called, without proxies.
      seed: seed of the choice of entries.
      records: all attempts; appended to.
    """

    def __init__(
        self,
        timer: TimerService,
        fleet: SoakFleet,
        seed: int,
        records: list[CallRecord],
    ) -> None:
        self._timer = timer
        self._fleet = fleet
        # Attempt ids must differ from those of the usual callers.
        self._random = random.Random(f"{seed} limits")
        self._records = records
        self._readiness = Callers(timer, fleet, seed)

    async def run(self) -> None:
        """Call until cancelled."""
        await asyncio.gather(
            self._readiness.watch_readiness(),
            *(self._call_repeatedly() for _ in range(CALLERS)),
        )

    async def _call_repeatedly(self) -> None:
        pool = ConnectionPool(self._timer, CONNECT_TIMEOUT_S, 10.0)
        while True:
            entries = self._readiness.ready_entries or set(self._fleet.entry_proxies)
            record = CallRecord(
                f"{self._random.getrandbits(128):032x}",
                self._random.choice(("safe", "unsafe")),
                self._random.choice(sorted(entries)),
                self._timer.now_s(),
            )
            self._records.append(record)
            address = f"{self._fleet.processes[record.entry].ip}:{FRONT_PORT}"
            try:
                call = self._call(pool, address, record)
                await self._timer.wait_for(call, DEADLINE_S + 1.0)
            except (UpstreamError, errors.DeadlineExceededError):
                # No complete response: the record keeps status 0.
                pool.close_idle(address)
            record.ended_s = self._timer.now_s()
            await self._timer.sleep(CALL_PAUSE_S)

    async def _call(
        self, pool: ConnectionPool, address: str, record: CallRecord
    ) -> None:
        headers = [
            ("X-Endivesill-Request-Attempt-Id", record.attempt_id),
            ("X-Endivesill-Deadline-Remaining", str(int(1000 * DEADLINE_S))),
            ("Api-Key", "key-1"),
        ]
        body = record.attempt_id.encode()
        request = encode_request("POST", f"/{record.kind}/x", headers, body)
        head, received = await pool.exchange(address, request)
        expected = expected_body(record.attempt_id, is_stream=False)
        is_sealed = bool(head.header(b"x-endivesill-response-seal"))
        record.is_correct = is_sealed and received == expected
        record.status = record.head_status = head.status
