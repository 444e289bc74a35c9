"""Socket filters that drop what comes from some hosts, as a broken link would.

A filter on a listening socket also drops the first packet of new connections.
"""

from __future__ import annotations

import contextlib
import ctypes
import socket
import struct
from collections.abc import Iterable
from typing import Any

__all__ = ["drop_packets_from"]

# Of Linux; the module `socket` does not name them.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# Instructions of classic BPF: load a word, compare it, return.
LOAD_WORD = 0x20
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
# Offset of the source address in the IPv4 header (SKF_NET_OFF + 12).
SOURCE_ADDRESS = (-0x100000 + 12) & 0xFFFFFFFF
WHOLE_PACKET = 0xFFFFFFFF


def _instruction(code: int, if_true: int, if_false: int, value: int) -> bytes:
    return struct.pack("HBBI", code, if_true, if_false, value)


def drop_packets_from(sock: Any, hosts: Iterable[str]) -> None:
    """Drop all packets that a socket gets from these hosts from now on.

    Args:
      sock: the socket; a filter that it has is replaced.
      hosts: IPv4 addresses, at most 200; none lifts the filter.
    """
    addresses = [struct.unpack("!I", socket.inet_aton(host))[0] for host in hosts]
    if not addresses:
        # ENOENT: the socket has no filter.
        with contextlib.suppress(FileNotFoundError):
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    program = [_instruction(LOAD_WORD, 0, 0, SOURCE_ADDRESS)]
    for position, address in enumerate(addresses):
        to_drop = len(addresses) - position
        program.append(_instruction(JUMP_IF_EQUAL, to_drop, 0, address))
    program.append(_instruction(RETURN, 0, 0, WHOLE_PACKET))
    program.append(_instruction(RETURN, 0, 0, 0))
    code = ctypes.create_string_buffer(b"".join(program))
    header = struct.pack("HL", len(program), ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, header)
