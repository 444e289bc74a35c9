"""Control clients in their own process, for the control benchmark."""

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
    """Commit from concurrent clients for `duration_s`; return the number of commits."""
    transport = HttpPeerTransport("127.0.0.1:1", KeyRing([BENCH_KEY]))
    client = RemoteControlClient(SystemTimer(), transport, addresses)
    end_s = time.perf_counter() + duration_s
    commits = 0

    async def commit_repeatedly(number: int) -> None:
        nonlocal commits
        message = {"key": f"client-{number}", "value": "v" * 100}
        while time.perf_counter() < end_s:
            await client.propose("bench.put", message, 10.0)
            commits += 1

    await asyncio.gather(*(commit_repeatedly(number) for number in range(clients)))
    await transport.close()
    return commits


def main(addresses: str, clients: int, duration_s: float, /) -> None:
    """Run clients and print the number of their commits.

    Parameters
    ----------
    addresses
        Addresses of the replicas, separated by commas.
    clients
        Number of concurrent clients.
    duration_s
        Run time in seconds.
    """
    print(uvloop.run(run(tuple(addresses.split(",")), clients, duration_s)))


if __name__ == "__main__":
    cyclopts.run(main)
