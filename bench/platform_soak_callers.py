"""Callers and operator of the platform soak; they record the responses they get."""

from __future__ import annotations

import asyncio
import json
import random
import uuid
from typing import Any

import attrs

from bench.platform_soak_fleet import READY_PORT, SoakFleet
from bench.platform_soak_targets import configuration, expected_body
from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError, encode_head
from endivesill.timer import TimerService

__all__ = ["CallRecord", "Callers", "Operator", "call_entry", "encode_request"]

ROUTE_KINDS = ("unsafe", "safe", "streaming")
CALLERS = 12
CALL_PAUSE_S = 0.08
DEADLINE_S = 5.0
CALL_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 1.0
READINESS_PERIOD_S = 0.5
CHANGE_PERIOD_S = 1.2
MAX_CHANGE_ATTEMPTS = 10
OPERATOR_TIMEOUT_S = 1.0


@attrs.define
class CallRecord:
    """One attempt of a caller.

    Attributes:
      attempt_id: its id, unique in the run.
      kind: the kind of its route.
      entry: name of the entry that it was sent to.
      sent_s: when it was sent.
      ended_s: when its response was complete or had failed; 0 before.
      status: status of the response; 0 without a complete one.
      is_correct: whether the response is sealed and its body the expected one.
      head_status: status of the head of the response, also of one that breaks off.
    """

    attempt_id: str
    kind: str
    entry: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_correct: bool = False
    head_status: int = 0


class Callers:
    """Closed-loop callers on persistent connections, one request each at a time.

    Args:
      timer: the timer service.
      fleet: the fleet whose entries are called.
      seed: seed of the choice of entries, routes and attempt ids; the ids of two groups
        of callers differ if their seeds do.

    Attributes:
      records: all attempts, in order of sending.
      ready_entries: names of the entries that report ready.
    """

    def __init__(self, timer: TimerService, fleet: SoakFleet, seed: int | str) -> None:
        self._timer = timer
        self._fleet = fleet
        self._random = random.Random(seed)
        self.ready_entries = set(fleet.entry_proxies)
        self.records: list[CallRecord] = []

    async def run(self) -> None:
        """Call until cancelled."""
        await asyncio.gather(
            self.watch_readiness(), *(self._call_repeatedly() for _ in range(CALLERS))
        )

    async def watch_readiness(self) -> None:
        """Track which entries report ready; new connections go only to those."""
        pool = ConnectionPool(self._timer, CONNECT_TIMEOUT_S, 0.0)
        while True:
            for process in self._fleet.with_role("entry"):
                request = encode_request("GET", "/readiness", [], b"")
                exchange = pool.exchange(f"{process.ip}:{READY_PORT}", request)
                try:
                    head, _ = await self._timer.wait_for(exchange, READINESS_PERIOD_S)
                    is_ready = head.status == 200
                except (UpstreamError, errors.DeadlineExceededError):
                    is_ready = False
                (self.ready_entries.add if is_ready else self.ready_entries.discard)(
                    process.name
                )
            await self._timer.sleep(READINESS_PERIOD_S)

    async def _call_repeatedly(self) -> None:
        pool = ConnectionPool(self._timer, CONNECT_TIMEOUT_S, 10.0)
        entry = self._random.choice(sorted(self._fleet.entry_proxies))
        while True:
            if entry not in self.ready_entries and self.ready_entries:
                entry = self._random.choice(sorted(self.ready_entries))
            record = CallRecord(
                uuid.UUID(int=self._random.getrandbits(128)).hex,
                self._random.choice(ROUTE_KINDS),
                entry,
                self._timer.now_s(),
            )
            self.records.append(record)
            proxy = self._fleet.entry_proxies[entry]
            try:
                await self._timer.wait_for(
                    call_entry(pool, proxy.address, record, DEADLINE_S),
                    CALL_TIMEOUT_S,
                )
            except (UpstreamError, errors.DeadlineExceededError):
                # No complete response: the record keeps status 0.
                pool.close_idle(proxy.address)
            record.ended_s = self._timer.now_s()
            await self._timer.sleep(CALL_PAUSE_S)


async def call_entry(
    pool: ConnectionPool, address: str, record: CallRecord, deadline_s: float
) -> None:
    """Send a request to an entry and record its response.

    Args:
      pool: connections to entries.
      address: HOST:PORT of the entry, or of the proxy before it.
      record: the attempt; updated.
      deadline_s: time in which the caller wants the response.

    Raises:
      UpstreamError: there is no complete response.
    """
    is_stream = record.kind == "streaming"
    headers = [
        ("X-Endivesill-Request-Attempt-Id", record.attempt_id),
        ("X-Endivesill-Deadline-Remaining", str(round(1_000 * deadline_s))),
        ("Api-Key", "key-1"),
    ]
    if is_stream:
        headers.append(("X-Endivesill-Token-Counts", "100,60"))
        headers.append(("X-Endivesill-Prompt-Prefix", "5c:80,91:20"))
    method = "GET" if record.kind == "safe" else "POST"
    body = b"" if method == "GET" else b"order"
    request = encode_request(method, f"/{record.kind}/x", headers, body)
    head, response_body = await pool.exchange(address, request)
    record.status = head.status
    expected = expected_body(record.attempt_id, is_stream=is_stream)
    is_sealed = bool(head.header(b"x-endivesill-response-seal"))
    record.is_correct = is_sealed and response_body == expected


class Operator:
    """An operator that replaces the configuration and retries until acknowledged.

    Args:
      timer: the timer service.
      fleet: the fleet whose control VMs are called.
      seed: seed of the choice of control VMs and versions.
      features: further fields of the model engines in the configuration.

    Attributes:
      sent: the documents sent, by version.
      acknowledged: the highest version that was acknowledged; 0 for none.
      first_acknowledged: set once a version was acknowledged.
    """

    def __init__(
        self, timer: TimerService, fleet: SoakFleet, seed: int, **features: bool
    ) -> None:
        self._timer = timer
        self._fleet = fleet
        self._features = features
        self._random = random.Random(seed)
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, 0.0)
        self.sent: dict[int, dict[str, Any]] = {}
        self.acknowledged = 0
        self.first_acknowledged = asyncio.Event()

    async def run(self) -> None:
        """Change the configuration until cancelled."""
        version = 1
        while True:
            self.sent[version] = configuration(version, **self._features)
            if await self._send(version):
                self.acknowledged = max(self.acknowledged, version)
                self.first_acknowledged.set()
            version += self._random.randint(1, 3)
            await self._timer.sleep(CHANGE_PERIOD_S)

    async def _send(self, version: int) -> bool:
        body = json.dumps(self.sent[version]).encode()
        request = encode_request("POST", "/Configuration.Replace", [], body)
        for _ in range(MAX_CHANGE_ATTEMPTS):
            response = await self._exchange(request)
            if response is not None and response[0] == 200:
                return True
            await self._timer.sleep(0.2)
        return False

    async def read(self) -> dict[str, Any] | None:
        """Return the committed configuration from one control VM; None on failure."""
        response = await self._exchange(
            encode_request("GET", "/Configuration.Get", [], b"")
        )
        if response is None or response[0] != 200:
            return None
        return json.loads(response[1])

    async def _exchange(self, request: bytes) -> tuple[int, bytes] | None:
        proxy = self._random.choice(list(self._fleet.control_proxies.values()))
        exchange = self._pool.exchange(proxy.address, request)
        try:
            head, body = await self._timer.wait_for(exchange, OPERATOR_TIMEOUT_S)
        except (UpstreamError, errors.DeadlineExceededError):
            return None
        return head.status, body


def encode_request(
    method: str, path: str, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return a request to a route of the soak."""
    lines = [("Host", "soak.example"), *headers]
    if body:
        lines.append(("Content-Length", str(len(body))))
    pairs = [(name.encode(), value.encode()) for name, value in lines]
    return encode_head(f"{method} {path} HTTP/1.1".encode(), pairs) + body
