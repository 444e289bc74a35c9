"""The parts of a request while they come in, with the limits on them."""

from __future__ import annotations

import array

from endivesill.http1.exchange import ConnectionLimits
from endivesill.http1.head import Headers

__all__ = ["BODY_COPIES", "RequestBuffer"]

# Bytes of a header line besides its name and value: the colon and the line end.
LINE_FRAMING_BYTES = 3
# Memory of one header line besides its bytes: a tuple, two byte strings, and its place
# in a list.
HEADER_LINE_BYTES = 160
# Lines that are kept as a list; the objects of further ones are made once the request
# is complete. Ordinary requests have fewer.
MAX_LISTED_LINES = 64
# Copies of a body in memory while a request is sent on: the body, the message to the
# target, and that message in a send buffer.
BODY_COPIES = 3


class RequestBuffer:
    """One incomplete request.

    Attributes:
      target: the request target, as far as it came.
      body: the body, as far as it came.
      head_bytes: bytes received before the body.
      in_body: whether the head is complete.
    """

    def __init__(self) -> None:
        self.target = b""
        self.body = bytearray()
        self.head_bytes = 0
        self.in_body = False
        self._headers: Headers = []
        # Names and values of the header lines after the first ones, and their lengths.
        self._packed = bytearray()
        self._lengths: array.array[int] | None = None
        self._field_bytes = 0

    def headers(self) -> Headers:
        """Return the complete header lines, in order."""
        if self._lengths is None:
            return self._headers
        headers = list(self._headers)
        packed, start = bytes(self._packed), 0
        lengths = iter(self._lengths)
        for name_bytes, value_bytes in zip(lengths, lengths, strict=True):
            value_start = start + name_bytes
            end = value_start + value_bytes
            headers.append((packed[start:value_start], packed[value_start:end]))
            start = end
        return headers

    @property
    def _lines(self) -> int:
        packed = len(self._lengths) // 2 if self._lengths is not None else 0
        return len(self._headers) + packed

    @property
    def memory_bytes(self) -> int:
        """What the incomplete request takes in memory."""
        head_bytes = len(self.target) + self._field_bytes
        head_bytes += HEADER_LINE_BYTES * len(self._headers)
        if self._lengths is not None:
            head_bytes += self._lengths.itemsize * len(self._lengths)
        return head_bytes + BODY_COPIES * len(self.body)

    @property
    def whole_memory_bytes(self) -> int:
        """What it takes in memory from its end to its response."""
        head_bytes = len(self.target) + self._field_bytes
        head_bytes += HEADER_LINE_BYTES * self._lines
        return head_bytes + BODY_COPIES * len(self.body)

    def add_header(self, name: bytes, value: bytes, limits: ConnectionLimits) -> bool:
        """Add a header line; return whether the head is within its limits."""
        if len(self._headers) < MAX_LISTED_LINES:
            self._headers.append((name, value))
        else:
            if self._lengths is None:
                self._lengths = array.array("I")
            self._packed += name
            self._packed += value
            self._lengths.extend((len(name), len(value)))
        self._field_bytes += len(name) + len(value) + LINE_FRAMING_BYTES
        return self._field_bytes <= limits.header_bytes

    def add_body(self, data: bytes, limits: ConnectionLimits) -> bool:
        """Add a part of the body; return whether it is within its limits."""
        self.body += data
        return len(self.body) <= limits.body_bytes
