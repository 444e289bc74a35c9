"""The parts of a request while they come in, with the limits on them."""

from __future__ import annotations

from endivesill.http1.exchange import ConnectionLimits
from endivesill.http1.head import Headers

__all__ = ["BODY_COPIES", "RequestBuffer", "body_memory_bytes"]

# Header lines of one request; a hundred is much for an ordinary client.
MAX_HEADER_LINES = 512
# Memory of one header line besides its bytes: a tuple, two byte strings, and its place
# in a list.
HEADER_LINE_BYTES = 160
# Copies of a body in memory while a request is sent on: the body, the message to the
# target, and that message in a send buffer.
BODY_COPIES = 3
# Pieces of a body, and their least mean size. A client that reads from a file or a
# socket sends pieces of kilobytes; each takes as long to handle as a kilobyte of data.
MAX_SMALL_PIECES = 16_384
MIN_MEAN_PIECE_BYTES = 16


def body_memory_bytes(body_bytes: int) -> int:
    """Return what a body takes in memory until its request is answered."""
    return BODY_COPIES * body_bytes


class RequestBuffer:
    """One incomplete request.

    Attributes:
      target: the request target, as far as it came.
      headers: the complete header lines.
      body: the body, as far as it came.
      head_bytes: bytes received before the body.
      in_body: whether the head is complete.
      pieces: pieces in which the body came.
    """

    def __init__(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.body = bytearray()
        self.head_bytes = 0
        self.in_body = False
        self.pieces = 0
        self._field_bytes = 0

    @property
    def head_memory_bytes(self) -> int:
        """What the head takes in memory."""
        lines = HEADER_LINE_BYTES * len(self.headers)
        return len(self.target) + self._field_bytes + lines

    @property
    def memory_bytes(self) -> int:
        """What the request takes in memory."""
        return self.head_memory_bytes + body_memory_bytes(len(self.body))

    def add_header(self, name: bytes, value: bytes, limits: ConnectionLimits) -> bool:
        """Add a header line; return whether the head is within its limits."""
        self.headers.append((name, value))
        self._field_bytes += len(name) + len(value)
        return (
            self._field_bytes <= limits.header_bytes
            and len(self.headers) <= MAX_HEADER_LINES
        )

    def add_body(self, data: bytes, limits: ConnectionLimits) -> bool:
        """Add a part of the body; return whether it is within its limits."""
        self.body += data
        self.pieces += 1
        is_split_finely = (
            self.pieces > MAX_SMALL_PIECES
            and len(self.body) < MIN_MEAN_PIECE_BYTES * self.pieces
        )
        return len(self.body) <= limits.body_bytes and not is_split_finely
