"""Peers over HTTP with JSON on plain asyncio connections.

The sibling of `HttpPeerTransport` for processes that must start fast and stay
small. It has no key: the platform gives its machines a network of their own.
"""

from __future__ import annotations

import asyncio
import json

from endivesill import errors, events
from endivesill.http1 import (
    ConnectionLimits,
    ConnectionPool,
    Exchange,
    HttpListener,
    UpstreamError,
    encode_head,
)
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["LinkPeerTransport"]

# A connection between VMs takes a few milliseconds; more means a lost packet.
CONNECT_TIMEOUT_S = 0.5
LONGEST_IDLE_S = 10.0
# Snapshots are sent in chunks, so that no message comes near this.
BODY_LIMIT_BYTES = 16_777_216
PEER_LIMITS = ConnectionLimits(
    body_bytes=BODY_LIMIT_BYTES, idle_timeout_s=2 * LONGEST_IDLE_S
)


class LinkPeerTransport(PeerTransport):
    """Peers over plain connections.

    Args:
      timer: the timer service.
      address: this process's HOST:PORT for peers.
    """

    def __init__(self, timer: TimerService, address: str) -> None:
        super().__init__(address)
        self._timer = timer
        self._listener = HttpListener(timer, address, self._answer, PEER_LIMITS)
        self._cancelled_paths: set[str] = set()
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, LONGEST_IDLE_S)

    def cancel_with_caller(self, path: str) -> None:
        """Cancel the handlers of a path whose caller has given up."""
        self._cancelled_paths.add(path)

    async def start(self) -> None:
        """Listen."""
        await self._listener.start()

    async def close(self) -> None:
        """Stop listening and close the client's connections."""
        await self._listener.stop()
        self._pool.close()

    async def _answer(self, exchange: Exchange) -> None:
        path = exchange.target.decode("latin-1")
        handler = self.handlers.get(path)
        if handler is None:
            exchange.respond(404, [])
            return
        try:
            message = json.loads(exchange.body)
        except ValueError:
            exchange.respond(400, [])
            return
        task = asyncio.current_task()
        if task is not None and path in self._cancelled_paths:
            exchange.on_disconnect = task.cancel
        try:
            answer = await handler(message)
        except Exception as error:
            name = f"peer-handler {path}"
            events.emit(events.TASK_FAILED, task=name, error=repr(error))
            exchange.respond(500, [])
            return
        exchange.respond(200, [], json.dumps(answer, separators=(",", ":")).encode())

    async def call(
        self, address: str, path: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; see the base class."""
        body = json.dumps(message, separators=(",", ":")).encode()
        headers = [
            (b"Host", address.encode()),
            (b"Content-Length", b"%d" % len(body)),
        ]
        data = encode_head(b"POST " + path.encode() + b" HTTP/1.1", headers) + body
        try:
            return await self._timer.wait_for(
                self._exchange(address, path, data), timeout_s
            )
        except errors.DeadlineExceededError:
            raise errors.PeerUnreachableError(f"{address}{path}: timeout") from None

    async def _exchange(self, address: str, path: str, data: bytes) -> Message:
        try:
            head, body = await self._pool.exchange(address, data)
        except UpstreamError as error:
            raise errors.PeerUnreachableError(
                f"{address}{path}: {error}", sent=error.sent
            ) from None
        if head.status != 200:
            raise errors.PeerUnreachableError(f"{address}{path}: {head.status}")
        try:
            return json.loads(body)
        except ValueError as error:
            raise errors.PeerUnreachableError(f"{address}{path}: {error}") from None
