"""Measures the processor time and traffic of membership over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket
import time

import attrs
import uvloop

from bench.membership_trials import vms_per_data_centre
from bench.memory_fleet import vm_settings
from endivesill.configuration import Configuration
from endivesill.configuration.source import FixedConfiguration
from endivesill.http_peers import HttpPeerTransport
from endivesill.kernel import Kernel
from endivesill.keys import KeyRing
from endivesill.membership import (
    MembershipSettings,
    SwimMembership,
    UdpDatagramTransport,
)
from endivesill.peers import MemoryNetwork, Message
from endivesill.server import HttpServer
from endivesill.timer import SystemTimer

__all__ = ["Exchange", "VmCost", "measure_exchanges", "measure_fleet"]

KEY = "bench-key-0123456789"
START_INTERVAL_S = 0.1
SETTLE_S = 15.0
MEASUREMENT_S = 10.0
EXCHANGE_COUNT = 500
MESSAGE = {
    "probe": 12345,
    "from": "vm-123",
    "digest": 4294967295,
    "updates": ["x" * 70],
}


@attrs.frozen
class VmCost:
    """The mean cost of one VM per second, in a fleet without changes.

    Attributes:
      sent_bytes: bytes sent, with UDP and IP headers.
      sent_datagrams: datagrams sent.
      processor_s: processor time.
      highest_sent_bytes: bytes sent by the VM that sends most.
    """

    sent_bytes: float
    sent_datagrams: float
    processor_s: float
    highest_sent_bytes: float


@attrs.frozen
class Exchange:
    """The cost of one request and its response between two VMs.

    Attributes:
      processor_us: processor time of both VMs.
      bytes: bytes sent in both directions, without TCP headers.
    """

    processor_us: float
    bytes: float


def free_addresses(count: int) -> list[str]:
    """Return free UDP addresses on a loopback host that depends on `count`.

    Fleets of other sizes, which start at the same time, therefore cannot take the
    ports before they are bound again.
    """
    host = f"127.0.{count % 250 + 1}.1"
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for udp_socket in sockets:
        udp_socket.bind((host, 0))
    addresses = [f"{host}:{udp_socket.getsockname()[1]}" for udp_socket in sockets]
    for udp_socket in sockets:
        udp_socket.close()
    return addresses


async def _measure_fleet(vms: int) -> VmCost:
    timer = SystemTimer()
    network = MemoryNetwork(timer)
    configuration = FixedConfiguration(Configuration())
    transports = [
        UdpDatagramTransport(address, [KEY]) for address in free_addresses(vms)
    ]
    join = tuple(transport.address for transport in transports[:3])
    data_centres = [
        name for name, count in vms_per_data_centre(vms).items() for _ in range(count)
    ]
    members = []
    for number, (data_centre, transport) in enumerate(
        zip(data_centres, transports, strict=True)
    ):
        vm = vm_settings(f"vm-{number}", data_centre, "r1", transport.address, join)
        member = SwimMembership(
            Kernel(timer),
            vm,
            MembershipSettings(),
            network.transport(transport.address),
            transport,
            configuration,
            number,
        )
        members.append(member)
        await member.start()
        await asyncio.sleep(START_INTERVAL_S)
    await asyncio.sleep(SETTLE_S)
    before = [(t.sent_bytes, t.sent_datagrams) for t in transports]
    started_s, started_processor_s = time.monotonic(), time.process_time()
    await asyncio.sleep(MEASUREMENT_S)
    elapsed_s = time.monotonic() - started_s
    processor_s = time.process_time() - started_processor_s
    sent = [
        (t.sent_bytes - previous[0], t.sent_datagrams - previous[1])
        for t, previous in zip(transports, before, strict=True)
    ]
    for member in members:
        await member.stop()
    vm_seconds = vms * elapsed_s
    return VmCost(
        sum(pair[0] for pair in sent) / vm_seconds,
        sum(pair[1] for pair in sent) / vm_seconds,
        processor_s / vm_seconds,
        max(pair[0] for pair in sent) / elapsed_s,
    )


def measure_fleet(vms: int) -> VmCost:
    """Run a fleet without changes on UDP over loopback; return the cost of a VM."""
    return uvloop.run(_measure_fleet(vms))


async def _measure_http() -> Exchange:
    transport = HttpPeerTransport("127.0.0.1:0", KeyRing([KEY]))

    async def echo(message: Message) -> Message:
        return message

    transport.handle("/membership/probe", echo)
    server = HttpServer("127.0.0.1:0", transport.application())
    await server.start()
    byte_count = 0

    async def forward(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal byte_count
        while data := await reader.read(65_536):
            byte_count += len(data)
            writer.write(data)
        writer.close()

    async def proxy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = server.address.rpartition(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(
            host, int(port)
        )
        await asyncio.gather(
            forward(reader, upstream_writer), forward(upstream_reader, writer)
        )

    proxy_server = await asyncio.start_server(proxy, "127.0.0.1", 0)
    proxy_port = proxy_server.sockets[0].getsockname()[1]
    await transport.call(f"127.0.0.1:{proxy_port}", "/membership/probe", MESSAGE, 5.0)
    path, address = "/membership/probe", server.address
    for _ in range(50):
        await transport.call(address, path, MESSAGE, 5.0)
    started_s = time.process_time()
    for _ in range(EXCHANGE_COUNT):
        await transport.call(address, path, MESSAGE, 5.0)
    total_s = time.process_time() - started_s
    await transport.close()
    proxy_server.close()
    await server.stop()
    return Exchange(1e6 * total_s / EXCHANGE_COUNT, byte_count)


async def _measure_udp() -> Exchange:

    client = UdpDatagramTransport("127.0.0.1:0", [KEY])
    echo_server = UdpDatagramTransport("127.0.0.1:0", [KEY])
    responses: asyncio.Queue[bytes] = asyncio.Queue()
    await client.open(lambda source, data: responses.put_nowait(json.loads(data)))
    await echo_server.open(
        lambda source, data: echo_server.send(
            source, json.dumps(json.loads(data), separators=(",", ":")).encode()
        )
    )
    started_s = time.process_time()
    for _ in range(EXCHANGE_COUNT):
        client.send(
            echo_server.address, json.dumps(MESSAGE, separators=(",", ":")).encode()
        )
        await responses.get()
    total_s = time.process_time() - started_s
    client.close()
    echo_server.close()
    sent_bytes = client.sent_bytes + echo_server.sent_bytes
    return Exchange(1e6 * total_s / EXCHANGE_COUNT, sent_bytes / EXCHANGE_COUNT)


def measure_exchanges() -> tuple[Exchange, Exchange]:
    """Return the cost of an exchange over HTTP and over UDP."""
    return uvloop.run(_measure_http()), uvloop.run(_measure_udp())
