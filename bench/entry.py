"""Benchmark of streaming: the entry against the least overhead its libraries allow.

A source of token streams, a minimal proxy on the same libraries (the floor) and an
entry run in one process each. The same load goes through the floor and the entry in
turn. Measured are the processor time per token, the delay added to a token, the time
to the first byte and the memory per stream.
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

TOKEN_INTERVAL_S = 0.05
STREAM_COUNTS = (50, 100, 200, 400)
REFERENCE_STREAMS = 200
WARM_UP_S = 0.7
MEASUREMENT_S = 1.5
ROUNDS = 5
FIRST_BYTE_SAMPLES = 60
MIN_THROUGHPUT_RATIO = 0.8
MAX_ADDED_DELAY_MS = 1.0
MAX_ADDED_FIRST_BYTE_MS = 2.0
START_TIMEOUT_S = 10.0


@attrs.define
class Sample:
    """Measurements of one server at one number of streams.

    `delays_s` holds the times from when the source wrote a token to its arrival.
    """

    tokens: int
    processor_s: float
    delays_s: list[float]
    memory_bytes: int


class StreamClient(asyncio.Protocol):
    """Reads one stream; counts tokens and records their delays while `is_counting`."""

    def __init__(self, request: bytes) -> None:
        self._request = request
        self.tokens = 0
        self.delays_s: list[float] = []
        self.first_byte_s: asyncio.Future[float] = (
            asyncio.get_running_loop().create_future()
        )
        self.is_counting = False

    def connection_made(self, transport: Any) -> None:
        """Send the request."""
        self.transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count the tokens and record the delay of the last one."""
        now_s = time.monotonic()
        if not self.first_byte_s.done() and b"id: " in data:
            self.first_byte_s.set_result(now_s)
        if not self.is_counting:
            return
        self.tokens += data.count(b'"t":')
        _, separator, rest = data.rpartition(b'"t":')
        end = rest.find(b"}")
        if separator and end > 0:
            self.delays_s.append(now_s - float(rest[:end]))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the wait for the first byte."""
        if not self.first_byte_s.done():
            self.first_byte_s.cancel()


def encode_request(tokens: int, gap_s: float) -> bytes:
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


class ServerProcess:
    """One server in its own process."""

    def __init__(self, kind: str, source: str = "") -> None:
        (self.port,) = free_ports(1)
        self.address = f"127.0.0.1:{self.port}"
        arguments = [sys.executable, "-m", "bench.entry_servers", kind, self.address]
        self._process = subprocess.Popen(arguments + ([source] if source else []))

    async def wait_ready(self) -> None:
        """Wait until the server listens.

        Raises:
          TimeoutError: it does not listen within `START_TIMEOUT_S`.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    def processor_s(self) -> float:
        """Return the processor time that the process, with its one thread, has used."""
        path = pathlib.Path(f"/proc/{self._process.pid}/schedstat")
        return int(path.read_text(encoding="ascii").split()[0]) / 1e9

    def memory_bytes(self) -> int:
        """Return the resident memory of the process."""
        path = pathlib.Path(f"/proc/{self._process.pid}/statm")
        return int(path.read_text(encoding="ascii").split()[1]) * os.sysconf(
            "SC_PAGE_SIZE"
        )

    async def open(self, tokens: int, gap_s: float) -> StreamClient:
        """Open one stream of `tokens` tokens, one every `gap_s`."""
        request = encode_request(tokens, gap_s)
        loop = asyncio.get_running_loop()
        _, client = await loop.create_connection(
            lambda: StreamClient(request), "127.0.0.1", self.port
        )
        return client

    def stop(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.wait()


async def measure(server: ServerProcess, streams: int) -> Sample:
    """Measure a server with a number of concurrent streams."""
    tokens = int((WARM_UP_S + MEASUREMENT_S + 5.0) / TOKEN_INTERVAL_S)
    clients = [await server.open(tokens, TOKEN_INTERVAL_S) for _ in range(streams)]
    await asyncio.gather(*(client.first_byte_s for client in clients))
    await asyncio.sleep(WARM_UP_S)
    for client in clients:
        client.is_counting = True
    processor_s = server.processor_s()
    await asyncio.sleep(MEASUREMENT_S)
    processor_s = server.processor_s() - processor_s
    memory_bytes = server.memory_bytes()
    for client in clients:
        client.is_counting = False
        client.transport.abort()
    delays_s = [delay for client in clients for delay in client.delays_s]
    await asyncio.sleep(0.2)
    token_count = sum(client.tokens for client in clients)
    return Sample(token_count, processor_s, delays_s, memory_bytes)


async def measure_first_bytes(server: ServerProcess) -> list[float]:
    """Return the times to the first token of sequential requests."""
    times_s = []
    for _ in range(FIRST_BYTE_SAMPLES):
        started_s = time.monotonic()
        client = await server.open(1, 0.001)
        times_s.append(await client.first_byte_s - started_s)
        client.transport.abort()
    return times_s


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of the values by nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def median_quantile(samples: list[Sample], fraction: float) -> float:
    """Return the median over all rounds of a quantile of the delays."""
    return statistics.median(quantile(s.delays_s, fraction) for s in samples)


def tokens_per_processor_s(samples: list[Sample]) -> float:
    """Return the tokens per second of processor time over all rounds."""
    tokens = sum(sample.tokens for sample in samples)
    return tokens / sum(sample.processor_s for sample in samples)


async def run() -> Report:
    """Measure floor and entry in turn and return the report."""
    source = ServerProcess("source")
    servers = {kind: ServerProcess(kind, source.address) for kind in ("floor", "entry")}
    report = Report("entry")
    try:
        for server in (source, *servers.values()):
            await server.wait_ready()
        first_byte_times_s: dict[str, list[float]] = {"floor": [], "entry": []}
        samples: dict[tuple[str, int], list[Sample]] = {}
        for size in [*STREAM_COUNTS, *(REFERENCE_STREAMS for _ in range(ROUNDS - 1))]:
            for kind, server in servers.items():
                first_byte_times_s[kind] += await measure_first_bytes(server)
                sample = await measure(server, size)
                samples.setdefault((kind, size), []).append(sample)
        add_results(report, first_byte_times_s, samples)
    finally:
        for server in (*servers.values(), source):
            server.stop()
    return report


def add_results(
    report: Report,
    first_byte_times_s: dict[str, list[float]],
    samples: dict[tuple[str, int], list[Sample]],
) -> None:
    """Add the results and their targets to the report."""
    floor, entry = (
        samples["floor", REFERENCE_STREAMS],
        samples["entry", REFERENCE_STREAMS],
    )
    report.add(
        "floor tokens per processor second", tokens_per_processor_s(floor), "tokens/s"
    )
    report.add(
        "entry tokens per processor second", tokens_per_processor_s(entry), "tokens/s"
    )
    ratio = tokens_per_processor_s(entry) / tokens_per_processor_s(floor)
    target = f"at least {MIN_THROUGHPUT_RATIO}"
    report.add("entry to floor", ratio, "", target, ratio >= MIN_THROUGHPUT_RATIO)
    for fraction in (0.5, 0.95, 0.99):
        floor_ms = 1000 * median_quantile(floor, fraction)
        added_ms = 1000 * median_quantile(entry, fraction) - floor_ms
        name = f"delay added to the floor's {floor_ms:.2f} ms, {fraction:.0%}"
        target = f"under {MAX_ADDED_DELAY_MS} ms"
        report.add(name, added_ms, "ms", target, added_ms < MAX_ADDED_DELAY_MS)
    for fraction in (0.5, 0.95):
        floor_ms = 1000 * quantile(first_byte_times_s["floor"], fraction)
        added_ms = 1000 * quantile(first_byte_times_s["entry"], fraction) - floor_ms
        name = f"first byte added to the floor's {floor_ms:.2f} ms, {fraction:.0%}"
        target = f"at most {MAX_ADDED_FIRST_BYTE_MS} ms"
        report.add(name, added_ms, "ms", target, added_ms <= MAX_ADDED_FIRST_BYTE_MS)
    for kind in ("floor", "entry"):
        add_slopes(report, kind, {size: samples[kind, size] for size in STREAM_COUNTS})


def add_slopes(report: Report, kind: str, samples: dict[int, list[Sample]]) -> None:
    """Add processor use and memory over the number of streams."""
    processor_points = [
        (float(size), size / TOKEN_INTERVAL_S / tokens_per_processor_s(rounds))
        for size, rounds in samples.items()
    ]
    memory_points = [
        (float(size), rounds[0].memory_bytes / 1e6) for size, rounds in samples.items()
    ]
    report.slope(
        f"{kind} processor", "streams of 20 tokens/s", "cores", processor_points
    )
    report.slope(f"{kind} memory", "streams", "MB", memory_points)


def main() -> None:
    """Run the benchmark and print the report."""
    uvloop.run(run()).print()


if __name__ == "__main__":
    cyclopts.run(main)
