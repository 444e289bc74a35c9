"""Heads of HTTP messages as lists of byte pairs, in the order of the wire."""

from __future__ import annotations

import http
from collections.abc import Iterable

__all__ = [
    "Headers",
    "encode_head",
    "header_value",
    "header_values",
    "strip_hop_by_hop",
]

Headers = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1; `content-length` is written anew for each message.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def header_values(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> list[bytes]:
    """Return all values of a header; `name` is in lower case."""
    return [value for key, value in headers if key.lower() == name]


def header_value(
    headers: Iterable[tuple[bytes, bytes]], name: bytes, default: bytes = b""
) -> bytes:
    """Return the first value of a header; `name` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return default


def strip_hop_by_hop(headers: Headers, kept_prefix: bytes = b"x-") -> Headers:
    """Return the end-to-end headers.

    Args:
      headers: a message's headers.
      kept_prefix: headers of this prefix stay although `Connection` names them,
        so that a caller cannot remove what the engines rely on.
    """
    dropped = set(HOP_BY_HOP)
    for value in header_values(headers, b"connection"):
        for token in value.lower().split(b","):
            if not token.strip().startswith(kept_prefix):
                dropped.add(token.strip())
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def encode_head(start_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes of a head, the empty line included."""
    lines = [start_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int) -> bytes:
    """Return the first line of a response."""
    return b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Status"))
