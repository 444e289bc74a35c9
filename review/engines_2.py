"""Stand-ins of engines, as PROTOCOL.md describes them.

Each has an address of its own. `runs` records what was worked on, for the checks.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import Any

from fleet_2 import ATTEMPT_ID, SEAL, Fleet, Record, Request, response, serve

MOVE_S = 0.1
# An answer that remains unread for so long is cut off.
UNREAD_S = 5.0


class Run:
    """One run of one attempt at one engine."""

    def __init__(self, engine: str, attempt: str, resumed_from: str) -> None:
        self.engine, self.attempt, self.resumed_from = engine, attempt, resumed_from
        self.started_s = self.worked_s = time.monotonic()
        self.events = 0
        self.is_stopped = False
        self.channel: Any = None
        # Address of the engine that gets a live copy.
        self.backup = ""


class Engine:
    """An engine; its attributes may be changed at any time.

    Attributes:
      state: `ready` or `draining`, as the list, the report and the health check say.
      leaves_s: monotonic time at which it ends; None if that is not known.
      drops: whether it drops a request when its channel closes. Most do.
      event_s: time between two events of a stream.
      is_held: whether no stream makes an event for the moment.
      plain_s: how long a plain request runs.
      spoils_every: it spoils every so many of its answers to plain requests; 0 for
        none.
    """

    PAGES = ((200, b"It works!"), (503, b"Service Unavailable"))
    _numbers = itertools.count(1)

    def __init__(
        self, fleet: Fleet, record: Record, service: str, zone: str, slots: int
    ) -> None:
        self.record, self.service, self.zone, self.slots = record, service, zone, slots
        self.identity = f"i-{next(Engine._numbers):08x}"
        self.host = fleet.address()
        self.address = f"{self.host}:8080"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.leaves_s: float | None = None
        self.drops = True
        self.event_s = 0.05
        self.is_held = False
        self.plain_s = 0.02
        self.spoils_every = 0
        self._answers = 0
        self.runs: list[Run] = []
        self.running: dict[str, Run] = {}
        # By handle: the attempt, and what it had made.
        self.copies: dict[str, tuple[str, int]] = {}
        self.tokens = 0
        self._handles = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None
        self.has_ended = False
        self.fleet = fleet
        # Channels that have gone silent: nothing passes, and no end is seen.
        self.silent: dict[Any, float] = {}
        self._silencing: set[Any] = set()
        self.channels: dict[Any, str] = {}
        self.peers: dict[str, Engine] = {}

    async def start(self) -> None:
        """Start to serve."""
        self.server = await serve(self._handle, self.host, 8080)

    async def _hang(self) -> None:
        await asyncio.get_running_loop().create_future()

    def stream_channels(self, host: str) -> list[Any]:
        """Return the channels from a host on which a stream is answered."""
        return [
            run.channel
            for run in self.running.values()
            if self.channels.get(run.channel) == host
        ]

    def silence(self, channel: Any) -> None:
        """Let a channel go silent for good, right after its next event.

        New channels work.
        """
        self._silencing.add(channel)

    def end(self) -> None:
        """End the process: no run goes on, and connections are refused."""
        self.has_ended = True
        if self.server is not None:
            self.server.close()
        self.record.note(f"{self.identity} has ended")

    def row(self) -> dict[str, Any]:
        """Return its entry in the list."""
        return {
            "id": self.identity,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born,
        }

    async def _handle(self, request: Request, reader: Any, writer: Any) -> bool:
        if self.has_ended:
            writer.transport.abort()
            return False
        if writer in self.silent:
            await self._hang()
        path = request.target
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(response(status, {"X-Endivesill-Instance-Id": self.identity}))
        elif path == "/report":
            writer.write(response(200, {}, json.dumps(self._report()).encode()))
        elif path == "/kv-move":
            await self._move(json.loads(request.body), writer)
        elif path.startswith("/kv-handle/"):
            handle = path.rpartition("/")[2]
            for engine in self.peers.values():
                engine.copies.pop(f"{self.address}/{handle}", None)
            writer.write(response(200, {}))
        else:
            return await self._run(request, reader, writer)
        return True

    def _report(self) -> dict[str, Any]:
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued_requests": 0,
            "running_requests": len(self.running),
            "kv_used": self.tokens,
            "kv_total": 34325,
            "handles": len(self.copies),
            "pinned": 0,
            "held": 0,
            "state": self.state,
            "next": 0,
            "runs": [[r.attempt, 0, r.events, 5] for r in self.running.values()],
            "born": self.born,
        }
        if self.leaves_s is not None:
            left_s = max(0.0, self.leaves_s - time.monotonic())
            report["leaves_ms"] = int(1000 * left_s)
        return report

    async def _move(self, order: dict[str, Any], writer: Any) -> None:
        run = self.running.get(order["id"])
        destination = self.peers.get(order["target"])
        if run is None or destination is None:
            writer.write(response(404 if run is None else 503, {}))
            return
        if order.get("last"):
            run.is_stopped = True
        await asyncio.sleep(MOVE_S)
        handle = f"h{next(self._handles)}"
        destination.copies[f"{self.address}/{handle}"] = (run.attempt, run.events)
        self.record.note(
            f"{self.identity}: /kv-move of {run.attempt} to {destination.identity}, "
            f"last {bool(order.get('last'))}: {handle}, {run.events} events made"
        )
        body = json.dumps({"handle": handle, "made": run.events}).encode()
        writer.write(response(200, {}, body))

    async def _run(self, request: Request, reader: Any, writer: Any) -> bool:
        headers = request.headers
        attempt = headers.get(ATTEMPT_ID.lower(), "")
        answered = {ATTEMPT_ID: attempt}
        refused = {**answered, "X-Endivesill-Not-Executed": "1"}
        if headers.get("x-endivesill-expected-instance") not in (None, self.identity):
            writer.write(response(421, answered))
            return True
        if not attempt:
            writer.write(response(400, refused))
            return True
        source = headers.get("kv-from", "")
        if source:
            copy = self.copies.pop(source, None)
            if copy is None:
                copy = self._backup(source)
            if copy is None or copy[0] != attempt:
                writer.write(response(503, refused))
                return True
        run = Run(self.identity, attempt, source)
        run.backup = headers.get("x-endivesill-kv-backup", "")
        run.channel = writer
        self.runs.append(run)
        self.running[attempt] = run
        self.channels[writer] = writer.get_extra_info("peername")[0]
        self.record.note(
            f"{self.identity}: runs {attempt}"
            + (
                f", from {source}, after event {headers['last-event-id']}"
                if source
                else ""
            )
            + (f", backup {run.backup}" if run.backup else "")
        )
        answered[SEAL] = f"seal.{self.identity}"
        if "x-endivesill-token-counts" in headers:
            first = int(headers.get("last-event-id", 0)) + 1 if source else 1
            tokens = int(headers["x-endivesill-token-counts"].split(",")[0])
            last = int(headers["x-endivesill-token-counts"].split(",")[1]) // 8
            return await self._stream(
                run, answered, first, last, tokens, reader, writer
            )
        try:
            await asyncio.sleep(self.plain_s)
            run.worked_s = time.monotonic()
        finally:
            self.running.pop(attempt, None)
        self._answers += 1
        if self.spoils_every and self._answers % self.spoils_every == 0:
            # Bytes that are not a response of an engine: the pages of a web server.
            status, page = self.PAGES[self._answers // self.spoils_every % 2]
            self.record.note(f"{self.identity}: page {status} for {attempt}, which ran")
            writer.write(response(status, {"Content-Type": "text/html"}, page))
            return True
        writer.write(response(200, answered, f"answer to {attempt}".encode()))
        return True

    def _backup(self, source: str) -> tuple[str, int] | None:
        """Return the live copy of a run that this engine has, if any."""
        address, _, attempt = source.rpartition("/")
        if address != self.address:
            return None
        for engine in self.peers.values():
            for run in engine.runs:
                if run.attempt == attempt and run.backup == address:
                    return attempt, run.events
        return None

    async def _stream(
        self, run: Run, headers: dict[str, str], first: int, last: int, tokens: int,
        reader: Any, writer: Any,
    ) -> bool:  # fmt: skip
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        closed = asyncio.ensure_future(reader.read(1))
        self.tokens += tokens
        is_open = True
        try:
            await asyncio.sleep(0.2)
            for number in range(first, last + 1):
                if writer in self.silent:
                    is_open = False
                    if time.monotonic() - self.silent[writer] > UNREAD_S:
                        self.record.note(f"{self.identity}: cuts off {run.attempt}")
                        return False
                if is_open and (closed.done() or writer.transport.is_closing()):
                    is_open = False
                    self.record.note(
                        f"{self.identity}: the channel of {run.attempt} has closed; "
                        + ("dropped" if self.drops else "works on")
                    )
                    if self.drops:
                        return False
                if run.is_stopped:
                    return False
                if self.has_ended:
                    writer.transport.abort()
                    return False
                run.events, run.worked_s = number, time.monotonic()
                if is_open:
                    event = f"id: {number}\ndata: {run.attempt} {number}\n\n".encode()
                    writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                if writer in self._silencing and writer not in self.silent:
                    self.silent[writer] = time.monotonic()
                    self.record.note(
                        f"{self.identity}: the channel of {run.attempt} goes silent "
                        f"after event {number}"
                    )
                await asyncio.sleep(self.event_s)
                while self.is_held:
                    run.worked_s = time.monotonic()
                    await asyncio.sleep(0.05)
            if writer in self.silent:
                self.running.pop(run.attempt, None)
                await self._hang()
            if is_open:
                writer.write(b"0\r\n\r\n")
            return is_open
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            self.tokens -= tokens
            if self.running.get(run.attempt) is run:
                del self.running[run.attempt]
