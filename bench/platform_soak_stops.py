"""Callers that use connections to stopping entries until these have ended."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import uuid
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from bench.platform_soak_callers import CallRecord, encode_request
from bench.platform_soak_fleet import FRONT_PORT, SoakFleet, SoakProcess
from bench.platform_soak_targets import ROUTE_TIMEOUT_S, SoakTarget, expected_body
from endivesill.http1 import Exchange
from endivesill.timer import TimerService

__all__ = ["RecordingTarget", "StopCallers", "StopRecords"]

CALLERS_PER_ENTRY = 16
# Requests that are read later than this after a SIGTERM must not be given up.
STOP_LIMIT_S = 3.0
# Requests that targets have ended by this part of the grace must not be given up.
SERVING_FRACTION = 5 / 6
STOP_MARGIN_S = 1.0
CONNECT_PAUSE_S = 0.05
RESPONSE_TIMEOUT_S = 7.0
MAX_LATE_BYTE_S = 5.0
MAX_RUN_S = 4.5
MAX_PAUSE_S = 0.4
PIPELINE_LENGTH = 3
SEAL_LINE = b"\r\nx-endivesill-response-seal:"


@attrs.define
class StopRecords:
    """What targets saw, and when entries were stopped.

    Args:
      timer: the timer service.
      grace_s: time from a SIGTERM to the end of an entry.

    Attributes:
      arrived: attempts that reached a target.
      ended_s: when a target had sent the complete response, by attempt.
    """

    _timer: TimerService
    _grace_s: float
    arrived: set[str] = attrs.field(factory=set, init=False)
    ended_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _stops: list[tuple[str, float]] = attrs.field(factory=list, init=False)

    def add_stop(self, name: str) -> None:
        """Record that a VM gets SIGTERM now."""
        self._stops.append((name, self._timer.now_s()))

    def check(self, records: list[CallRecord]) -> tuple[list[str], dict[str, Any]]:
        """Return the requests that were given up, and counts for the report."""
        findings = []
        late = passed_on = 0
        for name, stopped_s in self._stops:
            until_s = stopped_s + self._grace_s + STOP_MARGIN_S
            for record in records:
                if record.entry != name or not stopped_s <= record.ended_s <= until_s:
                    continue
                is_late = record.sent_s >= stopped_s + STOP_LIMIT_S
                late += is_late
                passed_on += is_late and record.attempt_id in self.arrived
                if self._is_given_up(record, stopped_s):
                    findings.append(
                        f"{record.kind} {record.attempt_id} to {name}: sent at "
                        f"{record.sent_s - stopped_s:.2f} s and given up at "
                        f"{record.ended_s - stopped_s:.2f} s after the SIGTERM"
                    )
        return findings, {"late_requests": late, "late_passed_on": passed_on}

    def _is_given_up(self, record: CallRecord, stopped_s: float) -> bool:
        if record.status or record.attempt_id not in self.arrived:
            return False
        if record.ended_s < stopped_s + STOP_LIMIT_S:
            return False
        if record.ended_s - record.sent_s >= ROUTE_TIMEOUT_S:
            return False
        ended_s = self.ended_s.get(record.attempt_id)
        serving_ends_s = stopped_s + SERVING_FRACTION * self._grace_s
        return record.sent_s >= stopped_s + STOP_LIMIT_S or (
            ended_s is not None and ended_s < serving_ends_s
        )


class RecordingTarget(SoakTarget):
    """A target that records the attempts that reach it.

    Args:
      timer: the timer service.
      service: name of its service.
      data_centre: name of its data centre.
      run_counts: how often each attempt id ran, over all targets; updated here.
      rng: draws the requests that fail.
      records: the records; updated here.
    """

    def __init__(
        self,
        timer: TimerService,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
        records: StopRecords,
    ) -> None:
        super().__init__(timer, service, data_centre, run_counts, rng)
        self._records = records

    async def _run(self, exchange: Exchange) -> None:
        attempt = exchange.header(b"x-endivesill-request-attempt-id").decode()
        self._records.arrived.add(attempt)
        await super()._run(exchange)
        if exchange.finished and not exchange.disconnected.is_set():
            self._records.ended_s[attempt] = self._timer.now_s()


Step = Callable[["_Connection"], Coroutine[Any, Any, None]]
_STEPS: list[Step] = []


def _register(step: Step) -> Step:
    _STEPS.append(step)
    return step


class StopCallers:
    """Callers of all entries, each on one kept connection at a time.

    Args:
      timer: the timer service.
      fleet: the fleet whose entries are called, without proxies.
      seed: seed of the kinds of requests and the pauses.
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
        self._random = random.Random(f"{seed} stops")
        self._records = records

    async def run(self) -> None:
        """Call until cancelled."""
        entries = self._fleet.with_role("entry") * CALLERS_PER_ENTRY
        await asyncio.gather(*(self._call_repeatedly(entry) for entry in entries))

    async def _call_repeatedly(self, entry: SoakProcess) -> None:
        while True:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                reader, writer = await asyncio.open_connection(entry.ip, FRONT_PORT)
                connection = _Connection(
                    self._timer, entry.name, self._random, self._records, reader, writer
                )
                try:
                    await connection.use()
                finally:
                    writer.transport.abort()
            await self._timer.sleep(CONNECT_PAUSE_S)


@attrs.define(eq=False)
class _Connection:
    """A connection to an entry that is used until it ends."""

    timer: TimerService
    entry: str
    rng: random.Random
    records: list[CallRecord]
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_open: bool = True

    async def use(self) -> None:
        """Send requests until the entry closes the connection.

        Raises:
          OSError: the connection failed.
          EOFError: it ended within a response.
          TimeoutError: a response did not come.
        """
        while self.is_open:
            await self.rng.choice(_STEPS)(self)
            await self.timer.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))

    def make(self, kind: str, run_s: float) -> tuple[CallRecord, bytes]:
        """Return a new attempt and its bytes."""
        attempt = uuid.UUID(int=self.rng.getrandbits(128)).hex
        headers = [
            ("X-Endivesill-Request-Attempt-Id", attempt),
            ("X-Endivesill-Deadline-Remaining", "5000"),
            ("Api-Key", "key-1"),
        ]
        if kind == "streaming":
            headers.append(("X-Endivesill-Token-Counts", "100,60"))
            headers.append(("X-Endivesill-Prompt-Prefix", "5c:80,91:20"))
        record = CallRecord(attempt, kind, self.entry, self.timer.now_s())
        path = f"/{kind}/x?run_s={run_s:.3f}"
        return record, encode_request("POST", path, headers, b"order")

    async def receive(self, *records: CallRecord) -> None:
        """Read the responses to attempts that were sent in this order.

        Raises:
          OSError: the connection failed.
          EOFError: it ended within a response or before all.
          TimeoutError: a response did not come.
        """
        self.records.extend(records)
        try:
            for record in records:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    await self._receive_one(record)
        except (OSError, EOFError, TimeoutError):
            for record in records:
                record.ended_s = record.ended_s or self.timer.now_s()
            raise

    async def _receive_one(self, record: CallRecord) -> None:
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        record.head_status = int(head.split(b" ", 2)[1])
        body = await self._read_body(head)
        record.ended_s = self.timer.now_s()
        is_stream = record.kind == "streaming"
        record.is_correct = SEAL_LINE in head and (
            body == expected_body(record.attempt_id, is_stream=is_stream)
        )
        record.status = record.head_status
        if b"\r\nconnection: close" in head:
            self.is_open = False

    async def _read_body(self, head: bytes) -> bytes:
        if b"\r\ntransfer-encoding: chunked" not in head:
            _, _, length = head.partition(b"\r\ncontent-length:")
            return await self.reader.readexactly(int(length.split(b"\r\n")[0] or 0))
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readuntil(b"\r\n")
        return body


@_register
async def _send_short(connection: _Connection) -> None:
    kind = connection.rng.choice(("safe", "unsafe", "streaming"))
    record, request = connection.make(kind, 0.05)
    connection.writer.write(request)
    await connection.receive(record)


@_register
async def _send_long(connection: _Connection) -> None:
    kind = connection.rng.choice(("safe", "unsafe", "streaming"))
    run_s = connection.rng.uniform(0.5, MAX_RUN_S)
    record, request = connection.make(kind, run_s)
    connection.writer.write(request)
    await connection.receive(record)


@_register
async def _send_late_byte(connection: _Connection) -> None:
    kind = connection.rng.choice(("unsafe", "streaming"))
    record, request = connection.make(kind, connection.rng.uniform(0.05, 1.0))
    connection.writer.write(request[:-1])
    await connection.timer.sleep(connection.rng.uniform(0.3, MAX_LATE_BYTE_S))
    connection.writer.write(request[-1:])
    record.sent_s = connection.timer.now_s()
    await connection.receive(record)


@_register
async def _send_pipelined(connection: _Connection) -> None:
    calls = [
        connection.make(connection.rng.choice(("safe", "unsafe")), run_s)
        for run_s in (0.3, 0.6, 0.1)[:PIPELINE_LENGTH]
    ]
    connection.writer.write(b"".join(request for _, request in calls))
    await connection.receive(*(record for record, _ in calls))
