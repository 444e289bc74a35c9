"""Sending and receiving datagrams, with updates piggybacked on each of them."""

from __future__ import annotations

from collections.abc import Callable

from endivesill import errors, events
from endivesill.membership.datagrams import DatagramTransport
from endivesill.membership.events import DATAGRAM_REFUSED
from endivesill.membership.gossip import Gossip
from endivesill.membership.gossip_state import GossipState
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import (
    Datagram,
    DatagramKind,
    Health,
    Update,
    decode_datagram,
    encode_datagram,
)

__all__ = ["DatagramExchange"]

DatagramHandler = Callable[[Datagram, str], None]


class DatagramExchange:
    """Sends and receives all membership datagrams of this VM.

    Args:
      datagrams: the datagram transport.
      table: the member table.
      gossip_state: the state that received updates are merged into.
      gossip: the source of the updates to piggyback.
    """

    def __init__(
        self,
        datagrams: DatagramTransport,
        table: MemberTable,
        gossip_state: GossipState,
        gossip: Gossip,
    ) -> None:
        self._datagrams = datagrams
        self._table = table
        self._gossip_state = gossip_state
        self._gossip = gossip
        self._handlers: dict[DatagramKind, DatagramHandler] = {}
        self._observers: list[DatagramHandler] = []
        gossip.set_sender(self.send_updates)

    async def open(self) -> None:
        """Start receiving.

        Raises:
          OSError: the address cannot be bound.
        """
        await self._datagrams.open(self._receive)

    def close(self) -> None:
        """Stop sending and receiving."""
        self._datagrams.close()

    def handle(self, kind: DatagramKind, handler: DatagramHandler) -> None:
        """Register the handler of a kind; it gets each datagram and its source."""
        self._handlers[kind] = handler

    def observe(self, observer: DatagramHandler) -> None:
        """Register an observer of all datagrams; it is called after the handler."""
        self._observers.append(observer)

    def send_probe(
        self, address: str, kind: DatagramKind, sequence: int, subject: str
    ) -> None:
        """Send a PING or PING_REQUEST, with the suspicion of `subject` if any.

        The subject learns of the suspicion from it and can refute.
        """
        member = self._table.get(subject)
        suspicion: tuple[Update, ...] = ()
        if member is not None and member.health is not Health.OK:
            suspicion = (member,)
        self._send(address, kind, sequence, self._table.own_name, subject, suspicion)

    def send_ack(
        self,
        address: str,
        sequence: int,
        answering: str,
        required: tuple[Update, ...] = (),
    ) -> None:
        """Send an ACK on behalf of the VM that answered the probe.

        Args:
          address: the destination.
          sequence: the sequence number of the probe.
          answering: the name of the VM that answered.
          required: updates to send in any case, before the piggybacked ones.
        """
        self._send(address, DatagramKind.ACK, sequence, answering, "", required)

    def send_updates(self, address: str, updates: tuple[Update, ...]) -> None:
        """Send a GOSSIP datagram with these updates only."""
        self._transmit(
            address, DatagramKind.GOSSIP, 0, self._table.own_name, "", updates
        )

    def _send(
        self,
        address: str,
        kind: DatagramKind,
        sequence: int,
        sender: str,
        subject: str,
        required: tuple[Update, ...] = (),
    ) -> None:
        updates = required + self._gossip.piggyback()
        self._transmit(address, kind, sequence, sender, subject, updates)

    def _transmit(
        self,
        address: str,
        kind: DatagramKind,
        sequence: int,
        sender: str,
        subject: str,
        updates: tuple[Update, ...],
    ) -> None:
        digest = self._gossip_state.digest()
        datagram = Datagram(kind, sequence, sender, subject, digest, updates)
        self._datagrams.send(address, encode_datagram(datagram))

    def _receive(self, source: str, body: bytes) -> None:
        try:
            datagram = decode_datagram(body)
        except errors.PeerMessageError as error:
            events.emit(DATAGRAM_REFUSED, source=source, detail=str(error))
            return
        self._gossip_state.merge(datagram.updates)
        handler = self._handlers.get(datagram.kind)
        if handler is not None:
            handler(datagram, source)
        for observer in self._observers:
            observer(datagram, source)
