"""Responses of peers, as they are received."""

from __future__ import annotations

import attrs

from endivesill.http1.head import Headers, header_value

__all__ = ["ReceivedResponse", "ResponseHead", "is_final_status"]

# RFC 9110, section 15: an interim status is below, and none is above.
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether a status may end an exchange; other ones are no answer."""
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


@attrs.frozen
class ResponseHead:
    """The head of a response.

    Attributes:
      status: the status code.
      headers: the headers as received, in order.
      framed: whether the end of the body is known without the end of the
        connection.
    """

    status: int
    headers: Headers
    framed: bool

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header (name in lower case), or empty bytes."""
        return header_value(self.headers, name)


@attrs.define(eq=False)
class ReceivedResponse:
    """A response that is being received.

    Attributes:
      headers: the headers received so far.
      field_count: number of header and trailer fields, interim responses included.
      head: the head; None until it is complete.
      trailers: the trailer fields received so far.
      body: the received part of the body that has not been read.
      is_complete: whether the response has ended as its framing specifies.
    """

    headers: Headers = attrs.Factory(list)
    field_count: int = 0
    head: ResponseHead | None = None
    trailers: Headers = attrs.Factory(list)
    body: bytearray = attrs.Factory(bytearray)
    is_complete: bool = False
