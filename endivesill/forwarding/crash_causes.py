"""What a request may crash engines by: parts of its prompt, or itself as a whole."""

from __future__ import annotations

import hashlib

from endivesill.fleet.request_causes import request_cause
from endivesill.forwarding.protocol import RequestInfo
from endivesill.http1 import Exchange

__all__ = ["crash_causes", "request_digests"]

DIGEST_BYTES = 12


def crash_causes(
    info: RequestInfo, exchange: Exchange, organisation: str
) -> tuple[str, ...]:
    """Return the causes by which a request may crash engines.

    Args:
      info: what routing needs of its head.
      exchange: the exchange with its caller.
      organisation: who sent it; empty if no key is needed.
    """
    return (*info.shared_parts, *request_digests(info, exchange, organisation))


def request_digests(
    info: RequestInfo, exchange: Exchange, organisation: str
) -> tuple[str, ...]:
    """Return digests that are the same whenever a request comes again.

    One is of the caller, the path, the prompt and the body. For a request with a query,
    another one is of these and the query: a caller may vary the query of one request,
    or send sound requests that differ by it alone.
    """
    path, _, query = exchange.target.partition(b"?")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    prompt = ",".join(identity for identity, _ in info.prefix)
    fields = (
        organisation.encode(),
        exchange.method.encode(),
        exchange.header(b"host").lower(),
        path,
        prompt.encode(),
        exchange.body,
    )
    for field in fields:
        digest.update(b"%d:" % len(field))
        digest.update(field)
    without_query = digest.hexdigest()
    if not query:
        return (request_cause(without_query),)
    digest.update(query)
    return (
        request_cause(without_query),
        request_cause(without_query, digest.hexdigest()),
    )
