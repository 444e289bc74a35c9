"""The entry as a kernel service: its port and its dependencies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from endivesill.configuration.source import ConfigurationSource
from endivesill.control import ControlClient
from endivesill.entry.admission import Admission
from endivesill.entry.application import EntryApplication
from endivesill.entry.background import BackgroundTasks
from endivesill.entry.budget import FixedRetryBudget, RetryBudget
from endivesill.entry.claims import Claims
from endivesill.entry.context import EntryContext
from endivesill.entry.identity import GenerationIds
from endivesill.entry.index import IndexCache
from endivesill.entry.settings import EntrySettings
from endivesill.entry.watchdog import Watchdog
from endivesill.kernel import Kernel, Service
from endivesill.keys import KeyRing
from endivesill.metrics import Metrics
from endivesill.routing import Router
from endivesill.server import HttpServer
from endivesill.targets import (
    EngineAdapter,
    PlainAdapter,
    TargetClient,
)

__all__ = ["EntryService"]


class EntryService(Service):
    """Runs the callers' port.

    The services `router` and `control` must be registered in the kernel.

    Args:
      kernel: the kernel to look up other services in.
      address: HOST:PORT to listen on.
      source: the configuration in force and its lease.
      keys: the peer keys, the same at all entries.
      owner: the instance id of this VM, recorded in ledger claims.
      settings: the settings of the entry.
      budget: the retry budget; a fixed number of attempts by default.
      metrics: counters and recorders of the process.
      is_draining: returns whether a graceful shutdown has begun.
      accepts: returns whether new requests are accepted.
      is_gone: returns whether a VM instance is known to be gone.
      options: further options of the listener, such as its TLS files.
    """

    def __init__(
        self,
        kernel: Kernel,
        address: str,
        source: ConfigurationSource,
        keys: KeyRing,
        owner: str,
        settings: EntrySettings | None = None,
        budget: RetryBudget | None = None,
        metrics: Metrics | None = None,
        is_draining: Callable[[], bool] = lambda: False,
        accepts: Callable[[], bool] = lambda: True,
        is_gone: Callable[[str], bool] = lambda owner: False,
        **options: Any,
    ) -> None:
        self._kernel = kernel
        self._address = address
        self._source = source
        self._keys = keys
        self._owner = owner
        self._settings = settings or EntrySettings()
        self._budget = budget or FixedRetryBudget()
        self._metrics = metrics or Metrics()
        self._is_draining = is_draining
        self._accepts = accepts
        self._is_gone = is_gone
        self._options = options
        self._background = BackgroundTasks()
        self._client = TargetClient(kernel.timer)
        self._server: HttpServer | None = None
        self.application: EntryApplication | None = None

    @property
    def address(self) -> str:
        """The bound address; before the start, the configured one."""
        return self._server.address if self._server else self._address

    @property
    def running(self) -> int:
        """The number of requests in progress."""
        return self.application.running if self.application else 0

    def target_leaving(self, target_name: str) -> None:
        """Start migrating the generations of a departing engine, in the background."""
        if self.application is not None:
            self._background.spawn(self.application.move_generations(target_name))

    async def start(self) -> None:
        """Open the port for callers' requests."""
        self.application = EntryApplication(self._context())
        self._server = HttpServer(self._address, self.application, **self._options)
        await self._server.start()

    def _context(self) -> EntryContext:
        timer = self._kernel.timer
        claims = Claims(
            timer,
            self._kernel.find("control", ControlClient),
            self._settings,
            self._owner,
            self._background,
            self._is_gone,
        )
        return EntryContext(
            timer=timer,
            settings=self._settings,
            source=self._source,
            index=IndexCache(self._source.current),
            router=self._kernel.find("router", Router),
            engines=EngineAdapter(self._client, timer),
            plain=PlainAdapter(self._client, timer),
            ids=GenerationIds(self._keys),
            claims=claims,
            budget=self._budget,
            watchdog=Watchdog(timer),
            admission=Admission(),
            background=self._background,
            metrics=self._metrics,
            is_draining=self._is_draining,
            accepts=self._accepts,
        )

    async def stop(self) -> None:
        """Close the port after all responses have completed."""
        if self._server is not None:
            await self._server.stop()
        await self._close()

    async def kill(self) -> None:
        """Abort all connections immediately, like a crashing process."""
        if self._server is not None:
            self._server.abort()
        if self.application is not None:
            self.application.table.close()
        await self._client.close()
        if self._server is not None:
            await self._server.kill()
        await self._close()

    async def _close(self) -> None:
        if self.application is not None:
            self.application.table.close()
        await self._background.wait_all()
        await self._client.close()
