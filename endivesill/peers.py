"""Calls between the processes of the system.

A transport registers handlers for paths and calls the paths of peers.
`HttpPeerTransport` (`http_peers.py`) uses HTTP with JSON. `MemoryPeerTransport` is
for tests; its `MemoryNetwork` simulates delays, losses and partitions.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from endivesill import errors
from endivesill.timer import TimerService

__all__ = [
    "EncodedValue",
    "MemoryNetwork",
    "MemoryPeerTransport",
    "Message",
    "PeerTransport",
    "encode_message",
]

Message = dict[str, Any]
Handler = Callable[[Message], Awaitable[Message]]


@attrs.frozen
class EncodedValue:
    """JSON text of a top-level value of a message, encoded once for many messages."""

    text: str


def encode_message(message: Message) -> str:
    """Return a message as JSON; top-level values may be `EncodedValue`s."""
    encoded = {
        name: value.text
        for name, value in message.items()
        if isinstance(value, EncodedValue)
    }
    if not encoded:
        return json.dumps(message, separators=(",", ":"))
    others = {name: v for name, v in message.items() if name not in encoded}
    parts = [f"{json.dumps(name)}:{text}" for name, text in encoded.items()]
    if others:
        parts.append(json.dumps(others, separators=(",", ":"))[1:-1])
    return "{" + ",".join(parts) + "}"


class PeerTransport:
    """Base class of the peer transports.

    Attributes:
      address: the address at which peers reach this process.
      handlers: the handlers by path.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.handlers: dict[str, Handler] = {}

    def handle(self, path: str, handler: Handler) -> None:
        """Register the handler of a path; it takes and returns a JSON object.

        Raises:
          EndivesillError: the path already has a handler.
        """
        if path in self.handlers:
            raise errors.EndivesillError(f"peer path {path} already has a handler")
        self.handlers[path] = handler

    async def call(
        self, address: str, path: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a path of a peer and return its response.

        Raises:
          PeerUnreachableError: no response in time, or an error response. The
            peer may have handled the message nevertheless.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Close all connections."""


class MemoryNetwork:
    """A simulated network between `MemoryPeerTransport`s.

    Args:
      timer: the timer of the delays.
      seed: seed of the losses and the jitter.

    Attributes:
      delay_s: one-way delay of each message.
      jitter_s: maximum random addition to each delay.
      loss: probability (0 to 1) that a message is lost, in each direction.
      messages: number of messages sent.
      bytes: total size of the messages sent.
    """

    def __init__(self, timer: TimerService, seed: int = 1) -> None:
        self.timer = timer
        self.delay_s = 0.001
        self.jitter_s = 0.0
        self.loss = 0.0
        self.messages = 0
        self.bytes = 0
        self._random = random.Random(seed)
        self._transports: dict[str, MemoryPeerTransport] = {}
        self._cut: set[tuple[str, str]] = set()

    def transport(self, address: str) -> MemoryPeerTransport:
        """Create the transport at an address; it replaces an earlier one."""
        transport = MemoryPeerTransport(address, self)
        self._transports[address] = transport
        return transport

    def remove(self, address: str) -> None:
        """Remove a process from the network, as if it had crashed."""
        self._transports.pop(address, None)

    def cut(self, source: str, destination: str, *, both: bool = True) -> None:
        """Drop all messages from one address to another, by default both ways."""
        self._cut.add((source, destination))
        if both:
            self._cut.add((destination, source))

    def isolate(self, address: str) -> None:
        """Partition an address from all others."""
        for other in list(self._transports):
            if other != address:
                self.cut(address, other)

    def heal(self) -> None:
        """Remove all partitions."""
        self._cut.clear()

    async def deliver(self, source: str, destination: str, size: int) -> bool:
        """Delay one message; return whether it is delivered."""
        self.messages += 1
        self.bytes += size
        delay_s = self.delay_s + self.jitter_s * self._random.random()
        lost = self._random.random() < self.loss
        await self.timer.sleep(delay_s)
        return not lost and (source, destination) not in self._cut

    def find(self, address: str) -> MemoryPeerTransport | None:
        """Return the transport at an address, or None."""
        return self._transports.get(address)


class MemoryPeerTransport(PeerTransport):
    """A transport between peers in one process, over a `MemoryNetwork`."""

    def __init__(self, address: str, network: MemoryNetwork) -> None:
        super().__init__(address)
        self._network = network

    async def call(
        self, address: str, path: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a path of a peer; see `PeerTransport.call`."""
        text = json.dumps(message, separators=(",", ":"))
        try:
            return await self._network.timer.wait_for(
                self._exchange(address, path, text), timeout_s
            )
        except errors.DeadlineExceededError:
            raise errors.PeerUnreachableError(f"{address}{path}: timeout") from None

    async def _exchange(self, address: str, path: str, text: str) -> Message:
        network = self._network
        if not await network.deliver(self.address, address, len(text)):
            await asyncio.get_running_loop().create_future()
        if network.find(self.address) is not self:
            await asyncio.get_running_loop().create_future()
        peer = network.find(address)
        if peer is None:
            raise errors.PeerUnreachableError(f"{address}{path}: refused", sent=False)
        if path not in peer.handlers:
            raise errors.UnknownPathError(f"{address}{path}: unknown", sent=False)
        # The handler continues after the caller times out, as over a real network.
        task = asyncio.ensure_future(peer.handlers[path](json.loads(text)))
        try:
            response = await asyncio.shield(task)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            raise errors.PeerUnreachableError(f"{address}{path}: {error!r}") from None
        response_text = encode_message(response)
        arrived = await network.deliver(address, self.address, len(response_text))
        if not arrived or network.find(address) is not peer:
            await asyncio.get_running_loop().create_future()
        return json.loads(response_text)
