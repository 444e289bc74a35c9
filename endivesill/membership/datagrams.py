"""Authenticated datagrams between VMs: over UDP, or in memory for tests.

A datagram is a truncated HMAC-SHA256 followed by its body. Replayed datagrams are
harmless: the updates that they carry are older than those that the receivers have,
and an acknowledgement matches a single sequence number.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
from collections.abc import Callable, Iterable

from endivesill import errors, events
from endivesill.membership.events import DATAGRAM_REFUSED
from endivesill.peers import MemoryNetwork

__all__ = [
    "DATAGRAM_LIMIT_BYTES",
    "DatagramTransport",
    "MemoryDatagramTransport",
    "UdpDatagramTransport",
]

DATAGRAM_LIMIT_BYTES = 1200
MAC_BYTES = 16
UDP_HEADER_BYTES = 28

Receiver = Callable[[str, bytes], None]


class DatagramTransport:
    """Base class of the datagram transports.

    Args:
      address: HOST:PORT at which other VMs reach this process.

    Attributes:
      sent_datagrams: number of datagrams sent.
      sent_bytes: bytes sent, including UDP and IP headers.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.receiver: Receiver | None = None
        self.sent_datagrams = 0
        self.sent_bytes = 0

    async def open(self, receiver: Receiver) -> None:
        """Start receiving; the receiver is called with source address and body."""
        self.receiver = receiver

    def send(self, address: str, body: bytes) -> None:
        """Send a datagram without a delivery guarantee."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop receiving."""
        self.receiver = None

    def _count(self, size: int) -> None:
        self.sent_datagrams += 1
        self.sent_bytes += size + UDP_HEADER_BYTES


class UdpDatagramTransport(DatagramTransport, asyncio.DatagramProtocol):
    """Datagrams over UDP, on the same HOST:PORT as the TCP peer port.

    Args:
      address: HOST:PORT; port 0 binds a free port.
      keys: the shared keys; the first one signs, all of them verify.
    """

    def __init__(self, address: str, keys: Iterable[str]) -> None:
        super().__init__(address)
        self._signers: list[hmac.HMAC] = []
        self.replace_keys(keys)
        self._endpoint: asyncio.DatagramTransport | None = None

    def replace_keys(self, keys: Iterable[str]) -> None:
        """Replace the shared keys, as during a key rotation.

        Raises:
          EndivesillError: `keys` is empty.
        """
        signers = [hmac.new(key.encode(), digestmod=hashlib.sha256) for key in keys]
        if not signers:
            raise errors.EndivesillError("datagrams need at least one key")
        self._signers = signers

    async def open(self, receiver: Receiver) -> None:
        """Bind the port.

        Raises:
          OSError: the address cannot be bound.
        """
        await super().open(receiver)
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._endpoint, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self.address = f"{host}:{self._endpoint.get_extra_info('sockname')[1]}"

    def send(self, address: str, body: bytes) -> None:
        """Sign and send a datagram."""
        if self._endpoint is None or self._endpoint.is_closing():
            return
        host, _, port = address.rpartition(":")
        data = self._sign(0, body) + body
        if len(data) > DATAGRAM_LIMIT_BYTES:
            events.emit(DATAGRAM_REFUSED, source=self.address, detail="too large")
            return
        self._count(len(data))
        self._endpoint.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verify a datagram and pass its body to the receiver."""
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        source = f"{addr[0]}:{addr[1]}"
        valid = [
            hmac.compare_digest(mac, self._sign(number, body))
            for number in range(len(self._signers))
        ]
        if not any(valid) or len(data) > DATAGRAM_LIMIT_BYTES:
            detail = "too large" if any(valid) else "no valid key"
            events.emit(DATAGRAM_REFUSED, source=source, detail=detail)
            return
        if self.receiver is not None:
            self.receiver(source, body)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; probes detect unreachable VMs by timeout."""

    def _sign(self, number: int, body: bytes) -> bytes:
        signer = self._signers[number].copy()
        signer.update(body)
        return signer.digest()[:MAC_BYTES]

    def close(self) -> None:
        """Close the port."""
        super().close()
        if self._endpoint is not None:
            self._endpoint.close()


class MemoryDatagramTransport(DatagramTransport):
    """Datagrams over a simulated network with loss, delay and partitions.

    Args:
      address: HOST:PORT; a later transport at the same address replaces this one.
      network: the simulated network.
      directory: all transports of the network by address, shared between them.
    """

    def __init__(
        self,
        address: str,
        network: MemoryNetwork,
        directory: dict[str, MemoryDatagramTransport],
    ) -> None:
        super().__init__(address)
        self._network = network
        self._directory = directory
        directory[address] = self

    def send(self, address: str, body: bytes) -> None:
        """Send a datagram over the simulated network."""
        if self.receiver is None:
            return
        self._count(len(body) + MAC_BYTES)
        asyncio.ensure_future(self._deliver(address, body))

    async def _deliver(self, address: str, body: bytes) -> None:
        if not await self._network.deliver(self.address, address, len(body)):
            return
        peer = self._directory.get(address)
        if peer is not None and peer.receiver is not None:
            peer.receiver(self.address, body)
