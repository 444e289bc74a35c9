"""Messages between entries: requests to targets that another entry sends.

The body of a request to a proxy is the encoded request for the target. The response
has the head of the target's response, its status in a field, and its body in chunks; a
trailer says whether the body is complete. So the end of the proxy is not taken for the
end of a response, or for a failure of the target.
"""

from __future__ import annotations

import attrs

from endivesill.http1 import (
    Exchange,
    Headers,
    ResponseHead,
    SendError,
    SendFailure,
    UpstreamError,
    encode_head,
    is_final_status,
    strip_hop_by_hop,
)

__all__ = [
    "COMPLETE",
    "END_TRAILER",
    "PROXY_PATH",
    "ProxyLostError",
    "ProxyRequest",
    "ProxyUnavailableError",
    "broken_trailer",
    "complete_trailer",
    "decode_proxy_head",
    "decode_proxy_request",
    "encode_proxy_request",
    "failure_headers",
    "response_headers",
]

PROXY_PATH = b"/proxy"
# Prefix of the fields that only these messages have.
FIELD_PREFIX = b"entry-proxy-"
ADDRESS = b"entry-proxy-address"
INCARNATION = b"entry-proxy-incarnation"
ATTEMPT_ID = b"entry-proxy-attempt-id"
# Milliseconds: longest idle time of a connection to the target, and time limit.
MAX_IDLE_MS = b"entry-proxy-max-idle-ms"
TIMEOUT_MS = b"entry-proxy-timeout-ms"
# What the request is for: see `ProxyRequest`.
FLAGS = b"entry-proxy-flags"
ORDER_FLAG = b"order"
CHECK_FLAG = b"check"
STOP_FLAG = b"stop"
NO_BODY_FLAG = b"no-body"
STATUS = b"entry-proxy-status"
FRAMED = b"entry-proxy-framed"
FAILURE = b"entry-proxy-failure"
REFUSED = b"entry-proxy-refused"
# Value of `FAILURE` if the entry did not try; other values are those of `SendFailure`.
UNAVAILABLE = b"unavailable"
END_TRAILER = b"entry-proxy-end"
COMPLETE = b"complete"
BROKEN = b"broken"
MS_PER_S = 1_000.0
# Longest time in a message.
MAX_TIME_MS = 3_600_000


class ProxyUnavailableError(UpstreamError):
    """An entry did not send a request to the target; another one may."""


class ProxyLostError(UpstreamError):
    """The connection to the proxy ended; the target may run the request."""


@attrs.frozen
class ProxyRequest:
    """What the proxy needs beside the encoded request.

    Attributes:
      address: HOST:PORT of the target.
      incarnation: the target.
      attempt_id: id by which a response is recognised; empty for any response.
      max_idle_s: longest idle time of the connection to use; None for the pool's limit.
      timeout_s: time limit.
      is_order: whether it is an order to an engine, which a leaving one gets as well.
      is_check: whether only a connection is established.
      no_body: whether the response has no body, regardless of its head (HEAD).
      stops_run: whether it is an order to stop a run, which nothing holds back.
    """

    address: str
    incarnation: str
    attempt_id: str
    max_idle_s: float | None
    timeout_s: float
    is_order: bool = False
    is_check: bool = False
    no_body: bool = False
    stops_run: bool = False


def encode_proxy_request(peer: str, request: ProxyRequest, data: bytes) -> bytes:
    """Return the message that asks a peer to send a request to a target."""
    flags = [
        flag
        for flag, is_set in (
            (ORDER_FLAG, request.is_order),
            (CHECK_FLAG, request.is_check),
            (NO_BODY_FLAG, request.no_body),
            (STOP_FLAG, request.stops_run),
        )
        if is_set
    ]
    headers = [
        (b"Host", peer.encode()),
        (ADDRESS, request.address.encode()),
        (INCARNATION, request.incarnation.encode()),
        (ATTEMPT_ID, request.attempt_id.encode("latin-1")),
        (TIMEOUT_MS, b"%d" % (request.timeout_s * MS_PER_S)),
        (FLAGS, b",".join(flags)),
        (b"Content-Length", b"%d" % len(data)),
    ]
    if request.max_idle_s is not None:
        headers.append((MAX_IDLE_MS, b"%d" % (request.max_idle_s * MS_PER_S)))
    return encode_head(b"POST " + PROXY_PATH + b" HTTP/1.1", headers) + data


def decode_proxy_request(exchange: Exchange) -> ProxyRequest | None:
    """Return the fields of a request to a proxy; None if it is invalid."""
    address = exchange.header(ADDRESS).decode("latin-1")
    incarnation = exchange.header(INCARNATION).decode("latin-1")
    timeout = exchange.header(TIMEOUT_MS)
    max_idle = exchange.header(MAX_IDLE_MS)
    is_valid = (
        exchange.method == "POST"
        and exchange.target == PROXY_PATH
        and bool(address and incarnation)
        and _is_time(timeout)
        and (not max_idle or _is_time(max_idle))
    )
    if not is_valid:
        return None
    flags = exchange.header(FLAGS).split(b",")
    return ProxyRequest(
        address=address,
        incarnation=incarnation,
        attempt_id=exchange.header(ATTEMPT_ID).decode("latin-1"),
        max_idle_s=int(max_idle) / MS_PER_S if max_idle else None,
        timeout_s=int(timeout) / MS_PER_S,
        is_order=ORDER_FLAG in flags,
        is_check=CHECK_FLAG in flags,
        no_body=NO_BODY_FLAG in flags,
        stops_run=STOP_FLAG in flags,
    )


def _is_time(value: bytes) -> bool:
    return value.isdigit() and len(value) < 10 and int(value) <= MAX_TIME_MS


def response_headers(head: ResponseHead) -> Headers:
    """Return the headers that pass on the head of a target's response."""
    end_to_end = [
        (name, value)
        for name, value in strip_hop_by_hop(head.headers)
        if not name.lower().startswith(FIELD_PREFIX)
    ]
    return [
        (STATUS, b"%d" % head.status),
        (FRAMED, b"1" if head.framed else b"0"),
        *end_to_end,
    ]


def failure_headers(
    failure: SendFailure | None, *, is_refused: bool = False
) -> Headers:
    """Return the headers that say why there is no response.

    Args:
      failure: why; None if the entry did not try.
      is_refused: whether the target's host has refused the connection.
    """
    name = UNAVAILABLE if failure is None else failure.value.encode()
    return [(FAILURE, name), (REFUSED, b"1" if is_refused else b"0")]


def complete_trailer() -> Headers:
    """Return the trailer after a complete body."""
    return [(END_TRAILER, COMPLETE)]


def broken_trailer() -> Headers:
    """Return the trailer after a body that the target broke off."""
    return [(END_TRAILER, BROKEN)]


def decode_proxy_head(head: ResponseHead) -> ResponseHead:
    """Return the head of the target's response.

    Raises:
      ProxyUnavailableError: the entry did not try to send the request.
      SendError: the target has not responded.
      ProxyLostError: the message is invalid.
    """
    failure = head.header(FAILURE)
    # Other statuses come before the request is handled.
    if failure == UNAVAILABLE or head.status != 200:
        detail = f"the entry sends nothing for others now: {head.status}"
        raise ProxyUnavailableError(detail, sent=False)
    if failure:
        raise _send_error(failure, is_refused=head.header(REFUSED) == b"1")
    status = head.header(STATUS)
    if not (status.isdigit() and len(status) == 3 and is_final_status(int(status))):
        raise ProxyLostError(f"no status: {status!r}", sent=True)
    headers = [
        (name, value)
        for name, value in strip_hop_by_hop(head.headers)
        if not name.lower().startswith(FIELD_PREFIX)
    ]
    return ResponseHead(int(status), headers, head.header(FRAMED) == b"1")


def _send_error(failure: bytes, *, is_refused: bool) -> UpstreamError:
    try:
        known = SendFailure(failure.decode("latin-1"))
    except ValueError:
        return ProxyLostError(f"unknown failure {failure!r}", sent=True)
    detail = f"{known.value} at the proxy"
    return SendError(known, detail, is_refused=is_refused)
