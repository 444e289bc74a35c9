"""A peer transport over HTTP with JSON and a bearer key (aiohttp, starlette)."""

from __future__ import annotations

import collections
import json
from typing import Any

import aiohttp
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from endivesill import errors, events
from endivesill.json_text import parse_json
from endivesill.keys import KeyRing
from endivesill.peers import Message, PeerTransport

__all__ = ["MAX_BODY_BYTES", "HttpPeerTransport"]

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS_PER_PEER = 64
# Snapshots are sent in chunks, so all messages are far smaller than this.
MAX_BODY_BYTES = 16_777_216
PART_BYTES = 65_536

# Peers do not use these headers, which make up most of a small message.
OMITTED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

KEY_REFUSED = events.define(
    1010, "key-refused", "A call to a peer or operator port had no valid key."
)


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a response.

    Raises:
      ValueError: it is longer than any message.
    """
    body = bytearray()
    async for part in response.content.iter_chunked(PART_BYTES):
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise ValueError("the response is too long")
    return bytes(body)


class HttpPeerTransport(PeerTransport):
    """A peer transport over HTTP with JSON and a bearer key.

    Args:
      address: the HOST:PORT at which peers reach this process.
      keys: the keys of the peer port.
      scheme: `http` or `https`.
      ssl_context: the TLS context of outgoing calls; None for plain HTTP.

    Attributes:
      in_flight: number of calls that are being handled, by path.
    """

    def __init__(
        self,
        address: str,
        keys: KeyRing,
        scheme: str = "http",
        ssl_context: Any = None,
    ) -> None:
        super().__init__(address)
        self._keys = keys
        self._scheme = scheme
        self._ssl_context = ssl_context
        self._session: aiohttp.ClientSession | None = None
        self.in_flight: collections.Counter[str] = collections.Counter()

    def application(self) -> Starlette:
        """Return the ASGI application that handles calls from peers."""
        return Starlette(
            routes=[Route("/{path:path}", self._handle_call, methods=["POST"])]
        )

    async def _handle_call(self, request: Request) -> Response:
        if not self._keys.accepts(request.headers.get("authorization")):
            client = request.client.host if request.client else ""
            events.emit(KEY_REFUSED, port="peer", client=client)
            return Response(status_code=401)
        path = request.url.path
        handler = self.handlers.get(path)
        if handler is None:
            return Response(status_code=404)
        try:
            message = parse_json(await request.body())
        except ValueError:
            return Response(status_code=400)
        self.in_flight[path] += 1
        try:
            return JSONResponse(await handler(message))
        finally:
            self.in_flight[path] -= 1

    async def call(
        self, address: str, path: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a path of a peer; see `PeerTransport.call`."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                skip_auto_headers=OMITTED_HEADERS,
                connector=aiohttp.TCPConnector(
                    limit=0,
                    limit_per_host=MAX_CONNECTIONS_PER_PEER,
                    ssl=self._ssl_context,
                )
                if self._ssl_context
                else aiohttp.TCPConnector(
                    limit=0, limit_per_host=MAX_CONNECTIONS_PER_PEER
                ),
            )
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(timeout_s, CONNECT_TIMEOUT_S)
        )
        try:
            async with self._session.post(
                f"{self._scheme}://{address}{path}",
                data=json.dumps(message, separators=(",", ":")),
                headers={"Authorization": self._keys.authorization()},
                timeout=timeout,
            ) as response:
                body = await _read_bounded(response)
                if response.status != 200:
                    raise errors.PeerUnreachableError(
                        f"{address}{path} answered {response.status}"
                    )
                return parse_json(body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise errors.PeerUnreachableError(
                f"{address}{path}: {error!r}", sent=False
            ) from None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise errors.PeerUnreachableError(f"{address}{path}: {error!r}") from None

    async def close(self) -> None:
        """Close the connections of outgoing calls."""
        if self._session is not None:
            await self._session.close()
