"""What membership costs a VM: processor time and bytes over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket
import time

import attrs
import uvloop

from bench.membership_trials import spread
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

__all__ = ["Cost", "Exchange", "measure_exchanges", "measure_fleet"]

KEY = "bench-key-0123456789"
START_GAP_S = 0.1
SETTLE_S = 15.0
MEASURED_S = 10.0
EXCHANGES = 500
BODY = {"probe": 12345, "from": "vm-123", "digest": 4294967295, "updates": ["x" * 70]}


@attrs.frozen
class Cost:
    """What one VM spends a second in a quiet fleet.

    Attributes:
      sent_bytes: bytes sent, with UDP and IP headers.
      sent_datagrams: datagrams sent.
      processor_s: processor time.
      highest_sent_bytes: bytes that the busiest VM sent.
    """

    sent_bytes: float
    sent_datagrams: float
    processor_s: float
    highest_sent_bytes: float


@attrs.frozen
class Exchange:
    """One question and answer between two VMs, both ends together.

    Attributes:
      processor_us: processor time of both ends.
      bytes: bytes on the wire both ways, without those of TCP.
    """

    processor_us: float
    bytes: float


def free_addresses(count: int) -> list[str]:
    """Return free UDP addresses, on a loopback host of this number of VMs only.

    Fleets of other sizes that start at the same time cannot take them meanwhile.
    """
    host = f"127.0.{count % 250 + 1}.1"
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    addresses = [f"{host}:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


async def _measure_fleet(vms: int) -> Cost:
    timer = SystemTimer()
    network = MemoryNetwork(timer)
    configuration = FixedConfiguration(Configuration())
    transports = [
        UdpDatagramTransport(address, [KEY]) for address in free_addresses(vms)
    ]
    join = tuple(transport.address for transport in transports[:3])
    places = [name for name, count in spread(vms).items() for _ in range(count)]
    members = []
    for number, (place, transport) in enumerate(zip(places, transports, strict=True)):
        vm = vm_settings(f"vm-{number}", place, "r1", transport.address, join)
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
        await asyncio.sleep(START_GAP_S)
    await asyncio.sleep(SETTLE_S)
    before = [(t.sent_bytes, t.sent_datagrams) for t in transports]
    started_s, started_cpu_s = time.monotonic(), time.process_time()
    await asyncio.sleep(MEASURED_S)
    passed_s = time.monotonic() - started_s
    processor_s = time.process_time() - started_cpu_s
    sent = [
        (t.sent_bytes - old[0], t.sent_datagrams - old[1])
        for t, old in zip(transports, before, strict=True)
    ]
    for member in members:
        await member.stop()
    node_s = vms * passed_s
    return Cost(
        sum(pair[0] for pair in sent) / node_s,
        sum(pair[1] for pair in sent) / node_s,
        processor_s / node_s,
        max(pair[0] for pair in sent) / passed_s,
    )


def measure_fleet(vms: int) -> Cost:
    """Run a quiet fleet on UDP over loopback and return what a VM spends."""
    return uvloop.run(_measure_fleet(vms))


async def _measure_http() -> Exchange:
    transport = HttpPeerTransport("127.0.0.1:0", KeyRing([KEY]))

    async def answer(message: Message) -> Message:
        return message

    transport.handle("/membership/probe", answer)
    server = HttpServer("127.0.0.1:0", transport.application())
    await server.start()
    counted = 0

    async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal counted
        while data := await reader.read(65_536):
            counted += len(data)
            writer.write(data)
        writer.close()

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = server.address.rpartition(":")
        inner_reader, inner_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(pump(reader, inner_writer), pump(inner_reader, writer))

    relay_server = await asyncio.start_server(relay, "127.0.0.1", 0)
    relay_port = relay_server.sockets[0].getsockname()[1]
    await transport.call(f"127.0.0.1:{relay_port}", "/membership/probe", BODY, 5.0)
    path, address = "/membership/probe", server.address
    for _ in range(50):
        await transport.call(address, path, BODY, 5.0)
    started_s = time.process_time()
    for _ in range(EXCHANGES):
        await transport.call(address, path, BODY, 5.0)
    spent_s = time.process_time() - started_s
    await transport.close()
    relay_server.close()
    await server.stop()
    return Exchange(1e6 * spent_s / EXCHANGES, counted)


async def _measure_udp() -> Exchange:

    asker = UdpDatagramTransport("127.0.0.1:0", [KEY])
    answerer = UdpDatagramTransport("127.0.0.1:0", [KEY])
    arrived: asyncio.Queue[bytes] = asyncio.Queue()
    await asker.open(lambda source, data: arrived.put_nowait(json.loads(data)))
    await answerer.open(
        lambda source, data: answerer.send(
            source, json.dumps(json.loads(data), separators=(",", ":")).encode()
        )
    )
    started_s = time.process_time()
    for _ in range(EXCHANGES):
        asker.send(answerer.address, json.dumps(BODY, separators=(",", ":")).encode())
        await arrived.get()
    spent_s = time.process_time() - started_s
    asker.close()
    answerer.close()
    sent_bytes = asker.sent_bytes + answerer.sent_bytes
    return Exchange(1e6 * spent_s / EXCHANGES, sent_bytes / EXCHANGES)


def measure_exchanges() -> tuple[Exchange, Exchange]:
    """Return what an exchange costs over HTTP and over UDP."""
    return uvloop.run(_measure_http()), uvloop.run(_measure_udp())
