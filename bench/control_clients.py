"""Clients of the replicated state in a process of their own, for bench.control."""

from __future__ import annotations

import asyncio
import time

import cyclopts
import uvloop

from bench.control_state import BENCH_KEY
from endivesill.control import RemoteControlClient
from endivesill.http_peers import HttpPeerTransport
from endivesill.keys import KeyRing
from endivesill.timer import SystemTimer

__all__ = ["main"]


async def run(addresses: tuple[str, ...], clients: int, duration_s: float) -> int:
    """Commit for a time; return how many commits there were."""
    transport = HttpPeerTransport("127.0.0.1:1", KeyRing([BENCH_KEY]))
    client = RemoteControlClient(SystemTimer(), transport, addresses)
    end = time.perf_counter() + duration_s
    commits = 0

    async def work(number: int) -> None:
        nonlocal commits
        message = {"key": f"client-{number}", "value": "v" * 100}
        while time.perf_counter() < end:
            await client.propose("bench.put", message, 10.0)
            commits += 1

    await asyncio.gather(*(work(number) for number in range(clients)))
    await transport.close()
    return commits


def main(addresses: str, clients: int, duration_s: float, /) -> None:
    """Run clients and print how often they committed.

    Parameters
    ----------
    addresses
        The replicas' addresses, with commas between them.
    clients
        How many clients there are.
    duration_s
        How long they run.
    """
    print(uvloop.run(run(tuple(addresses.split(",")), clients, duration_s)))


if __name__ == "__main__":
    cyclopts.run(main)
