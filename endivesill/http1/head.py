"""Heads of HTTP messages, with headers as byte pairs in wire order."""

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

# RFC 9110, section 7.6.1, and `content-length`, which is set for each message.
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
REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def header_values(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> list[bytes]:
    """Return all values of a header; `name` must be in lower case."""
    return [value for header_name, value in headers if header_name.lower() == name]


def header_value(
    headers: Iterable[tuple[bytes, bytes]], name: bytes, default: bytes = b""
) -> bytes:
    """Return the first value of a header; `name` must be in lower case."""
    for header_name, value in headers:
        if header_name.lower() == name:
            return value
    return default


def strip_hop_by_hop(headers: Headers, kept_prefix: bytes = b"x-") -> Headers:
    """Return the end-to-end headers.

    Args:
      headers: the headers of a message.
      kept_prefix: headers with this prefix are kept even if `Connection` names
        them, so that a caller cannot remove headers that engines rely on.
    """
    dropped = set(HOP_BY_HOP)
    for value in header_values(headers, b"connection"):
        for token in value.lower().split(b","):
            if not token.strip().startswith(kept_prefix):
                dropped.add(token.strip())
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def encode_head(start_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the encoded head, including the empty line."""
    lines = [start_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int) -> bytes:
    """Return the status line of a response, without the line end."""
    return b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Status"))
