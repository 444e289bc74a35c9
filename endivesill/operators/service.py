"""The operator port as a kernel service."""

from __future__ import annotations

from typing import Any

from endivesill.kernel import Service
from endivesill.operators.application import OperatorApplication
from endivesill.server import HttpServer

__all__ = ["OperatorPort"]


class OperatorPort(Service):
    """The HTTP listener for operators.

    Args:
      application: handles the requests.
      options: further options of `HttpServer`, such as its TLS files.
    """

    def __init__(self, application: OperatorApplication, **options: Any) -> None:
        address = application.vm.operator_address
        self._server = HttpServer(address, application.starlette(), **options)

    @property
    def address(self) -> str:
        """HOST:PORT; the port in use once the service has started."""
        return self._server.address

    async def start(self) -> None:
        """Start listening.

        Raises:
          OSError: the address cannot be bound.
        """
        await self._server.start()

    async def stop(self) -> None:
        """Close the port after all responses have been sent."""
        await self._server.stop()
