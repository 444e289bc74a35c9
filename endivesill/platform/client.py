"""HTTP client for read-only calls to the platform and its engines."""

from __future__ import annotations

from endivesill import errors
from endivesill.http1 import ConnectionPool, ResponseHead, UpstreamError, encode_head
from endivesill.http1.client import MAX_BODY_BYTES
from endivesill.timer import TimerService

__all__ = ["MAX_REPORT_BYTES", "PlatformClient"]

CONNECT_TIMEOUT_S = 0.4
MAX_IDLE_S = 3.0
# What an engine says of itself; all engines are asked at the same time.
MAX_REPORT_BYTES = 65_536


class PlatformClient:
    """Sends GET requests over pooled connections.

    Args:
      timer: the timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, MAX_IDLE_S)

    async def get(
        self,
        address: str,
        path: str,
        timeout_s: float,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> bytes:
        """Return the body of a 200 response from HOST:PORT.

        Raises:
          UnavailableError: the request failed or timed out, or the status is
            not 200.
        """
        head, body = await self.get_response(address, path, timeout_s, max_body_bytes)
        if head.status != 200:
            raise errors.UnavailableError(f"{address}{path}: status {head.status}")
        return body

    async def get_response(
        self,
        address: str,
        path: str,
        timeout_s: float,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> tuple[ResponseHead, bytes]:
        """Return the head and the body of a response from HOST:PORT, of any status.

        Raises:
          UnavailableError: the request failed or timed out.
        """
        request_line = f"GET {path} HTTP/1.1".encode()
        request = encode_head(request_line, [(b"Host", address.encode())])
        try:
            return await self._timer.wait_for(
                self._pool.exchange(address, request, max_body_bytes=max_body_bytes),
                timeout_s,
            )
        except (UpstreamError, errors.DeadlineExceededError) as error:
            raise errors.UnavailableError(f"{address}{path}: {error}") from None
