"""Free loopback ports for processes that are restarted on the same port."""

from __future__ import annotations

import random
import socket

__all__ = ["free_ports"]

PORT_RANGE = range(20_000, 32_000)


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are currently free for TCP and UDP.

    The ports are below the ephemeral range, from which an outgoing connection could
    take a port while the process that uses it is down.
    """
    ports: list[int] = []
    for port in random.sample(PORT_RANGE, len(PORT_RANGE)):
        if len(ports) == count:
            break
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe_socket:
            try:
                probe_socket.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
