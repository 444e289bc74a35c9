"""One control replica in its own process, for the control benchmark."""

from __future__ import annotations

import asyncio

import cyclopts
import uvloop

from bench.control_state import BENCH_KEY
from endivesill.control import ControlReplica, ControlSettings, FileDisk
from endivesill.http_peers import HttpPeerTransport
from endivesill.keys import KeyRing
from endivesill.peers import Message
from endivesill.server import HttpServer
from endivesill.timer import SystemTimer

__all__ = ["main"]


async def run(
    listen: str, address: str, addresses: tuple[str, ...], folder: str
) -> None:
    """Run a replica until the process is killed."""
    timer = SystemTimer()
    transport = HttpPeerTransport(address, KeyRing([BENCH_KEY]))
    server = HttpServer(listen, transport.application())
    replica = ControlReplica(
        timer, transport, FileDisk(folder), addresses, ControlSettings()
    )

    async def ping(message: Message) -> Message:
        return {"leads": replica.is_leader, "applied_index": replica.applied_index}

    transport.handle("/bench/ping", ping)
    await replica.start()
    await server.start()
    await asyncio.Event().wait()


def main(listen: str, address: str, addresses: str, folder: str, /) -> None:
    """Run a replica until the process is killed.

    Parameters
    ----------
    listen
        HOST:PORT to listen on.
    address
        HOST:PORT at which the other replicas reach it.
    addresses
        Addresses of all replicas, separated by commas.
    folder
        Folder for the replica's data.
    """
    uvloop.run(run(listen, address, tuple(addresses.split(",")), folder))


if __name__ == "__main__":
    cyclopts.run(main)
