"""The entry against the least that its libraries allow.

One source of token streams, a bare proxy (the floor) and an entry, each in its
own process. The same streams run through floor and entry in turn; figures are
processor time for each token, the delay that is added to a token, the time to
the first byte, and memory for each stream.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time
from typing import Any

import attrs
import cyclopts
import uvloop

from bench.entry_servers import CALLER_KEY
from bench.ports import free_ports
from bench.report import Report

__all__ = ["main"]

GAP_S = 0.05
SIZES = (50, 100, 200, 400)
MEASURED_SIZE = 200
WARM_UP_S = 0.7
MEASURED_S = 1.5
ROUNDS = 5
FIRST_BYTES = 60
LEAST_RATIO = 0.8
MOST_DELAY_MS = 1.0
MOST_FIRST_BYTE_MS = 2.0
START_LIMIT_S = 10.0


@attrs.define
class Sample:
    """What one system showed at one number of streams."""

    tokens: int
    processor_s: float
    delays_s: list[float]
    memory_bytes: int


class StreamClient(asyncio.Protocol):
    """Reads one stream and notes each token's delay."""

    def __init__(self, request: bytes) -> None:
        self._request = request
        self.tokens = 0
        self.delays_s: list[float] = []
        self.first_byte: asyncio.Future[float] = (
            asyncio.get_running_loop().create_future()
        )
        self.counting = False

    def connection_made(self, transport: Any) -> None:
        """Send the request."""
        self.transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count tokens and note the delay of the last one."""
        now_s = time.monotonic()
        if not self.first_byte.done() and b"id: " in data:
            self.first_byte.set_result(now_s)
        if not self.counting:
            return
        self.tokens += data.count(b'"t":')
        _, found, rest = data.rpartition(b'"t":')
        end = rest.find(b"}")
        if found and end > 0:
            self.delays_s.append(now_s - float(rest[:end]))

    def connection_lost(self, exc: Exception | None) -> None:
        """End a wait for the first byte."""
        if not self.first_byte.done():
            self.first_byte.cancel()


def request_bytes(tokens: int, gap_s: float) -> bytes:
    """Return the HTTP request of one stream."""
    body = json.dumps(
        {
            "model": "llm",
            "prompt": "x" * 200,
            "stream": True,
            "max_tokens": tokens,
            "gap_s": gap_s,
        }
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {CALLER_KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Server:
    """One server process."""

    def __init__(self, kind: str, source: str = "") -> None:
        (self.port,) = free_ports(1)
        self.address = f"127.0.0.1:{self.port}"
        arguments = [sys.executable, "-m", "bench.entry_servers", kind, self.address]
        self._process = subprocess.Popen(arguments + ([source] if source else []))

    async def ready(self) -> None:
        """Wait until it listens."""
        async with asyncio.timeout(START_LIMIT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    def processor_s(self) -> float:
        """Return the processor time of its one thread so far."""
        path = pathlib.Path(f"/proc/{self._process.pid}/schedstat")
        return int(path.read_text(encoding="ascii").split()[0]) / 1e9

    def memory_bytes(self) -> int:
        """Return its resident memory."""
        path = pathlib.Path(f"/proc/{self._process.pid}/statm")
        return int(path.read_text(encoding="ascii").split()[1]) * os.sysconf(
            "SC_PAGE_SIZE"
        )

    async def open(self, tokens: int, gap_s: float) -> StreamClient:
        """Open one stream."""
        request = request_bytes(tokens, gap_s)
        loop = asyncio.get_running_loop()
        _, client = await loop.create_connection(
            lambda: StreamClient(request), "127.0.0.1", self.port
        )
        return client

    def stop(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.wait()


async def measure(server: Server, streams: int) -> Sample:
    """Run a number of streams through a server."""
    tokens = int((WARM_UP_S + MEASURED_S + 5.0) / GAP_S)
    clients = [await server.open(tokens, GAP_S) for _ in range(streams)]
    await asyncio.gather(*(client.first_byte for client in clients))
    await asyncio.sleep(WARM_UP_S)
    for client in clients:
        client.counting = True
    processor_s = server.processor_s()
    await asyncio.sleep(MEASURED_S)
    processor_s = server.processor_s() - processor_s
    memory_bytes = server.memory_bytes()
    for client in clients:
        client.counting = False
        client.transport.abort()
    delays_s = [delay for client in clients for delay in client.delays_s]
    await asyncio.sleep(0.2)
    total = sum(client.tokens for client in clients)
    return Sample(total, processor_s, delays_s, memory_bytes)


async def first_bytes(server: Server) -> list[float]:
    """Return the times to the first token of requests one after another."""
    times_s = []
    for _ in range(FIRST_BYTES):
        begin_s = time.monotonic()
        client = await server.open(1, 0.001)
        times_s.append(await client.first_byte - begin_s)
        client.transport.abort()
    return times_s


def percentile(values: list[float], share: float) -> float:
    """Return the value that a share of the values stays under."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def median_percentile(samples: list[Sample], share: float) -> float:
    """Return the median over all rounds of a percentile of the delays."""
    return statistics.median(percentile(s.delays_s, share) for s in samples)


def rate(samples: list[Sample]) -> float:
    """Return the tokens for each second of processor time over all rounds."""
    tokens = sum(sample.tokens for sample in samples)
    return tokens / sum(sample.processor_s for sample in samples)


async def run() -> Report:
    """Run floor and entry in turn and compare them."""
    source = Server("source")
    servers = {kind: Server(kind, source.address) for kind in ("floor", "entry")}
    report = Report("entry")
    try:
        for server in (source, *servers.values()):
            await server.ready()
        first: dict[str, list[float]] = {"floor": [], "entry": []}
        samples: dict[tuple[str, int], list[Sample]] = {}
        for size in [*SIZES, *(MEASURED_SIZE for _ in range(ROUNDS - 1))]:
            for kind, server in servers.items():
                first[kind] += await first_bytes(server)
                sample = await measure(server, size)
                samples.setdefault((kind, size), []).append(sample)
        fill(report, first, samples)
    finally:
        for server in (*servers.values(), source):
            server.stop()
    return report


def fill(
    report: Report,
    first: dict[str, list[float]],
    samples: dict[tuple[str, int], list[Sample]],
) -> None:
    """Put the figures into the report."""
    floor, entry = samples["floor", MEASURED_SIZE], samples["entry", MEASURED_SIZE]
    report.add("floor tokens per processor second", rate(floor), "tokens/s")
    report.add("entry tokens per processor second", rate(entry), "tokens/s")
    ratio = rate(entry) / rate(floor)
    target = f"at least {LEAST_RATIO}"
    report.add("entry to floor", ratio, "", target, ratio >= LEAST_RATIO)
    for share in (0.5, 0.95, 0.99):
        floor_ms = 1000 * median_percentile(floor, share)
        added_ms = 1000 * median_percentile(entry, share) - floor_ms
        name = f"delay added to the floor's {floor_ms:.2f} ms, {share:.0%}"
        target = f"under {MOST_DELAY_MS} ms"
        report.add(name, added_ms, "ms", target, added_ms < MOST_DELAY_MS)
    for share in (0.5, 0.95):
        floor_ms = 1000 * percentile(first["floor"], share)
        added_ms = 1000 * percentile(first["entry"], share) - floor_ms
        name = f"first byte added to the floor's {floor_ms:.2f} ms, {share:.0%}"
        target = f"at most {MOST_FIRST_BYTE_MS} ms"
        report.add(name, added_ms, "ms", target, added_ms <= MOST_FIRST_BYTE_MS)
    for kind in ("floor", "entry"):
        add_slopes(report, kind, {size: samples[kind, size] for size in SIZES})


def add_slopes(report: Report, kind: str, samples: dict[int, list[Sample]]) -> None:
    """Add processor time and memory over the number of streams."""
    shares = [
        (float(size), size / GAP_S / rate(rounds)) for size, rounds in samples.items()
    ]
    memory = [
        (float(size), rounds[0].memory_bytes / 1e6) for size, rounds in samples.items()
    ]
    report.slope(f"{kind} processor", "streams of 20 tokens/s", "cores", shares)
    report.slope(f"{kind} memory", "streams", "MB", memory)


def main() -> None:
    """Print the figures of floor and entry."""
    uvloop.run(run()).print()


if __name__ == "__main__":
    cyclopts.run(main)
