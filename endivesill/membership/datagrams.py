"""Datagrams between VMs: UDP with a shared key, and a sibling in memory.

A datagram is a truncated HMAC-SHA256 followed by its body. A datagram that was
recorded and sent again does no harm: what it carries is older than what its
receivers know, and an acknowledgement answers one sequence number only.
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
    """Base of the datagram transports.

    Args:
      address: HOST:PORT under which others reach this process.

    Attributes:
      sent_datagrams: datagrams sent.
      sent_bytes: their bytes with those of the UDP and IP headers.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.receiver: Receiver | None = None
        self.sent_datagrams = 0
        self.sent_bytes = 0

    async def open(self, receiver: Receiver) -> None:
        """Begin to receive; the receiver gets source address and body."""
        self.receiver = receiver

    def send(self, address: str, body: bytes) -> None:
        """Send a datagram; nobody learns whether it arrives."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop receiving."""
        self.receiver = None

    def _count(self, size: int) -> None:
        self.sent_datagrams += 1
        self.sent_bytes += size + UDP_HEADER_BYTES


class UdpDatagramTransport(DatagramTransport, asyncio.DatagramProtocol):
    """Datagrams over UDP, on the same HOST:PORT number as the peer port.

    Args:
      address: HOST:PORT; port 0 takes a free one.
      keys: the shared keys; the first signs, all are accepted.
    """

    def __init__(self, address: str, keys: Iterable[str]) -> None:
        super().__init__(address)
        self._signers: list[hmac.HMAC] = []
        self.replace_keys(keys)
        self._endpoint: asyncio.DatagramTransport | None = None

    def replace_keys(self, keys: Iterable[str]) -> None:
        """Take other keys, as during a rotation.

        Raises:
          EndivesillError: there is none.
        """
        signers = [hmac.new(key.encode(), digestmod=hashlib.sha256) for key in keys]
        if not signers:
            raise errors.EndivesillError("datagrams need one key at least")
        self._signers = signers

    async def open(self, receiver: Receiver) -> None:
        """Bind the port.

        Raises:
          OSError: the address cannot be taken.
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
        self._count(len(data))
        self._endpoint.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Check a datagram's key and pass its body on."""
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        source = f"{addr[0]}:{addr[1]}"
        valid = [
            hmac.compare_digest(mac, self._sign(number, body))
            for number in range(len(self._signers))
        ]
        if not any(valid):
            events.emit(DATAGRAM_REFUSED, source=source, detail="no valid key")
            return
        if self.receiver is not None:
            self.receiver(source, body)

    def error_received(self, exc: Exception) -> None:
        """Leave a refused datagram to the probes' timeouts."""

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
    """Datagrams over a memory network, which drops, delays and cuts.

    Args:
      address: the address; a later transport at the same one replaces this one.
      network: the network.
      directory: the transports of the network by address, shared by all.
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
        """Send a datagram through the network."""
        if self.receiver is None:
            return
        self._count(len(body) + MAC_BYTES)
        asyncio.ensure_future(self._carry(address, body))

    async def _carry(self, address: str, body: bytes) -> None:
        if not await self._network.deliver(self.address, address, len(body)):
            return
        peer = self._directory.get(address)
        if peer is not None and peer.receiver is not None:
            peer.receiver(self.address, body)
