"""A peer transport over HTTP with JSON on the package `http1`.

An alternative to `HttpPeerTransport` for processes that must start fast and use
little memory. It uses no key, since the platform isolates the network of its
machines.
"""

from __future__ import annotations

import asyncio
import json

from endivesill import errors, events
from endivesill.http1 import (
    CallerBudget,
    ConnectionLimits,
    ConnectionPool,
    Exchange,
    HttpListener,
    UpstreamError,
    encode_head,
)
from endivesill.http1.request_buffer import BODY_COPIES
from endivesill.json_text import parse_json
from endivesill.peers import Message, PeerTransport, encode_message
from endivesill.timer import TimerService

__all__ = ["LinkPeerTransport"]

# Connecting to another VM takes a few milliseconds unless a packet is lost.
CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_S = 10.0
# Snapshots are sent in chunks, so all messages are far smaller than this.
MAX_BODY_BYTES = 16_777_216
# Part of a process's memory for what it holds of its peers' messages, and at least
# one message of the greatest length.
PEER_MEMORY_FRACTION = 0.2
MIN_PEER_BYTES = BODY_COPIES * MAX_BODY_BYTES
PEER_CONNECTION_LIMITS = ConnectionLimits(
    body_bytes=MAX_BODY_BYTES, idle_timeout_s=2 * MAX_IDLE_S
)


class LinkPeerTransport(PeerTransport):
    """A peer transport over HTTP without TLS and without a key.

    Args:
      timer: the timer service.
      address: the HOST:PORT at which peers reach this process.
      memory_bytes: memory of the process; 0 if unknown.
    """

    def __init__(
        self, timer: TimerService, address: str, memory_bytes: float = 0.0
    ) -> None:
        super().__init__(address)
        self._timer = timer
        self._listener = HttpListener(
            timer,
            address,
            self._handle_call,
            PEER_CONNECTION_LIMITS,
            CallerBudget(
                timer,
                max(memory_bytes, MIN_PEER_BYTES / PEER_MEMORY_FRACTION),
                memory_fraction=PEER_MEMORY_FRACTION,
            ),
        )
        self._cancel_on_disconnect_paths: set[str] = set()
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, MAX_IDLE_S)

    def cancel_on_disconnect(self, path: str) -> None:
        """Cancel a handler of this path when its caller disconnects."""
        self._cancel_on_disconnect_paths.add(path)

    async def start(self) -> None:
        """Start listening.

        Raises:
          OSError: the address cannot be bound.
        """
        await self._listener.start()

    async def close(self) -> None:
        """Stop listening and close the connections of outgoing calls."""
        await self._listener.stop()
        self._pool.close()

    async def _handle_call(self, exchange: Exchange) -> None:
        path = exchange.target.decode("latin-1")
        handler = self.handlers.get(path)
        if handler is None:
            exchange.respond(404, [])
            return
        try:
            message = parse_json(exchange.body)
        except ValueError:
            exchange.respond(400, [])
            return
        task = asyncio.current_task()
        if task is not None and path in self._cancel_on_disconnect_paths:
            exchange.on_disconnect = task.cancel
        try:
            response = await handler(message)
        except Exception as error:
            name = f"peer-handler {path}"
            events.emit(events.TASK_FAILED, task=name, error=repr(error))
            exchange.respond(500, [])
            return
        exchange.respond(200, [], encode_message(response).encode())

    async def call(
        self, address: str, path: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a path of a peer; see `PeerTransport.call`."""
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
            head, body = await self._pool.exchange(
                address, data, max_body_bytes=MAX_BODY_BYTES
            )
        except UpstreamError as error:
            raise errors.PeerUnreachableError(
                f"{address}{path}: {error}", sent=error.sent
            ) from None
        if head.status == 404:
            raise errors.UnknownPathError(f"{address}{path}: unknown", sent=False)
        if head.status != 200:
            raise errors.PeerUnreachableError(f"{address}{path}: {head.status}")
        try:
            return parse_json(body)
        except ValueError as error:
            raise errors.PeerUnreachableError(f"{address}{path}: {error}") from None
