"""Health checks of engines over HTTP."""

from __future__ import annotations

from collections.abc import Callable

from endivesill import errors
from endivesill.fleet.departures import HealthSource
from endivesill.fleet.model import EngineInfo
from endivesill.http1 import ResponseHead
from endivesill.platform import wire
from endivesill.platform.client import MAX_REPORT_BYTES, PlatformClient

__all__ = ["PlatformHealth", "check_identity", "decode_health"]

# A check takes a few milliseconds, and the next one follows soon.
HEALTH_CHECK_TIMEOUT_S = 0.5


def check_identity(head: ResponseHead, engine: EngineInfo) -> None:
    """Check that the response to a health check is from the engine itself.

    Raises:
      UnavailableError: another instance answered.
    """
    identity = head.header(wire.INSTANCE_ID).decode("latin-1")
    if identity and identity != engine.identity:
        raise errors.UnavailableError(
            f"{engine.address}: answered by instance {identity}"
        )


def decode_health(head: ResponseHead, engine: EngineInfo) -> bool:
    """Return whether the response to a health check reports the engine as healthy.

    Raises:
      UnavailableError: another instance answered, or the status is inconclusive:
        neither 200 nor 503, or a 503 because the queue is full.
    """
    check_identity(head, engine)
    if head.status == 200:
        return True
    # An engine with a full queue rejects a health check like any other request.
    if head.status != 503 or head.header(wire.NOT_EXECUTED):
        raise errors.UnavailableError(f"{engine.address}: status {head.status}")
    return False


class PlatformHealth(HealthSource):
    """Health checks by HTTP GET.

    Args:
      client: sends the checks.
      health_path: returns the health check path of a service.
      on_response: called with the engine and the head of its response.
    """

    def __init__(
        self,
        client: PlatformClient,
        health_path: Callable[[str], str],
        on_response: Callable[[EngineInfo, ResponseHead], None],
    ) -> None:
        self._client = client
        self._on_response = on_response
        self._health_path = health_path

    async def is_healthy(self, engine: EngineInfo) -> bool:
        """Check one engine; see the base class."""
        path = self._health_path(engine.service)
        head, _ = await self._client.get_response(
            engine.address, path, HEALTH_CHECK_TIMEOUT_S, MAX_REPORT_BYTES
        )
        check_identity(head, engine)
        self._on_response(engine, head)
        return decode_health(head, engine)
