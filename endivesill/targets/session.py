"""HTTP client sessions to targets.

aiohttp sends idempotent methods a second time when a pooled connection breaks.
That is switched off here: only the entry decides what is sent again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

import aiohttp

from endivesill import errors

__all__ = [
    "StartCheckingConnector",
    "open_fresh_session",
    "open_session",
    "start_check",
]

POOLED_IDLE_S = 4.0
READ_BUFFER_BYTES = 1 << 18

_start_check: ContextVar[Callable[[], bool] | None] = ContextVar(
    "start_check", default=None
)


@contextmanager
def start_check(check: Callable[[], bool] | None) -> Iterator[None]:
    """Ask a check between connecting and the first byte of a request.

    Args:
      check: tells whether the request may still start; None asks nothing.
    """
    token = _start_check.set(check)
    try:
        yield
    finally:
        _start_check.reset(token)


class StartCheckingConnector(aiohttp.TCPConnector):
    """A connector that asks the start check once it is connected."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list,
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Connect, then ask the start check.

        Raises:
          GrantExpiredError: the request may not start any more.
        """
        connection = await super().connect(req, traces, timeout)
        check = _start_check.get()
        if check is not None and not check():
            connection.close()
            raise errors.GrantExpiredError("the grant ended before the first byte")
        return connection


def open_session() -> aiohttp.ClientSession:
    """Return a session that keeps idle connections for a short time."""
    return _session(
        StartCheckingConnector(
            limit=0, limit_per_host=0, keepalive_timeout=POOLED_IDLE_S
        )
    )


def open_fresh_session() -> aiohttp.ClientSession:
    """Return a session that opens a connection for each request."""
    return _session(StartCheckingConnector(limit=0, limit_per_host=0, force_close=True))


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    # There is no public switch; tests/test_targets.py shows that it works.
    session._retry_connection = False
    return session
