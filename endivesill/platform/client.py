"""Asks the platform and its engines for what they say of themselves."""

from __future__ import annotations

from endivesill import errors
from endivesill.http1 import (
    ConnectionPool,
    ResponseHead,
    UpstreamError,
    encode_head,
)
from endivesill.timer import TimerService

__all__ = ["PlatformClient"]

CONNECT_TIMEOUT_S = 0.4
MAX_IDLE_S = 3.0


class PlatformClient:
    """Calls that only read.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, MAX_IDLE_S)

    async def get(self, address: str, path: str, timeout_s: float) -> bytes:
        """Return the body of a path at HOST:PORT.

        Raises:
          UnavailableError: there is none in time.
        """
        head, body = await self.ask(address, path, timeout_s)
        if head.status != 200:
            raise errors.UnavailableError(f"{address}{path}: status {head.status}")
        return body

    async def ask(
        self, address: str, path: str, timeout_s: float
    ) -> tuple[ResponseHead, bytes]:
        """Return the answer of a path at HOST:PORT, whatever its status.

        Raises:
          UnavailableError: there is none in time.
        """
        start = f"GET {path} HTTP/1.1".encode()
        request = encode_head(start, [(b"Host", address.encode())])
        try:
            return await self._timer.wait_for(
                self._pool.exchange(address, request), timeout_s
            )
        except (UpstreamError, errors.DeadlineExceededError) as error:
            raise errors.UnavailableError(f"{address}{path}: {error}") from None
