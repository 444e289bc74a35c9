"""The operator port as a kernel service."""

from __future__ import annotations

from typing import Any

from endivesill.kernel import Service
from endivesill.operators.application import OperatorApplication
from endivesill.server import HttpServer

__all__ = ["OperatorPort"]


class OperatorPort(Service):
    """The listener for operators.

    Args:
      application: what answers.
      options: further options of the listener, such as its TLS files.
    """

    def __init__(self, application: OperatorApplication, **options: Any) -> None:
        address = application.vm.operator_address
        self._server = HttpServer(address, application.starlette(), **options)

    @property
    def address(self) -> str:
        """The address in use, once started."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the port once all answers have ended."""
        await self._server.stop()
