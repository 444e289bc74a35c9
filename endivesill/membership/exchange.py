"""Sending and receiving datagrams: news go along with each of them."""

from __future__ import annotations

from collections.abc import Callable

from endivesill import errors, events
from endivesill.membership.datagrams import DatagramTransport
from endivesill.membership.events import DATAGRAM_REFUSED
from endivesill.membership.gossip import Gossip
from endivesill.membership.knowledge import Knowledge
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import (
    Datagram,
    DatagramKind,
    Health,
    Update,
    decode_datagram,
    encode_datagram,
)

__all__ = ["Exchange"]

DatagramHandler = Callable[[Datagram, str], None]


class Exchange:
    """One VM's end of all datagrams.

    Args:
      datagrams: the transport.
      table: the VMs.
      knowledge: what received news are merged into.
      gossip: where news to send come from.
    """

    def __init__(
        self,
        datagrams: DatagramTransport,
        table: MemberTable,
        knowledge: Knowledge,
        gossip: Gossip,
    ) -> None:
        self._datagrams = datagrams
        self._table = table
        self._knowledge = knowledge
        self._gossip = gossip
        self._handlers: dict[DatagramKind, DatagramHandler] = {}
        self._observers: list[DatagramHandler] = []
        gossip.attach(self.send_updates)

    async def open(self) -> None:
        """Begin to receive.

        Raises:
          OSError: the address cannot be taken.
        """
        await self._datagrams.open(self._receive)

    def close(self) -> None:
        """Stop sending and receiving."""
        self._datagrams.close()

    def handle(self, kind: DatagramKind, handler: DatagramHandler) -> None:
        """Call a handler with each datagram of a kind and its source."""
        self._handlers[kind] = handler

    def observe(self, observer: DatagramHandler) -> None:
        """Call an observer with each datagram, after its handler."""
        self._observers.append(observer)

    def ask(
        self, address: str, kind: DatagramKind, sequence: int, subject: str
    ) -> None:
        """Send a PING or a PING_REQUEST; a doubted subject is told of the doubt."""
        member = self._table.get(subject)
        doubt: tuple[Update, ...] = ()
        if member is not None and member.health is not Health.OK:
            doubt = (member,)
        self._send(address, kind, sequence, self._table.own_name, subject, doubt)

    def acknowledge(
        self,
        address: str,
        sequence: int,
        answering: str,
        first: tuple[Update, ...] = (),
    ) -> None:
        """Send an ACK in the name of the VM that has answered.

        Args:
          address: where to.
          sequence: what it answers.
          answering: the VM that has answered.
          first: updates that must go along.
        """
        self._send(address, DatagramKind.ACK, sequence, answering, "", first)

    def send_updates(self, address: str, updates: tuple[Update, ...]) -> None:
        """Send nothing but news."""
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
        first: tuple[Update, ...] = (),
    ) -> None:
        updates = first + self._gossip.piggyback()
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
        digest = self._knowledge.digest()
        datagram = Datagram(kind, sequence, sender, subject, digest, updates)
        self._datagrams.send(address, encode_datagram(datagram))

    def _receive(self, source: str, body: bytes) -> None:
        try:
            datagram = decode_datagram(body)
        except errors.PeerMessageError as error:
            events.emit(DATAGRAM_REFUSED, source=source, detail=str(error))
            return
        self._knowledge.merge(datagram.updates)
        handler = self._handlers.get(datagram.kind)
        if handler is not None:
            handler(datagram, source)
        for observer in self._observers:
            observer(datagram, source)
