"""Calls about roll-outs, for the command-line tool."""

from __future__ import annotations

import json
import urllib.parse

from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError, encode_head
from endivesill.json_text import parse_document
from endivesill.platform import wire
from endivesill.timer import TimerService

__all__ = ["read_rollout", "start_rollout"]

CALL_TIMEOUT_S = 5.0


async def start_rollout(
    timer: TimerService, address: str, service: str, version: str, duration_s: float
) -> None:
    """Start a roll-out at the control VM at HOST:PORT.

    Raises:
      OrderError: it was rejected.
      UnavailableError: it may not have been started.
    """
    order = {"service": service, "target": version, "duration_s": duration_s}
    await _call(timer, address, b"POST", wire.START_ROLLOUT_PATH, order)


async def read_rollout(
    timer: TimerService, address: str, service: str
) -> tuple[str, str]:
    """Return the state of a service's newest roll-out, and its version.

    Raises:
      OrderError: there is none.
      UnavailableError: it is not known whether it is the newest.
    """
    path = wire.GET_ROLLOUT_PREFIX + urllib.parse.quote(service).encode()
    document = await _call(timer, address, b"GET", path, None)
    return document["state"], document["target"]


async def _call(
    timer: TimerService, address: str, method: bytes, path: bytes, order: dict | None
) -> dict:
    body = b"" if order is None else json.dumps(order).encode()
    headers = [(b"Host", address.encode()), (b"Content-Length", b"%d" % len(body))]
    request = encode_head(b"%b %b HTTP/1.1" % (method, path), headers) + body
    pool = ConnectionPool(timer, CALL_TIMEOUT_S, 0.0)
    try:
        head, answer = await timer.wait_for(
            pool.exchange(address, request), CALL_TIMEOUT_S
        )
        document = parse_document(answer)
    except (UpstreamError, errors.DeadlineExceededError, ValueError) as error:
        raise errors.UnavailableError(f"{address}: {error}") from None
    if head.status == 200:
        return document
    text = f"{address}: {document.get('error', head.status)}"
    if head.status < 500:
        raise errors.OrderError(text)
    raise errors.UnavailableError(text)
