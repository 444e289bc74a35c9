"""Asks a process where a request would be placed now, for the command-line tool."""

from __future__ import annotations

import urllib.parse
from collections.abc import Mapping
from typing import Any

from endivesill import errors
from endivesill.http1 import ConnectionPool, UpstreamError, encode_head
from endivesill.json_text import parse_document
from endivesill.metrics_port import METRICS_PORT, PLACEMENT_PATH
from endivesill.timer import TimerService

__all__ = ["format_placement", "read_placement"]

CALL_TIMEOUT_S = 5.0


async def read_placement(
    timer: TimerService, host: str, fields: Mapping[str, str]
) -> dict[str, Any]:
    """Return what a process answers; see `PlacementQuery.read` for the fields.

    Args:
      timer: the timer service.
      host: HOST or HOST:PORT of a control VM for generations, of an entry for plain
        requests.
      fields: the request that is asked about.

    Raises:
      OrderError: it cannot say, as it does not lead or does not know the service.
      UnavailableError: it does not answer.
    """
    address = host if ":" in host else f"{host}:{METRICS_PORT}"
    path = PLACEMENT_PATH + b"?" + urllib.parse.urlencode(fields).encode()
    request = encode_head(b"GET %b HTTP/1.1" % path, [(b"Host", address.encode())])
    pool = ConnectionPool(timer, CALL_TIMEOUT_S, 0.0)
    try:
        _, answer = await timer.wait_for(
            pool.exchange(address, request), CALL_TIMEOUT_S
        )
        document = parse_document(answer)
    except (UpstreamError, errors.DeadlineExceededError, ValueError) as error:
        raise errors.UnavailableError(f"{address}: {error}") from None
    if "error" in document:
        raise errors.OrderError(f"{address}: {document['error']}")
    return document


def format_placement(document: Mapping[str, Any]) -> str:
    """Return an answer as text, a line for each candidate."""
    lines = [f"{document['outcome']}: {document['target'] or 'no target'}"]
    for name in ("ahead", "expected_wait_s", "knowledge_age_s"):
        if document.get(name) is not None:
            lines.append(f"{name}: {document[name]}")
    for candidate in document["candidates"]:
        terms = ", ".join(f"{n} {value}" for n, value in candidate["terms"].items())
        age = candidate["report_age_s"]
        lines.append(
            f"  {candidate['target']} in {candidate['data_centre']}: "
            f"{candidate['excluded'] or 'may be chosen'}; cost {candidate['cost_s']} s "
            f"({terms or 'none'}), {candidate['requests']} requests, "
            f"report {'none' if age is None else f'{age} s old'}"
        )
    return "\n".join(lines)
