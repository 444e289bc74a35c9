"""Free ports of loopback for processes that are stopped and started again."""

from __future__ import annotations

import random
import socket

__all__ = ["free_ports"]

PORT_RANGE = range(20_000, 32_000)


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that were free a moment ago.

    They lie under the range that systems give to outgoing connections, which
    could otherwise take a port while its process is down.
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
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
