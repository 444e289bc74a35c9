"""Checks the health of engines."""

from __future__ import annotations

from collections.abc import Callable

from endivesill import errors
from endivesill.fleet.departures import HealthSource
from endivesill.fleet.model import EngineInfo
from endivesill.http1 import ResponseHead
from endivesill.platform import wire
from endivesill.platform.client import PlatformClient

__all__ = ["PlatformHealth", "decode_health"]

# A check takes a few milliseconds, and a second one follows soon.
CHECK_TIMEOUT_S = 0.5


def decode_health(head: ResponseHead, engine: EngineInfo) -> bool:
    """Tell whether an engine takes work, from the answer of its health check.

    Raises:
      UnavailableError: the answer does not tell.
    """
    identity = head.header(wire.INSTANCE_ID).decode("latin-1")
    if identity and identity != engine.identity:
        raise errors.UnavailableError(f"{engine.address} belongs to {identity}")
    if head.status == 200:
        return True
    # An engine whose queue is full rejects its check as it does any request.
    if head.status != 503 or head.header(wire.NOT_EXECUTED):
        raise errors.UnavailableError(f"{engine.address}: status {head.status}")
    return False


class PlatformHealth(HealthSource):
    """Asks engines by HTTP.

    Args:
      client: calls the engines.
      health_path: returns the path of a service's check.
    """

    def __init__(
        self, client: PlatformClient, health_path: Callable[[str], str]
    ) -> None:
        self._client = client
        self._health_path = health_path

    async def is_healthy(self, engine: EngineInfo) -> bool:
        """Check one engine; see the base class."""
        path = self._health_path(engine.service)
        head, _ = await self._client.ask(engine.address, path, CHECK_TIMEOUT_S)
        return decode_health(head, engine)
