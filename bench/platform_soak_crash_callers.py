"""Callers of targets that crash on a part of prompts or on a request."""

from __future__ import annotations

import asyncio
import random
import uuid

from bench.platform_soak_callers import Callers, CallRecord, encode_request
from bench.platform_soak_crashes import FIRST_WAVE_S, CrashRecords, Wave
from bench.platform_soak_fleet import FRONT_PORT, SoakFleet
from bench.platform_soak_targets import expected_body
from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.timer import TimerService

__all__ = ["CrashCallers"]

FIRST_PART = "5c"
OTHER_PARTS = ("a1", "a2", "a3", "a4", "a5", "a6")
SOUND_CALLERS = 10
SOUND_PAUSE_S = 0.08
DEADLINE_S = 3.0
CONNECT_TIMEOUT_S = 0.5
# A second part comes in runs whose faults take so long, in half of the seeds.
SECOND_WAVE_FAULT_S = 16.0
FIRST_WAVE_FRACTION = 0.7
WAVE_GAP_S = 3.0
CRASH_CALL_PAUSE_S = (0.1, 0.3)
CALLER_RETRIES = 2


class CrashCallers:
    """Callers, most of whose requests crash no target.

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
        prefix, body = self._make_content(wave.part)
        for _ in range(1 + self._random.randrange(CALLER_RETRIES + 1)):
            wave.last_sent_s = self._timer.now_s()
            wave.sent_s.append(wave.last_sent_s)
            record = self._make_record()
            await self._call(pool, record, prefix, body)
            if record.status == 200:
                return
            await self._timer.sleep(SOUND_PAUSE_S)

    async def _call_repeatedly(self) -> None:
        pool = ConnectionPool(self._timer, CONNECT_TIMEOUT_S, 10.0)
        while True:
            record = self._make_record()
            self._crashes.sound.append(record)
            await self._call(pool, record, *self._make_content(""))
            await self._timer.sleep(SOUND_PAUSE_S)

    def _make_record(self) -> CallRecord:
        entries = self._readiness.ready_entries or set(self._fleet.entry_proxies)
        entry = self._random.choice(sorted(entries))
        attempt = uuid.UUID(int=self._random.getrandbits(128)).hex
        kind = "safe" if self._crashes.is_plain else "streaming"
        record = CallRecord(attempt, kind, entry, self._timer.now_s())
        self._records.append(record)
        return record

    def _make_content(self, part: str) -> tuple[str, bytes]:
        """Return the prompt, empty for a plain request, and the body."""
        if not self._crashes.is_plain:
            return self._make_prefix(part), b"order"
        sound = self._random.choice(("order", f"{self._random.getrandbits(64):x}"))
        return "", (part or sound).encode()

    def _make_prefix(self, part: str) -> str:
        """Return a prompt of shared parts, a part if given, and a new last part."""
        others = self._random.sample(OTHER_PARTS, self._random.randint(1, 2))
        if part:
            others.insert(self._random.randint(0, len(others)), part)
        last = f"{self._random.getrandbits(32) | 2**31:x}"
        return ",".join(f"{name}:20" for name in (FIRST_PART, *others, last))

    async def _call(
        self, pool: ConnectionPool, record: CallRecord, prefix: str, body: bytes
    ) -> None:
        address = f"{self._fleet.processes[record.entry].ip}:{FRONT_PORT}"
        try:
            exchange = self._exchange(pool, address, record, prefix, body)
            await self._timer.wait_for(exchange, DEADLINE_S + 1.0)
        except (UpstreamError, errors.DeadlineExceededError):
            # No complete response: the record keeps status 0.
            pool.close_idle(address)
        record.ended_s = self._timer.now_s()

    async def _exchange(
        self,
        pool: ConnectionPool,
        address: str,
        record: CallRecord,
        prefix: str,
        body: bytes,
    ) -> None:
        headers = [
            ("X-Endivesill-Request-Attempt-Id", record.attempt_id),
            ("X-Endivesill-Deadline-Remaining", str(int(1000 * DEADLINE_S))),
            ("Api-Key", "key-1"),
        ]
        if prefix:
            headers.append(("X-Endivesill-Token-Counts", "100,60"))
            headers.append(("X-Endivesill-Prompt-Prefix", prefix))
        request = encode_request("POST", f"/{record.kind}/x", headers, body)
        connection = await pool.acquire(address, 0)
        try:
            connection.send(request)
            head = await connection.head()
            record.head_status = head.status
            received = await connection.read_all()
            is_sealed = bool(head.header(b"x-endivesill-response-seal"))
            expected = expected_body(record.attempt_id, is_stream=bool(prefix))
            record.is_correct = is_sealed and received == expected
            record.status = head.status
        finally:
            pool.release(connection)
