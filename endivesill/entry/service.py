"""The entry as a kernel service: its port and what it is wired to."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp

from endivesill.configuration.model import Configuration
from endivesill.entry.application import EntryApplication
from endivesill.kernel import Kernel, Service
from endivesill.routing import Router
from endivesill.server import HttpServer
from endivesill.targets import EngineAdapter, PlainAdapter

__all__ = ["EntryService"]


class EntryService(Service):
    """Runs the callers' port.

    Args:
      kernel: the kernel to find the router in.
      address: HOST:PORT for callers.
      configuration: returns the configuration in force.
    """

    def __init__(
        self,
        kernel: Kernel,
        address: str,
        configuration: Callable[[], Configuration],
    ) -> None:
        self._kernel = kernel
        self._address = address
        self._configuration = configuration
        self._session: aiohttp.ClientSession | None = None
        self._server: HttpServer | None = None

    @property
    def address(self) -> str:
        """The address in use, once started."""
        return self._server.address if self._server else self._address

    async def start(self) -> None:
        """Open the port."""
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, read_bufsize=1 << 18
        )
        timer = self._kernel.timer
        application = EntryApplication(
            timer,
            self._configuration,
            self._kernel.find("router", Router),
            EngineAdapter(self._session, timer),
            PlainAdapter(self._session, timer),
        )
        self._server = HttpServer(self._address, application)
        await self._server.start()

    async def stop(self) -> None:
        """Close the port once all answers have ended."""
        if self._server is not None:
            await self._server.stop()
        if self._session is not None:
            await self._session.close()
