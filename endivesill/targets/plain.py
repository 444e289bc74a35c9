"""The adapter to plain services: passes calls through unchanged."""

from __future__ import annotations

from collections.abc import Iterable

import aiohttp
import attrs
import yarl

from endivesill import errors
from endivesill.configuration.model import Target
from endivesill.targets.adapter import CONNECT_TIMEOUT_S, TargetAdapter, adapter

__all__ = ["PlainAdapter", "PlainAnswer", "PlainCall", "end_to_end_headers"]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

Header = tuple[str, str]


@attrs.frozen
class PlainCall:
    """A caller's call to a plain service.

    Attributes:
      method: the HTTP method.
      path: path and query as the caller sent them, without the service prefix.
      headers: the end-to-end headers, in order.
      body: the whole body.
      attempt_id: unique to this attempt.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    attempt_id: str


@attrs.frozen
class PlainAnswer:
    """A plain service's whole answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


def end_to_end_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return headers without the hop-by-hop ones and those Connection names."""
    pairs = list(headers)
    named = {
        word.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for word in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return tuple((n, v) for n, v in pairs if n.lower() not in dropped)


@adapter("plain")
class PlainAdapter(TargetAdapter):
    """Passes calls to plain services."""

    async def call(
        self, target: Target, call: PlainCall, timeout_s: float
    ) -> PlainAnswer:
        """Send one call and return the answer.

        Raises:
          TargetRefusedError: no connection was made, so it has not run.
          TargetError: it may have run.
        """
        headers = [*call.headers, ("X-Attempt-Id", call.attempt_id)]
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(timeout_s, CONNECT_TIMEOUT_S)
        )
        try:
            async with self.session.request(
                call.method,
                yarl.URL(target.url + call.path, encoded=True),
                data=call.body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                skip_auto_headers=("User-Agent", "Accept", "Content-Type"),
            ) as response:
                body = await response.read()
                pairs = ((k, v) for k, v in response.headers.items())
                return PlainAnswer(response.status, end_to_end_headers(pairs), body)
        except aiohttp.ClientConnectorError as error:
            raise errors.TargetRefusedError(f"no connection: {error}") from None
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.TargetError(f"no whole answer: {error!r}") from None
