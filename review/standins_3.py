"""Stand-ins of clients, engines and the platform for the third review.

They speak what PROTOCOL.md says and need nothing but the standard library.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
NOT_EXECUTED = {"X-Endivesill-Not-Executed": "1"}
PREFILL_TOKENS_PER_S = 14_000.0
EVENT_S = 0.04
MAX_EVENTS = 250
# An engine cuts off an answer that stays unread for so long.
UNREAD_S = 5.0


@dataclasses.dataclass
class Request:
    """A request that a server has read; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request with a length; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = head[:-4].decode("latin-1").split("\r\n")
    method, target, _ = line.split(" ", 2)
    headers = {}
    for row in rest:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A server on one loopback address.

    Attributes:
      address: HOST:PORT.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop to listen and reset all channels, like a process that ends."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled at the end of the case.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError


@dataclasses.dataclass
class Copy:
    """What an engine keeps of the memory of a run of another engine."""

    attempt_id: str
    events: int


class Engine(Server):
    """An engine of a service: of the model if it has a memory, else a plain one.

    Attributes:
      copies: what it keeps of runs of other engines, by the name of the copy.
      running: the runs that it works on, by attempt id.
      seen: called with each request that is run or rejected, and what became of it.
      is_full: whether it has no room.
      refused: how many requests it has turned away for want of room.
      silent_since_s: when the channels of runs have gone silent, by attempt id.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        zone: str,
        address: str,
        *,
        slots: int,
        memory_tokens: int = 0,
        weights: int = 1,
        seen: Callable[..., None],
    ) -> None:
        super().__init__(address)
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.weights = weights
        self.born = int(time.time() * 1_000)
        self.copies: dict[str, Copy] = {}
        self.running: dict[str, Request] = {}
        self.seen = seen
        self.others: dict[str, Engine] = {}
        self.held_tokens = 0
        self.is_full = False
        self.refused = 0
        self.silent_since_s: dict[str, float] = {}

    def list_entry(self) -> dict[str, object]:
        """Return its entry in the platform's list."""
        entry: dict[str, object] = {
            "id": self.identity,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": self.born,
        }
        if self.memory_tokens:
            models = [{"name": "m", "version": self.weights, "adapters": []}]
            entry |= {"stage": "both", "models": models}
        return entry

    def _report(self) -> dict[str, object]:
        return {
            "stage": "both",
            "models": [{"name": "m", "version": self.weights, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued_requests": 0,
            "running_requests": len(self.running),
            "kv_used": self.held_tokens,
            "kv_total": self.memory_tokens,
            "handles": len(self.copies),
            "state": "ready",
            "born": self.born,
        }

    async def crash(self, down_s: float) -> None:
        """End without a trace, and start again later under the same id."""
        await self.stop()
        self.running.clear()
        self.copies.clear()
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1_000)
        await self.start()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a status check, a report, an order or a request."""
        if request.target == "/health":
            headers = {"X-Endivesill-Instance-Id": self.identity}
            writer.write(encode_response(200, headers))
        elif request.target == "/report":
            body = json.dumps(self._report()).encode()
            writer.write(encode_response(200, {}, body))
        elif request.target == "/kv-move":
            self._move(json.loads(request.body), writer)
        elif request.target.startswith("/kv-handle/"):
            writer.write(encode_response(200, {}))
        else:
            await self._run(request, writer)

    def _move(self, order: dict[str, object], writer: asyncio.StreamWriter) -> None:
        attempt_id = str(order["id"])
        if attempt_id not in self.running:
            writer.write(encode_response(404, {}))
            return
        if order.get("last"):
            del self.running[attempt_id]
        # There is no room for the copy.
        body = json.dumps({"handle": f"h-{attempt_id}"}).encode()
        writer.write(encode_response(503, {}, body if order.get("last") else b""))

    def _refusal(self, request: Request) -> int:
        """Return the status with which a request is rejected; 0 if it is run."""
        headers = request.headers
        if headers.get("x-endivesill-expected-instance", self.identity) != (
            self.identity
        ):
            return 421
        version = headers.get("x-endivesill-expected-version")
        if version is not None and version != str(self.weights):
            return 421
        if self.is_full or len(self.running) >= self.slots:
            return 503
        if self.memory_tokens and sum(token_counts(request)) > self.memory_tokens:
            # As if the engine were full.
            return 503
        if "kv-from" in headers and headers["kv-from"] not in self.copies:
            return 503
        return 0

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        attempt_id = request.headers.get("x-endivesill-request-attempt-id", "")
        echo = {"X-Endivesill-Request-Attempt-Id": attempt_id}
        refusal = self._refusal(request)
        if refusal:
            self.seen(self, request, f"rejected {refusal}")
            headers = {**echo, **NOT_EXECUTED}
            if self.is_full and refusal == 503:
                self.refused += 1
                headers["Retry-After"] = "10"
            writer.write(encode_response(refusal, headers))
            return
        self.seen(self, request, "run")
        self.running[attempt_id] = request
        headers = {**echo, "X-Endivesill-Response-Seal": SEAL}
        try:
            if self.memory_tokens:
                headers["X-Endivesill-Weight-Versions"] = str(self.weights)
                await self._stream(request, attempt_id, headers, writer)
            else:
                await asyncio.sleep(0.02)
                body = f"answer to {attempt_id}".encode()
                writer.write(encode_response(200, headers, body))
        finally:
            self.running.pop(attempt_id, None)

    async def _stream(
        self,
        request: Request,
        attempt_id: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        prompt_tokens, output_tokens = token_counts(request)
        done = int(request.headers.get("last-event-id", "0"))
        copy = self.copies.pop(request.headers.get("kv-from", ""), None)
        self.held_tokens += prompt_tokens
        try:
            if copy is None:
                backup = request.headers.get("x-endivesill-kv-backup", "")
                prefill_s = prompt_tokens / PREFILL_TOKENS_PER_S
                await asyncio.sleep(prefill_s / 2)
                self._back_up(attempt_id, backup, done)
                await asyncio.sleep(prefill_s / 2)
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append("Transfer-Encoding: chunked")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
            last = min(output_tokens // 4, MAX_EVENTS)
            for number in range(done + 1, last + 1):
                if attempt_id in self.silent_since_s:
                    # Nothing arrives any more, and its end is not seen.
                    unread_s = time.monotonic() - self.silent_since_s[attempt_id]
                    if attempt_id not in self.running or unread_s > UNREAD_S:
                        return
                    await asyncio.sleep(EVENT_S)
                    continue
                if attempt_id not in self.running or writer.transport.is_closing():
                    writer.transport.abort()
                    return
                event = f"id: {number}\ndata: piece {number} of {attempt_id}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self.held_tokens -= prompt_tokens

    def _back_up(self, attempt_id: str, backup: str, events: int) -> None:
        """Send what was read so far to the engine that receives the backup."""
        other = self.others.get(backup)
        if other is not None:
            other.copies[f"{backup}/{attempt_id}"] = Copy(attempt_id, events)


def token_counts(request: Request) -> tuple[int, int]:
    """Return the tokens of the prompt and the most of the output."""
    text = request.headers.get("x-endivesill-token-counts", "0,0")
    prompt, _, output = text.partition(",")
    return int(prompt), int(output)


class Provider(Server):
    """The platform's list of engines."""

    def __init__(self, address: str, engines: list[Engine]) -> None:
        super().__init__(address)
        self._engines = engines

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer with all engines on one page."""
        entries = [engine.list_entry() for engine in self._engines]
        body = json.dumps({"instances": entries, "next": None}).encode()
        headers = {"Content-Type": "application/json"}
        writer.write(encode_response(200, headers, body))


@dataclasses.dataclass
class Answer:
    """What a client has got.

    Attributes:
      status: the status; 0 without one.
      headers: the headers, with names in lower case.
      body: the body, as far as it came.
      is_whole: whether the answer is complete.
      took_s: how long it took.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    took_s: float = 0.0

    @property
    def is_success(self) -> bool:
        """Whether it is a complete success of an engine."""
        is_sealed = "x-endivesill-response-seal" in self.headers
        return self.status // 100 == 2 and self.is_whole and is_sealed


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 10.0,
    leaves_at: bytes = b"",
) -> Answer:
    """Send a request on a new channel and read its answer up to a time.

    Args:
      address: HOST:PORT.
      method: the method.
      target: path and query.
      headers: the headers but for the length.
      body: the body.
      timeout_s: the time.
      leaves_at: bytes of the body after which the client closes the channel.
    """
    answer = Answer()
    started_s = time.monotonic()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await _read_answer(reader, answer, leaves_at)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.took_s = time.monotonic() - started_s
    return answer


async def _read_answer(
    reader: asyncio.StreamReader, answer: Answer, leaves_at: bytes
) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rest = head[:-4].decode("latin-1").split("\r\n")
    answer.status = int(line.split(" ")[1])
    for row in rest:
        name, _, value = row.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += data[:-2]
            if leaves_at and leaves_at in answer.body:
                return
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_whole = True
