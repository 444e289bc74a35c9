"""Socket options of all HTTP connections."""

from __future__ import annotations

import asyncio
import socket

from endivesill import events

__all__ = ["set_options"]

# Linux: a peer that acknowledges nothing for this long is gone.
USER_TIMEOUT_MS = 4_000
# Probes on an idle connection: it is gone after some seconds without an answer.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_PERIOD_S = 1
KEEP_ALIVE_PROBES = 3


def set_options(transport: asyncio.BaseTransport) -> None:
    """Set the socket options that show a silent peer."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PERIOD_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    except OSError as error:
        events.emit(events.TASK_FAILED, task="socket-options", error=repr(error))
