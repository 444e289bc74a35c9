"""A stand-in on loopback for the platform's engines."""

from __future__ import annotations

import asyncio
import collections
import json

from endivesill.http1 import Exchange, HttpListener, encode_head
from endivesill.timer import SystemTimer

SEAL = (b"X-Endivesill-Response-Seal", b"1.2.3")


class StandinEngine:
    """An engine whose behaviour is set by its attributes.

    Attributes:
      statuses: statuses of the next plain responses; 200 after them.
      events: events of a stream.
      break_after: event within whose successor a stream breaks off; None for never.
      event_pause_s: time between two events.
      rejects: whether requests are rejected as not run, after `run_s`.
      sends_foreign_response: whether a response to another request comes first.
      omits_length: whether responses have no length and end with the connection.
      response_headers: further headers of all responses to requests and copy orders.
      run_s: how long plain requests run.
      is_hanging: whether requests are never answered.
      crashing_part: part of prompts, but for their last part, whose runs crash the
        engine as they begin to write; None for no part.
      crashing_body: body of requests whose runs crash the engine; None for no body.
      crash_event: number of the event after which a stream crashes the engine; 0 for
        before its first one, None for before its head.
      crashes_after_answer: whether such runs end the engine just after their response.
      resets: whether such runs reset all connections and leave the engine running.
      has_crashed: whether it has crashed; its port then refuses connections, unless it
        only resets them.
      requests: requests received, as (method, target, headers by lower-case name,
        body).
      weights: version of its weights; a request that expects another is rejected.
      ignores_last_event_id: whether its runs begin with the first event always.
      keeps_runs: whether it works on a run whose connection has closed.
      silent_after: event after which the connection of a new stream goes silent while
        the run goes on; None for never.
      stop_refusals: statuses of the next orders to stop a run, which it refuses.
      running: the runs that it works on, by attempt id; True for those to be stopped.
      copies: names of the copies that can be resumed from.
      copy_orders: bodies of the orders to copy a run.
      copy_releases: paths of the orders to release a copy.
      cancelled_requests: requests whose caller disconnected early.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.statuses: list[int] = []
        self.events = 5
        self.break_after: int | None = None
        self.event_pause_s = 0.0
        self.rejects = False
        self.sends_foreign_response = False
        self.omits_length = False
        self.response_headers: list[tuple[bytes, bytes]] = []
        self.run_s = 0.0
        self.is_hanging = False
        self.crashing_part: bytes | None = None
        self.crashing_body: bytes | None = None
        self.crash_event: int | None = 0
        self.crashes_after_answer = False
        self.resets = False
        self.has_crashed = False
        self.requests: list[tuple[str, bytes, dict[bytes, bytes], bytes]] = []
        self.keeps_runs = False
        self.silent_after: int | None = None
        self.stop_refusals: list[int] = []
        self.running: dict[str, bool] = {}
        self.weights = b"2"
        self.ignores_last_event_id = False
        self._run_counts: collections.Counter[str] = collections.Counter()
        self.copies: set[str] = set()
        self.copy_orders: list[dict] = []
        self.copy_releases: list[bytes] = []
        self.cancelled_requests = 0
        self._listener = HttpListener(SystemTimer(), "127.0.0.1:0", self._respond)

    async def start(self) -> None:
        await self._listener.start()

    async def stop(self) -> None:
        await self._listener.stop()

    @property
    def address(self) -> str:
        return self._listener.address

    async def _stream_unframed(
        self, exchange: Exchange, headers, headers_sent, first: int
    ) -> None:
        """Send a stream that ends with the connection; a crash also closes it."""
        exchange.head_sent = exchange.finished = exchange.closes_connection = True
        transport = exchange.connection.transport
        transport.write(encode_head(b"HTTP/1.1 200 OK", headers_sent))
        if self._crashes_on(headers):
            self.has_crashed = True
            self._listener.stop_accepting()
            for connection in self._listener.connections:
                connection.transport.write(b"id: 1\ndata: t1\n\n")
                connection.transport.close()
            return
        for number in range(first, self.events + 1):
            if self.break_after is not None and number > self.break_after:
                transport.write(b"id: %d\ndata: ha" % number)
                return
            transport.write(b"id: %d\ndata: t%d\n\n" % (number, number))
            if self.event_pause_s:
                await asyncio.sleep(self.event_pause_s)

    async def _crash(self) -> None:
        """End, or reset all connections."""
        self.has_crashed = True
        if self.resets:
            self._reset_connections()
        else:
            await self.stop()

    def _end(self) -> None:
        if not self.resets:
            self._listener.stop_accepting()
        self._reset_connections()

    def _reset_connections(self) -> None:
        self.has_crashed = True
        for connection in list(self._listener.connections):
            connection.abort()

    def _crashes_on(self, headers: dict[bytes, bytes]) -> bool:
        parts = headers.get(b"x-endivesill-prompt-prefix", b"").split(b",")[:-1]
        return any(part.partition(b":")[0] == self.crashing_part for part in parts)

    def _is_deadly(self, exchange: Exchange, headers: dict[bytes, bytes]) -> bool:
        return exchange.body == self.crashing_body or self._crashes_on(headers)

    def _has_no_head(self, exchange: Exchange, headers: dict[bytes, bytes]) -> bool:
        """Return whether a run crashes the engine before the head of its response."""
        if b"kv-from" in headers or self.crashes_after_answer:
            return False
        is_early = (
            self.crash_event is None or b"x-endivesill-token-counts" not in headers
        )
        return is_early and self._is_deadly(exchange, headers)

    async def _respond(self, exchange: Exchange) -> None:
        headers = {name.lower(): value for name, value in exchange.headers}
        if exchange.target == b"/kv-move":
            self._respond_copy_order(exchange, json.loads(exchange.body))
            return
        if exchange.target.startswith(b"/kv-handle/"):
            self.copy_releases.append(exchange.target)
            exchange.respond(200, [])
            return
        self.requests.append((exchange.method, exchange.target, headers, exchange.body))
        if self.crashes_after_answer and self._is_deadly(exchange, headers):
            asyncio.get_running_loop().call_later(0.1, self._end)
        attempt = (
            b"X-Endivesill-Request-Attempt-Id",
            headers.get(b"x-endivesill-request-attempt-id", b""),
        )
        expected = headers.get(b"x-endivesill-expected-instance")
        if (expected and expected != self.identity.encode()) or self._lacks_weights(
            headers
        ):
            exchange.respond(421, [attempt])
        elif self.rejects:
            await asyncio.sleep(self.run_s)
            refused = (b"X-Endivesill-Not-Executed", b"1")
            exchange.respond(503, [attempt, refused, *self.response_headers])
        elif self.is_hanging:
            await exchange.disconnected.wait()
            self.cancelled_requests += 1
        elif self._has_no_head(exchange, headers):
            await self._crash()
        elif b"x-endivesill-token-counts" in headers:
            await self._respond_stream(exchange, headers, attempt)
        else:
            if self.run_s:
                await asyncio.sleep(self.run_s)
            self._respond_plain(exchange, attempt)

    def _lacks_weights(self, headers) -> bool:
        expected = headers.get(b"x-endivesill-expected-version")
        return expected not in (None, self.weights)

    def _respond_copy_order(self, exchange: Exchange, order: dict) -> None:
        self.copy_orders.append(order)
        if order.get("last"):
            if order["id"] not in self.running:
                exchange.respond(404, self.response_headers)
                return
            if self.stop_refusals:
                exchange.respond(self.stop_refusals.pop(0), self.response_headers)
                return
            self.running[order["id"]] = True
        exchange.respond(200, self.response_headers, b'{"handle":"h1","made":1}')

    def _respond_plain(self, exchange: Exchange, attempt) -> None:
        if self.sends_foreign_response:
            other = (b"X-Endivesill-Request-Attempt-Id", b"someone-else")
            exchange.respond(200, [other, SEAL], b"not yours")
            exchange.finished = False
        status = self.statuses.pop(0) if self.statuses else 200
        body = self.identity.encode()
        if self.omits_length:
            exchange.head_sent = True
            exchange.connection.transport.write(
                b"HTTP/1.1 200 OK\r\n" + attempt[0] + b": " + attempt[1] + b"\r\n"
                b"X-Endivesill-Response-Seal: 1.2.3\r\n\r\n" + body
            )
            exchange.closes_connection = exchange.finished = True
            return
        exchange.respond(status, [attempt, SEAL, *self.response_headers], body)

    async def _respond_stream(self, exchange: Exchange, headers, attempt) -> None:
        first = 1
        source = headers.get(b"kv-from", b"").decode()
        if source:
            if source.rpartition("/")[2] not in self.copies:
                refused = (b"X-Endivesill-Not-Executed", b"1")
                exchange.respond(503, [attempt, refused])
                return
            first = int(headers[b"last-event-id"]) + 1
        elif headers.get(b"last-event-id", b"").isdigit():
            first = int(headers[b"last-event-id"]) + 1
        if self.ignores_last_event_id:
            first = 1
        content_type = (b"Content-Type", b"text/event-stream")
        headers_sent = [attempt, SEAL, content_type, *self.response_headers]
        if self.omits_length:
            await self._stream_unframed(exchange, headers, headers_sent, first)
            return
        exchange.start(200, headers_sent)
        attempt_id = attempt[1].decode()
        self.running[attempt_id] = False
        # A run that was given up may go on beside the one that resumes it.
        self._run_counts[attempt_id] += 1
        try:
            await self._send_events(exchange, headers, attempt_id, first)
        finally:
            self._run_counts[attempt_id] -= 1
            if not self._run_counts[attempt_id]:
                del self.running[attempt_id]

    async def _send_events(
        self, exchange: Exchange, headers, attempt_id: str, first: int
    ) -> None:
        is_deadly = self._is_deadly(exchange, headers) and not self.crashes_after_answer
        for number in range(first, self.events + 1):
            if is_deadly and number > (self.crash_event or 0):
                await asyncio.sleep(0.01)
                await self._crash()
                return
            if self.break_after is not None and number > self.break_after:
                exchange.send(b"id: %d\ndata: ha" % number)
                await asyncio.sleep(0.01)
                exchange.abort()
                return
            if self.running[attempt_id]:
                exchange.abort()
                return
            if exchange.disconnected.is_set() and not self.keeps_runs:
                self.cancelled_requests += 1
                return
            is_silent = first == 1 and number > (self.silent_after or self.events)
            if not is_silent and not exchange.disconnected.is_set():
                exchange.send(b"id: %d\ndata: t%d\n\n" % (number, number))
            if self.event_pause_s:
                await asyncio.sleep(self.event_pause_s)
        exchange.finish()
