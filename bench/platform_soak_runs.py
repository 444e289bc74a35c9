"""Engines that keep runs which entries give up, and the check that none runs twice."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import json
import random
from collections.abc import Iterable
from typing import Any

import attrs

from bench.platform_soak_callers import Callers, CallRecord, call_entry
from bench.platform_soak_fleet import FRONT_PORT, SoakFleet
from bench.platform_soak_targets import (
    ATTEMPT_ID,
    EVENT_INTERVAL_S,
    EVENTS_PER_STREAM,
    SEAL,
    SoakTarget,
    event,
)
from endivesill import errors
from endivesill.http1 import ConnectionPool, Exchange, UpstreamError
from endivesill.timer import TimerService

__all__ = ["RunCallers", "RunRecords", "RunTarget", "Work"]

# Two engines may work on a run for so long, by the users' rules.
MAX_OVERLAP_S = 0.4
# A run may go on for so long after its caller has gone or has its response.
MAX_LATE_S = 1.5
# How a run goes on: to its end, its connection goes silent, or is ended.
SOUND, SILENT, BROKEN = "sound", "silent", "broken"
FATES = (SOUND,) * 7 + (SILENT, BROKEN, BROKEN)
# How long engines keep a run that is not stopped; above the deadline of callers.
KEPT_S = 10.0
# Longest copy of a run, and the orders to stop a run that are refused meanwhile.
MAX_COPY_S = 0.2
REFUSALS = (0, 0, 0, 1, 2)
# Engines without room ask for a pause of requests, at times and for a time.
FULL_PERIOD_S = (3.0, 8.0)
FULL_S = 1.0
PAUSE_S = 3
CALLERS = 12
CALL_PAUSE_S = 0.05
DEADLINE_S = 8.0
CONNECT_TIMEOUT_S = 0.5
# Callers that leave in the middle of a stream.
LEAVING_FRACTION = 0.2


@attrs.define(eq=False)
class Work:
    """The work of one engine on one run.

    Attributes:
      attempt_id: the run.
      target: identity of the engine.
      fate: how it goes on, of `FATES`.
      started_s: when it began.
      ended_s: when it ended; infinite before.
      refusals: further orders to stop it that the engine refuses.
      orders: orders to stop it that came, without the refused ones.
      is_copied: whether the engine copies it now.
      stopped: set once it has ended.
    """

    attempt_id: str
    target: str
    fate: str
    started_s: float
    ended_s: float = float("inf")
    refusals: int = 0
    orders: int = 0
    is_copied: bool = False
    stopped: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def is_stopped(self) -> bool:
        """Whether the engine has ended it."""
        return self.stopped.is_set()


@attrs.define
class RunRecords:
    """The work of all engines, and the copies of runs that they keep.

    Attributes:
      works: the work of the engines, in order of its start.
      copies: names of copies that can be resumed from.
      until_s: from then on, all runs are sound and no engine asks for a pause.
    """

    works: list[Work] = attrs.Factory(list)
    copies: set[str] = attrs.Factory(set)
    until_s: float = float("inf")

    def check(self, records: Iterable[CallRecord]) -> tuple[list[str], dict[str, Any]]:
        """Return the runs that went on where they should not, and counts."""
        findings = []
        by_attempt = collections.defaultdict(list)
        for work in self.works:
            by_attempt[work.attempt_id].append(work)
        for works in by_attempt.values():
            for before, after in itertools.pairwise(works):
                overlap_s = min(before.ended_s, after.ended_s) - after.started_s
                if overlap_s > MAX_OVERLAP_S:
                    findings.append(
                        f"{before.attempt_id} at {before.target} ({before.fate}) and "
                        f"{after.target} for {overlap_s:.2f} s"
                    )
        for record in records:
            for work in by_attempt[record.attempt_id]:
                late_s = work.ended_s - record.ended_s
                if record.ended_s and late_s > MAX_LATE_S:
                    findings.append(
                        f"{work.attempt_id} at {work.target} ({work.fate}) for "
                        f"{late_s:.2f} s after its caller had gone"
                    )
        findings += [
            f"{work.attempt_id} at {work.target} was stopped {work.orders} times"
            for work in self.works
            if work.orders > 1
        ]
        fates = collections.Counter(work.fate for work in self.works)
        resumed = sum(len(works) > 1 for works in by_attempt.values())
        return findings, {
            "runs": len(self.works),
            "silent_runs": fates[SILENT],
            "broken_runs": fates[BROKEN],
            "resumed_streams": resumed,
            "stopped_runs": sum(work.orders for work in self.works),
        }


class RunTarget(SoakTarget):
    """A target whose model engine keeps runs until it is ordered to stop them.

    Args:
      timer: the timer service.
      service: name of its service; others than `llm` are plain.
      data_centre: name of its data centre.
      run_counts: how often each attempt id ran, over all targets; updated here.
      rng: draws what becomes of runs.
      records: the work of all engines; updated here.
    """

    def __init__(
        self,
        timer: TimerService,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
        records: RunRecords,
    ) -> None:
        super().__init__(timer, service, data_centre, run_counts, rng)
        self._records = records
        self._fates = random.Random(f"{rng.random()} {self.identity}")
        self._works: dict[str, Work] = {}
        self._next_full_s = timer.now_s() + self._fates.uniform(*FULL_PERIOD_S)

    async def stop(self) -> None:
        """Stop, and end all work."""
        for work in self._works.values():
            self._end(work)
        await super().stop()

    def _end(self, work: Work) -> None:
        work.ended_s = min(work.ended_s, self._timer.now_s())
        work.stopped.set()

    def _is_full(self) -> bool:
        now_s = self._timer.now_s()
        if now_s > self._next_full_s + FULL_S:
            self._next_full_s = now_s + self._fates.uniform(*FULL_PERIOD_S)
        return self._next_full_s < now_s < self._records.until_s

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.target == b"/kv-move":
            await self._move(exchange, json.loads(exchange.body))
        elif exchange.target.startswith(b"/kv-handle/"):
            handle = exchange.target.rpartition(b"/")[2].decode()
            self._records.copies.discard(f"{self.proxy.address}/{handle}")
            exchange.respond(200, [])
        else:
            await super()._handle(exchange)

    async def _move(self, exchange: Exchange, order: dict[str, Any]) -> None:
        work = self._works.get(order["id"])
        if work is None or work.is_stopped:
            if work is not None and work.orders and order.get("last"):
                work.orders += 1
            exchange.respond(404, [])
            return
        if work.is_copied or (order.get("last") and work.refusals):
            work.refusals = max(0, work.refusals - 1)
            exchange.respond(409, [])
            return
        if order.get("last"):
            work.orders += 1
            self._end(work)
        work.is_copied = True
        await asyncio.sleep(self._fates.uniform(0.0, MAX_COPY_S))
        work.is_copied = False
        handle = f"h-{work.attempt_id}"
        self._records.copies.add(f"{self.proxy.address}/{handle}")
        body = json.dumps({"handle": handle, "made": 1}).encode()
        exchange.respond(200, [], body)

    async def _run(self, exchange: Exchange) -> None:
        is_stream = bool(exchange.header(b"x-endivesill-token-counts"))
        expected = exchange.header(b"x-endivesill-expected-instance").decode()
        if not is_stream or expected != self.identity:
            await super()._run(exchange)
            return
        attempt = exchange.header(ATTEMPT_ID.lower())
        source = exchange.header(b"kv-from").decode()
        headers = [(ATTEMPT_ID, attempt), (b"X-Endivesill-Not-Executed", b"1")]
        if source and source not in self._records.copies:
            exchange.respond(503, headers)
        elif not source and self._is_full():
            exchange.respond(503, [*headers, (b"Retry-After", b"%d" % PAUSE_S)])
        else:
            self._records.copies.discard(source)
            backup = exchange.header(b"x-endivesill-kv-backup").decode()
            if backup:
                self._records.copies.add(f"{backup}/{attempt.decode()}")
            first = int(exchange.header(b"last-event-id") or 0) + 1
            if not source:
                self._run_counts[attempt.decode()] += 1
            await self._work_on(exchange, attempt, first)

    async def _work_on(self, exchange: Exchange, attempt: bytes, first: int) -> None:
        now_s = self._timer.now_s()
        is_sound = first > 1 or now_s > self._records.until_s
        fate = SOUND if is_sound else self._fates.choice(FATES)
        refusals = self._fates.choice(REFUSALS)
        work = Work(attempt.decode(), self.identity, fate, now_s, refusals=refusals)
        self._records.works.append(work)
        self._works[work.attempt_id] = work
        last = EVENTS_PER_STREAM
        if fate != SOUND:
            last = self._fates.randint(2, EVENTS_PER_STREAM - 1)
        exchange.start(
            200, [(ATTEMPT_ID, attempt), SEAL, (b"Content-Type", b"text/event-stream")]
        )
        for number in range(first, last + 1):
            if work.is_stopped or exchange.disconnected.is_set():
                break
            exchange.send(event(work.attempt_id, number))
            await asyncio.sleep(EVENT_INTERVAL_S)
        else:
            if fate == SOUND:
                self._end(work)
                exchange.finish()
                return
        if fate == BROKEN:
            exchange.abort()
        with contextlib.suppress(errors.DeadlineExceededError):
            await self._timer.wait_for(work.stopped.wait(), KEPT_S)
        self._end(work)
        exchange.abort()


class RunCallers:
    """Callers of streams, some of whom leave.

    Args:
      timer: the timer service.
      fleet: the fleet whose entries are called, without proxies.
      seed: seed of the choice of entries, and of who leaves when.
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
        self._random = random.Random(f"{seed} runs")
        self._records = records
        self._readiness = Callers(timer, fleet, f"{seed} readiness")

    async def run(self) -> None:
        """Call until cancelled."""
        await asyncio.gather(
            self._readiness.watch_readiness(),
            *(self._call_repeatedly() for _ in range(CALLERS)),
        )

    async def _call_repeatedly(self) -> None:
        while True:
            entries = self._readiness.ready_entries or set(self._fleet.entry_proxies)
            record = CallRecord(
                f"{self._random.getrandbits(128):032x}",
                "streaming",
                self._random.choice(sorted(entries)),
                self._timer.now_s(),
            )
            self._records.append(record)
            address = f"{self._fleet.processes[record.entry].ip}:{FRONT_PORT}"
            patience_s = DEADLINE_S + 1.0
            if self._random.random() < LEAVING_FRACTION:
                patience_s = self._random.uniform(0.1, 2.0)
            pool = ConnectionPool(self._timer, CONNECT_TIMEOUT_S, 10.0)
            try:
                call = call_entry(pool, address, record, DEADLINE_S)
                await self._timer.wait_for(call, patience_s)
            except (UpstreamError, errors.DeadlineExceededError):
                # No complete response: the record keeps status 0.
                record.status = 0
            pool.close()
            record.ended_s = self._timer.now_s()
            await self._timer.sleep(CALL_PAUSE_S)
