"""A source of token streams with little overhead, for the entry benchmark.

Each request gets a stream of one-token events at a fixed interval; each event holds
the time at which it was written.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

__all__ = ["TokenSource", "serve_source"]

RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\n\r\n"
)
EVENT_TEMPLATE = (
    b"id: %s:%d\n"
    b'data: {"id":"cmpl-1","object":"text_completion","choices":'
    b'[{"index":0,"finish_reason":null,"text":"w%d "}],"t":%.6f}\n\n'
)
EMPTY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
END_EVENT = b"data: [DONE]\n\n"


class TokenSource(asyncio.Protocol):
    """One connection to the source; the seed determines the phase of its streams."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._buffer = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the running stream."""
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Start a stream once a complete request has arrived."""
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        headers = {}
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b": ")
            headers[name.lower()] = value
        if len(body) < int(headers.get(b"content-length", b"0")):
            return
        self._buffer = b""
        if b"/completions " not in head:
            self._transport.write(EMPTY_RESPONSE)
            return
        self._start_stream(headers, body)

    def _start_stream(self, headers: dict[bytes, bytes], body: bytes) -> None:
        self._generation = headers.get(b"x-generation-id", b"g")
        self._token_count = int(
            body.partition(b'"max_tokens":')[2].split(b",")[0].strip(b" }")
        )
        self._gap_s = float(body.partition(b'"gap_s":')[2].split(b",")[0].strip(b" }"))
        self._index = 0
        self._transport.write(RESPONSE_HEAD % headers.get(b"x-attempt-id", b""))
        self._write_token()
        phase_s = self._random.random() * self._gap_s
        self._next_token_s = self._loop.time() + phase_s
        self._timer = self._loop.call_at(self._next_token_s, self._tick)

    def _write_token(self) -> None:
        index = self._index
        event = EVENT_TEMPLATE % (self._generation, index, index, time.monotonic())
        self._transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        self._index += 1

    def _tick(self) -> None:
        if self._index >= self._token_count:
            self._transport.write(
                b"%x\r\n%s\r\n0\r\n\r\n" % (len(END_EVENT), END_EVENT)
            )
            return
        self._write_token()
        self._next_token_s += self._gap_s
        self._timer = self._loop.call_at(self._next_token_s, self._tick)


async def serve_source(address: str) -> None:
    """Serve token streams until the process is stopped."""
    host, _, port = address.rpartition(":")
    seeds = iter(range(1 << 30))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: TokenSource(next(seeds)), host, int(port), backlog=2048
    )
    await server.serve_forever()
