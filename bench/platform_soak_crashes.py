"""Engines that crash on a part of prompts, their callers, and the checks."""

from __future__ import annotations

import asyncio
import collections
import random
import uuid
from typing import Any

import attrs

from bench.platform_soak_callers import Callers, CallRecord, encode_request
from bench.platform_soak_fleet import FRONT_PORT, SoakFleet
from bench.platform_soak_targets import SEAL, SoakTarget, expected_body
from endivesill import errors
from endivesill.http1 import ConnectionPool, Exchange, UpstreamError
from endivesill.timer import TimerService

__all__ = ["FIRST_WAVE_S", "CrashCallers", "CrashRecords", "CrashingTarget"]

FIRST_PART = "5c"
OTHER_PARTS = ("a1", "a2", "a3", "a4", "a5", "a6")
SOUND_CALLERS = 10
SOUND_PAUSE_S = 0.08
DEADLINE_S = 3.0
CONNECT_TIMEOUT_S = 0.5
# The first part that crashes engines comes this long after the start of the load.
FIRST_WAVE_S = 5.0
# A second part comes in runs whose faults take so long, in half of the seeds.
SECOND_WAVE_FAULT_S = 16.0
FIRST_WAVE_FRACTION = 0.7
WAVE_GAP_S = 3.0
CRASH_CALL_PAUSE_S = (0.1, 0.3)
CALLER_RETRIES = 2
MAX_CRASH_DELAY_S = 0.09
RESTART_S = 3.0
REBIND_PAUSE_S = 0.1
# Bounds after the crash with this number; that on sound streams after the last one if
# there are fewer.
COUNTED_CRASH = 5
REACH_LIMIT_S = 3.0
MAX_REACHING = 3
SOUND_LIMIT_S = 6.0
MIN_SOUND_STREAMS = 20
MIN_SOUND_RATIO = 0.5


@attrs.define
class Wave:
    """The requests with one part that crashes engines.

    Attributes:
      part: id of the part.
      crashes_s: when an engine crashed on it.
      arrivals: when a request with it reached an engine, and the attempt id.
      sent_s: when a caller sent one.
      last_sent_s: when a caller last sent one.
    """

    part: str
    crashes_s: list[float] = attrs.field(factory=list)
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    sent_s: list[float] = attrs.field(factory=list)
    last_sent_s: float = 0.0


class CrashRecords:
    """What engines saw of the parts that crash them.

    Args:
      timer: the timer service.
      seed: seed of the parts.

    Attributes:
      waves: the parts that crash engines.
      sound: the attempts without such a part.
      duration_s: length of the period in which faults begin.
    """

    def __init__(self, timer: TimerService, seed: int) -> None:
        self._timer = timer
        rng = random.Random(seed)
        self.waves = [Wave(f"{rng.randrange(2**28, 2**32):x}") for _ in range(2)]
        self.has_second_wave = rng.random() < 0.5
        self.sound: list[CallRecord] = []
        self.duration_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    def wave_of(self, prefix: str) -> Wave | None:
        """Return the wave whose part is in a prompt, but not as its last part."""
        parts = [part.partition(":")[0] for part in prefix.split(",")][:-1]
        return next((wave for wave in self.waves if wave.part in parts), None)

    def start_crash(self, target: CrashingTarget, wave: Wave) -> None:
        """Begin the crash of a target and its restart."""
        wave.crashes_s.append(self._timer.now_s())
        self._tasks.add(asyncio.ensure_future(target.crash_and_restart()))

    async def cancel_restarts(self) -> None:
        """Cancel the restarts that are pending."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def check(self) -> tuple[list[str], dict[str, Any]]:
        """Return what broke the bounds, and counts for the report."""
        findings: list[str] = []
        figures: dict[str, Any] = {}
        for number, wave in enumerate(self.waves, 1):
            name = f"part {number}"
            figures[name] = figure = {"crashes": len(wave.crashes_s)}
            if len(wave.crashes_s) >= COUNTED_CRASH:
                findings += self._check_reaching(name, wave, figure)
            if wave.crashes_s:
                findings += self._check_sound(name, wave, figure)
        return findings, figures

    def _check_reaching(
        self, name: str, wave: Wave, figure: dict[str, Any]
    ) -> list[str]:
        from_s = wave.crashes_s[COUNTED_CRASH - 1] + REACH_LIMIT_S
        late = {attempt for at_s, attempt in wave.arrivals if at_s > from_s}
        count = figure["reached"] = sum(at_s > from_s for at_s, _ in wave.arrivals)
        if count <= MAX_REACHING:
            return []
        return [
            f"{name}: {count} requests ({len(late)} attempts) reached engines later "
            f"than {REACH_LIMIT_S} s after crash {COUNTED_CRASH}"
        ]

    def _check_sound(self, name: str, wave: Wave, figure: dict[str, Any]) -> list[str]:
        first_s = min(w.crashes_s[0] for w in self.waves if w.crashes_s)
        from_s = wave.crashes_s[:COUNTED_CRASH][-1] + SOUND_LIMIT_S
        figure["sent_after"] = sum(at_s >= from_s for at_s in wave.sent_s)
        ended = [r for r in self.sound if r.ended_s]
        before = [r.head_status == 200 for r in ended if r.sent_s < first_s - 1.0]
        after = [
            r.head_status == 200
            for r in ended
            if from_s <= r.sent_s <= wave.last_sent_s
        ]
        figure["sound_before"] = [sum(before), len(before)]
        figure["sound_after"] = [sum(after), len(after)]
        if min(len(before), len(after)) < MIN_SOUND_STREAMS:
            return []
        if sum(after) * len(before) >= MIN_SOUND_RATIO * sum(before) * len(after):
            return []
        return [
            f"{name}: {sum(after)} of {len(after)} sound streams began from "
            f"{SOUND_LIMIT_S} s after crash {len(wave.crashes_s[:COUNTED_CRASH])}, "
            f"{sum(before)} of "
            f"{len(before)} before"
        ]


class CrashingTarget(SoakTarget):
    """A target that ends when it begins to write a response on a part.

    Args:
      timer: the timer service.
      service: name of its service.
      data_centre: name of its data centre.
      run_counts: how often each attempt id ran, over all targets; updated here.
      rng: draws the requests that fail and the moments of crashes.
      records: the parts and the record of crashes; updated here.
    """

    def __init__(
        self,
        timer: TimerService,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
        records: CrashRecords,
    ) -> None:
        super().__init__(timer, service, data_centre, run_counts, rng)
        self._records = records
        self._is_crashing = False
        self._born_ms = int(1000 * timer.wall_time_s())

    def list_entry(self) -> dict[str, Any]:
        """Return its entry in the platform's target list."""
        return {**super().list_entry(), "born": self._born_ms}

    def _report(self) -> dict[str, Any]:
        return {**super()._report(), "born": self._born_ms}

    async def _run(self, exchange: Exchange) -> None:
        expected = exchange.header(b"x-endivesill-expected-instance").decode()
        wave = self._records.wave_of(_prefix(exchange))
        if wave is not None and expected == self.identity:
            attempt = exchange.header(b"x-endivesill-request-attempt-id").decode()
            wave.arrivals.append((self._timer.now_s(), attempt))
        await super()._run(exchange)

    async def _stream(
        self, exchange: Exchange, attempt: str, attempt_header: tuple[bytes, bytes]
    ) -> None:
        wave = self._records.wave_of(_prefix(exchange))
        if wave is None:
            await super()._stream(exchange, attempt, attempt_header)
            return
        exchange.start(
            200, [attempt_header, SEAL, (b"Content-Type", b"text/event-stream")]
        )
        if self._random.random() < 0.5:
            exchange.send(f"id: 1\ndata: {attempt} 1\n\n".encode())
        await self._timer.sleep(self._random.uniform(0.0, MAX_CRASH_DELAY_S))
        if not self._is_crashing:
            self._is_crashing = True
            self._records.start_crash(self, wave)
        await exchange.disconnected.wait()

    async def crash_and_restart(self) -> None:
        """Reset all connections; return as another target at the same address."""
        address = self.proxy.address
        await self.stop()
        await self._timer.sleep(RESTART_S)
        SoakTarget._created += 1
        self.identity = f"{self.service}-{SoakTarget._created}"
        self._born_ms = int(1000 * self._timer.wall_time_s())
        while not await self._is_started(address):
            await self._timer.sleep(REBIND_PAUSE_S)
        self._is_crashing = False

    async def _is_started(self, address: str) -> bool:
        try:
            await self.start(address)
        except OSError:
            # Another program has the port for now.
            await self._listener.stop()
            return False
        return True


def _prefix(exchange: Exchange) -> str:
    return exchange.header(b"x-endivesill-prompt-prefix").decode()


class CrashCallers:
    """Callers of streams, most of them without a part that crashes engines.

    Args:
      timer: the timer service.
      fleet: the fleet whose entries are called, without proxies.
      seed: seed of the choice of entries and prompts.
      records: all attempts; appended to.
      crashes: the parts; the attempts without one are added.
    """

    def __init__(
        self,
        timer: TimerService,
        fleet: SoakFleet,
        seed: int,
        records: list[CallRecord],
        crashes: CrashRecords,
    ) -> None:
        self._timer = timer
        self._fleet = fleet
        # Attempt ids must differ from those of the usual callers.
        self._random = random.Random(f"{seed} crashes")
        self._records = records
        self._crashes = crashes
        self._readiness = Callers(timer, fleet, seed)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Call until cancelled."""
        try:
            await asyncio.gather(
                self._readiness.watch_readiness(),
                self._run_waves(),
                *(self._call_repeatedly() for _ in range(SOUND_CALLERS)),
            )
        finally:
            for task in self._tasks:
                task.cancel()

    async def _run_waves(self) -> None:
        await self._timer.sleep(FIRST_WAVE_S)
        first, second = self._crashes.waves
        duration_s = self._crashes.duration_s
        if not self._crashes.has_second_wave or duration_s < SECOND_WAVE_FAULT_S:
            await self._run_wave(first, float("inf"))
        await self._run_wave(first, FIRST_WAVE_FRACTION * duration_s)
        await self._timer.sleep(WAVE_GAP_S)
        await self._run_wave(second, float("inf"))

    async def _run_wave(self, wave: Wave, for_s: float) -> None:
        until_s = self._timer.now_s() + for_s
        while self._timer.now_s() < until_s:
            task = asyncio.ensure_future(self._call_with_retries(wave))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await self._timer.sleep(self._random.uniform(*CRASH_CALL_PAUSE_S))

    async def _call_with_retries(self, wave: Wave) -> None:
        pool = ConnectionPool(self._timer, CONNECT_TIMEOUT_S, 0.0)
        prefix = self._make_prefix(wave.part)
        for _ in range(1 + self._random.randrange(CALLER_RETRIES + 1)):
            wave.last_sent_s = self._timer.now_s()
            wave.sent_s.append(wave.last_sent_s)
            record = self._make_record()
            await self._call(pool, record, prefix)
            if record.status == 200:
                return
            await self._timer.sleep(SOUND_PAUSE_S)

    async def _call_repeatedly(self) -> None:
        pool = ConnectionPool(self._timer, CONNECT_TIMEOUT_S, 10.0)
        while True:
            record = self._make_record()
            self._crashes.sound.append(record)
            await self._call(pool, record, self._make_prefix(""))
            await self._timer.sleep(SOUND_PAUSE_S)

    def _make_record(self) -> CallRecord:
        entries = self._readiness.ready_entries or set(self._fleet.entry_proxies)
        entry = self._random.choice(sorted(entries))
        attempt = uuid.UUID(int=self._random.getrandbits(128)).hex
        record = CallRecord(attempt, "streaming", entry, self._timer.now_s())
        self._records.append(record)
        return record

    def _make_prefix(self, part: str) -> str:
        """Return a prompt of shared parts, a part if given, and a new last part."""
        others = self._random.sample(OTHER_PARTS, self._random.randint(1, 2))
        if part:
            others.insert(self._random.randint(0, len(others)), part)
        last = f"{self._random.getrandbits(32) | 2**31:x}"
        return ",".join(f"{name}:20" for name in (FIRST_PART, *others, last))

    async def _call(
        self, pool: ConnectionPool, record: CallRecord, prefix: str
    ) -> None:
        address = f"{self._fleet.processes[record.entry].ip}:{FRONT_PORT}"
        try:
            exchange = self._exchange(pool, address, record, prefix)
            await self._timer.wait_for(exchange, DEADLINE_S + 1.0)
        except (UpstreamError, errors.DeadlineExceededError):
            # No complete response: the record keeps status 0.
            pool.close_idle(address)
        record.ended_s = self._timer.now_s()

    async def _exchange(
        self, pool: ConnectionPool, address: str, record: CallRecord, prefix: str
    ) -> None:
        headers = [
            ("X-Endivesill-Request-Attempt-Id", record.attempt_id),
            ("X-Endivesill-Deadline-Remaining", str(int(1000 * DEADLINE_S))),
            ("Api-Key", "key-1"),
            ("X-Endivesill-Token-Counts", "100,60"),
            ("X-Endivesill-Prompt-Prefix", prefix),
        ]
        request = encode_request("POST", "/streaming/x", headers, b"order")
        connection = await pool.acquire(address, 0)
        try:
            connection.send(request)
            head = await connection.head()
            record.head_status = head.status
            body = await connection.read_all()
            is_sealed = bool(head.header(b"x-endivesill-response-seal"))
            expected = expected_body(record.attempt_id, is_stream=True)
            record.is_correct = is_sealed and body == expected
            record.status = head.status
        finally:
            pool.release(connection)
