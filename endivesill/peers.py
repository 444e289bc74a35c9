"""Messages between the system's own processes.

A transport answers paths and calls other VMs' paths. `HttpPeerTransport`
(`http_peers.py`) is HTTP with JSON; `MemoryPeerTransport` is its sibling for
tests, over a `MemoryNetwork` that delays, drops and cuts.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

from endivesill import errors
from endivesill.timer import TimerService

__all__ = [
    "MemoryNetwork",
    "MemoryPeerTransport",
    "Message",
    "PeerTransport",
]

Message = dict[str, Any]
Handler = Callable[[Message], Awaitable[Message]]


class PeerTransport:
    """Base of the transports.

    Attributes:
      address: the peer address under which others reach this process.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.handlers: dict[str, Handler] = {}

    def handle(self, path: str, handler: Handler) -> None:
        """Answer calls to a path; a handler takes and returns a JSON object."""
        if path in self.handlers:
            raise errors.EndivesillError(f"peer path {path} is taken")
        self.handlers[path] = handler

    async def call(
        self, address: str, path: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer.

        Raises:
          PeerUnreachableError: no answer in time, or an error answer. The
            message may have been handled all the same.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Close what is open."""


class MemoryNetwork:
    """The network between `MemoryPeerTransport`s.

    Args:
      timer: the timer that delays are taken on.
      seed: seed of the drops and of the delays' spread.

    Attributes:
      delay_s: one-way delay of each message.
      jitter_s: how much is added at most to each delay.
      loss: the share of messages that are lost, each way.
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
        """Return a new transport at an address; it replaces an earlier one."""
        transport = MemoryPeerTransport(address, self)
        self._transports[address] = transport
        return transport

    def remove(self, address: str) -> None:
        """Take a process off the network, as when it dies."""
        self._transports.pop(address, None)

    def cut(self, source: str, destination: str, *, both: bool = True) -> None:
        """Lose every message from one address to the other."""
        self._cut.add((source, destination))
        if both:
            self._cut.add((destination, source))

    def isolate(self, address: str) -> None:
        """Cut an address off from all others."""
        for other in list(self._transports):
            if other != address:
                self.cut(address, other)

    def heal(self) -> None:
        """Undo all cuts."""
        self._cut.clear()

    async def deliver(self, source: str, destination: str, size: int) -> bool:
        """Carry one message; return whether it arrives."""
        self.messages += 1
        self.bytes += size
        delay_s = self.delay_s + self.jitter_s * self._random.random()
        lost = self._random.random() < self.loss
        await self.timer.sleep(delay_s)
        return not lost and (source, destination) not in self._cut

    def find(self, address: str) -> MemoryPeerTransport | None:
        """Return the transport at an address."""
        return self._transports.get(address)


class MemoryPeerTransport(PeerTransport):
    """Peers in one process, over a memory network."""

    def __init__(self, address: str, network: MemoryNetwork) -> None:
        super().__init__(address)
        self._network = network

    async def call(
        self, address: str, path: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; see the base class."""
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
        if peer is None or path not in peer.handlers:
            raise errors.PeerUnreachableError(f"{address}{path}: refused", sent=False)
        # The handler goes on when the caller gives up, as over a real network.
        task = asyncio.ensure_future(peer.handlers[path](json.loads(text)))
        try:
            answer = await asyncio.shield(task)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            raise errors.PeerUnreachableError(f"{address}{path}: {error!r}") from None
        reply = json.dumps(answer, separators=(",", ":"))
        arrived = await network.deliver(address, self.address, len(reply))
        if not arrived or network.find(address) is not peer:
            await asyncio.get_running_loop().create_future()
        return json.loads(reply)
