"""Stand-ins for the platform around the real programs: targets, list, documents."""

from __future__ import annotations

import asyncio
import collections
import json
import random
from typing import Any

from bench.fault_proxy import FaultProxy
from endivesill.http1 import Exchange, HttpListener
from endivesill.timer import TimerService

__all__ = ["EVENTS", "PlatformList", "SoakTarget", "configuration", "expected_body"]

SEAL = (b"X-Endivesill-Response-Seal", b"soak")
ATTEMPT_ID = b"X-Endivesill-Request-Attempt-Id"
# Events of each stream, and the time between two.
EVENTS = 30
EVENT_PAUSE_S = 0.03
PLAIN_WORK_S = 0.01
FAILURE_SHARE = 0.03
LIST_RATE_PER_S = 40.0


def expected_body(attempt_id: str, *, is_stream: bool) -> bytes:
    """Return the whole body of the answer to a request."""
    if not is_stream:
        return f"answer to {attempt_id}".encode()
    return b"".join(_event(attempt_id, number) for number in range(1, EVENTS + 1))


def _event(attempt_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


class _Standin:
    """A listener behind a proxy of its own.

    Args:
      timer: the timer service.

    Attributes:
      proxy: the way to it, once it listens.
    """

    def __init__(self, timer: TimerService) -> None:
        self._listener = HttpListener(timer, "127.0.0.1:0", self._answer)
        self.proxy = FaultProxy("")

    async def start(self) -> None:
        """Listen, behind the proxy."""
        await self._listener.start()
        self.proxy = FaultProxy(self._listener.address)
        await self.proxy.start()

    async def stop(self) -> None:
        """End at once, with all connections."""
        await self.proxy.stop()
        await self._listener.stop()

    async def _answer(self, exchange: Exchange) -> None:
        raise NotImplementedError


class SoakTarget(_Standin):
    """One target in this process.

    Args:
      timer: the timer service.
      service: its service.
      data_centre: where it is.
      runs: counts the runs of each request, over all targets.
      source: draws the requests that fail.

    Attributes:
      identity: its name.
      is_draining: whether it is about to leave.
    """

    _count = 0

    def __init__(
        self,
        timer: TimerService,
        service: str,
        data_centre: str,
        runs: collections.Counter[str],
        source: random.Random,
    ) -> None:
        super().__init__(timer)
        SoakTarget._count += 1
        self.identity = f"{service}-{SoakTarget._count}"
        self.service = service
        self.data_centre = data_centre
        self.is_draining = False
        self._runs = runs
        self._random = source

    def row(self) -> dict[str, Any]:
        """Return its entry in the platform's list."""
        return {
            "id": self.identity,
            "service": self.service,
            "address": self.proxy.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": 16,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
        }

    async def _answer(self, exchange: Exchange) -> None:
        path = exchange.target
        if path == b"/health":
            exchange.respond(503 if self.is_draining else 200, [])
        elif path == b"/report":
            document = {"kv_used": 0, "queued_requests": 0, "state": "ready"}
            exchange.respond(200, [], json.dumps(document).encode())
        elif path.startswith(b"/kv-"):
            exchange.respond(503, [])
        else:
            await self._run(exchange)

    async def _run(self, exchange: Exchange) -> None:
        attempt = exchange.header(ATTEMPT_ID.lower()).decode()
        expected = exchange.header(b"x-endivesill-expected-instance").decode()
        name = (ATTEMPT_ID, attempt.encode())
        if expected != self.identity:
            exchange.respond(421, [name])
            return
        if exchange.header(b"kv-from"):
            exchange.respond(503, [name, (b"X-Endivesill-Not-Executed", b"1")])
            return
        self._runs[attempt] += 1
        if exchange.header(b"x-endivesill-token-counts"):
            await self._stream(exchange, attempt, name)
            return
        await asyncio.sleep(PLAIN_WORK_S)
        failed = self._random.random() < FAILURE_SHARE
        body = b"" if failed else expected_body(attempt, is_stream=False)
        exchange.respond(500 if failed else 200, [name, SEAL], body)

    async def _stream(
        self, exchange: Exchange, attempt: str, name: tuple[bytes, bytes]
    ) -> None:
        exchange.start(200, [name, SEAL, (b"Content-Type", b"text/event-stream")])
        for number in range(1, EVENTS + 1):
            if exchange.disconnected.is_set():
                return
            exchange.send(_event(attempt, number))
            await asyncio.sleep(EVENT_PAUSE_S)
        exchange.finish()


class PlatformList(_Standin):
    """The platform's list of targets.

    Args:
      timer: the timer service.
      targets: those that are listed; the caller changes the list.
    """

    def __init__(self, timer: TimerService, targets: list[SoakTarget]) -> None:
        super().__init__(timer)
        self._targets = targets

    async def _answer(self, exchange: Exchange) -> None:
        rows = [target.row() for target in self._targets]
        document = {"instances": rows, "next": None}
        exchange.respond(200, [], json.dumps(document).encode())


def configuration(version: int) -> dict[str, Any]:
    """Return one version of the configuration; each has a route of its own."""
    kinds = (("unsafe", "app", 1), ("safe", "app", 2), ("streaming", "llm", 1))
    routes = [
        {
            "name": kind,
            "host": "soak.example",
            "path_prefix": f"/{kind}/",
            "kind": kind,
            "timeout_ms": 5_000,
            "target_latency_ms": 1_000,
            "priority": 1,
            "service": service,
            "max_attempts": attempts,
            "public": False,
        }
        for kind, service, attempts in kinds
    ]
    routes.append({**routes[1], "name": f"v{version}", "path_prefix": f"/v{version}/"})
    engine = {"slots": 16, "kv_capacity_tokens": 100_000, "stride": 1}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "app", "health_path": "/health", "max_connections": 100},
            {
                "name": "llm",
                "health_path": "/health",
                "max_connections": 100,
                "engine": engine,
            },
        ],
        "tenants": [{"name": "owners", "api_keys": ["key-1"]}],
    }
