"""Stand-ins for the platform around the real processes: targets and target list."""

from __future__ import annotations

import asyncio
import collections
import json
import random
from typing import Any

from bench.fault_proxy import FaultProxy
from endivesill.http1 import Exchange, HttpListener
from endivesill.timer import TimerService

__all__ = [
    "ATTEMPT_ID",
    "EVENTS_PER_STREAM",
    "EVENT_INTERVAL_S",
    "PlatformTargetList",
    "ROUTE_TIMEOUT_S",
    "SEAL",
    "SoakTarget",
    "configuration",
    "event",
    "expected_body",
    "list_page",
]

SEAL = (b"X-Endivesill-Response-Seal", b"soak")
ATTEMPT_ID = b"X-Endivesill-Request-Attempt-Id"
EVENTS_PER_STREAM = 30
EVENT_INTERVAL_S = 0.03
PLAIN_SERVICE_TIME_S = 0.01
# Plain requests that run and fail with status 500.
FAILURE_FRACTION = 0.03
LIST_RATE_PER_S = 40.0
# Longest time that a route lets a request take.
ROUTE_TIMEOUT_S = 5.0


def expected_body(attempt_id: str, *, is_stream: bool) -> bytes:
    """Return the complete body of a successful response to an attempt."""
    if not is_stream:
        return f"answer to {attempt_id}".encode()
    return b"".join(
        event(attempt_id, number) for number in range(1, EVENTS_PER_STREAM + 1)
    )


def event(attempt_id: str, number: int) -> bytes:
    """Return one event of the stream of an attempt."""
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


class _ProxiedListener:
    """An HTTP listener that is reached through a fault proxy.

    Args:
      timer: the timer service.

    Attributes:
      proxy: the proxy; it has an address after `start`.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._listener = HttpListener(timer, "127.0.0.1:0", self._handle)
        self.proxy = FaultProxy("")

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Start the listener and its proxy, which listens at an address.

        Raises:
          OSError: the address cannot be bound.
        """
        self._listener = HttpListener(self._timer, "127.0.0.1:0", self._handle)
        await self._listener.start()
        self.proxy = FaultProxy(self._listener.address, address)
        await self.proxy.start()

    async def stop(self) -> None:
        """Stop both, and reset all connections."""
        await self.proxy.stop()
        await self._listener.stop()

    async def _handle(self, exchange: Exchange) -> None:
        raise NotImplementedError


class SoakTarget(_ProxiedListener):
    """One target in this process.

    Args:
      timer: the timer service.
      service: name of its service.
      data_centre: name of its data centre.
      run_counts: how often each attempt id ran, over all targets; updated here.
      rng: draws the requests that fail.

    Attributes:
      identity: its id, unique in this process.
      is_draining: whether the list and the health check report it as draining.
      plain_headers: further headers of the responses to plain requests.
    """

    _created = 0

    def __init__(
        self,
        timer: TimerService,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
    ) -> None:
        super().__init__(timer)
        SoakTarget._created += 1
        self.identity = f"{service}-{SoakTarget._created}"
        self.service = service
        self.data_centre = data_centre
        self.is_draining = False
        self.plain_headers: list[tuple[bytes, bytes]] = []
        self._run_counts = run_counts
        self._random = rng

    def list_entry(self) -> dict[str, Any]:
        """Return its entry in the platform's target list."""
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

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.target
        if path == b"/health":
            exchange.respond(503 if self.is_draining else 200, [])
        elif path == b"/report":
            exchange.respond(200, [], json.dumps(self._report()).encode())
        elif path.startswith(b"/kv-"):
            exchange.respond(503, [])
        else:
            await self._run(exchange)

    def _report(self) -> dict[str, Any]:
        return {"kv_used": 0, "queued_requests": 0, "state": "ready"}

    def _service_time_s(self, exchange: Exchange, default_s: float) -> float:
        """Return how long a request runs; the query of its path may say so."""
        _, _, value = exchange.target.partition(b"?run_s=")
        return float(value) if value else default_s

    async def _run(self, exchange: Exchange) -> None:
        attempt = exchange.header(ATTEMPT_ID.lower()).decode()
        expected = exchange.header(b"x-endivesill-expected-instance").decode()
        attempt_header = (ATTEMPT_ID, attempt.encode())
        if expected != self.identity:
            exchange.respond(421, [attempt_header])
            return
        if exchange.header(b"kv-from"):
            exchange.respond(
                503, [attempt_header, (b"X-Endivesill-Not-Executed", b"1")]
            )
            return
        self._run_counts[attempt] += 1
        if exchange.header(b"x-endivesill-token-counts"):
            await self._stream(exchange, attempt, attempt_header)
            return
        await asyncio.sleep(self._service_time_s(exchange, PLAIN_SERVICE_TIME_S))
        failed = self._random.random() < FAILURE_FRACTION
        body = b"" if failed else expected_body(attempt, is_stream=False)
        # The query of the path may ask for a long body.
        _, _, length = exchange.target.partition(b"?body_bytes=")
        body = body.ljust(int(length or 0), b".")
        headers = [attempt_header, SEAL, *self.plain_headers]
        exchange.respond(500 if failed else 200, headers, body)

    async def _stream(
        self, exchange: Exchange, attempt: str, attempt_header: tuple[bytes, bytes]
    ) -> None:
        exchange.start(
            200, [attempt_header, SEAL, (b"Content-Type", b"text/event-stream")]
        )
        stream_s = EVENTS_PER_STREAM * EVENT_INTERVAL_S
        interval_s = self._service_time_s(exchange, stream_s) / EVENTS_PER_STREAM
        for number in range(1, EVENTS_PER_STREAM + 1):
            if exchange.disconnected.is_set():
                return
            exchange.send(event(attempt, number))
            await asyncio.sleep(interval_s)
        exchange.finish()


class PlatformTargetList(_ProxiedListener):
    """The platform's target list.

    Args:
      timer: the timer service.
      targets: the listed targets; shared with the caller, who changes it.
    """

    def __init__(self, timer: TimerService, targets: list[SoakTarget]) -> None:
        super().__init__(timer)
        self._targets = targets

    async def _handle(self, exchange: Exchange) -> None:
        rows = [json.dumps(target.list_entry()).encode() for target in self._targets]
        exchange.respond(200, [], list_page(rows))


def list_page(rows: list[bytes]) -> bytes:
    """Return a page of the list with encoded entries."""
    return b'{"instances":[' + b",".join(rows) + b'],"next":null}'


def configuration(version: int, **features: bool) -> dict[str, Any]:
    """Return one version of the configuration, with a route named after it.

    Args:
      version: the version.
      features: further fields of the model engines.
    """
    kinds = (("unsafe", "app", 1), ("safe", "app", 2), ("streaming", "llm", 1))
    routes = [
        {
            "name": kind,
            "host": "soak.example",
            "path_prefix": f"/{kind}/",
            "kind": kind,
            "timeout_ms": int(1_000 * ROUTE_TIMEOUT_S),
            "target_latency_ms": 1_000,
            "priority": 1,
            "service": service,
            "max_attempts": attempts,
            "public": False,
        }
        for kind, service, attempts in kinds
    ]
    routes.append({**routes[1], "name": f"v{version}", "path_prefix": f"/v{version}/"})
    engine = {"slots": 16, "kv_capacity_tokens": 100_000, "stride": 1, **features}
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
