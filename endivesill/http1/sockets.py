"""TCP options of HTTP client and server connections."""

from __future__ import annotations

import asyncio
import socket

from endivesill import events

__all__ = ["set_socket_options"]

# TCP_USER_TIMEOUT (Linux): longest time without an acknowledgement of sent data.
USER_TIMEOUT_MS = 4_000
# TCP keep-alive: an idle connection fails after a few seconds without a reply.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 3


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and detect unresponsive peers; log a failure."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    except OSError as error:
        events.emit(events.TASK_FAILED, task="socket-options", error=repr(error))
