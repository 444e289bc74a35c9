"""The micro-kernel: a registry of services with an ordered life cycle.

Each process has one kernel. Its services look each other up by name; they start in
the order in which they were added and stop in reverse order. Background tasks are
supervised: a failure is logged and the task restarts after a backoff.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from endivesill import errors, events
from endivesill.timer import TimerService

__all__ = ["Kernel", "Service"]

INITIAL_RESTART_BACKOFF_S = 0.5
MAX_RESTART_BACKOFF_S = 10.0

_log = logging.getLogger(__name__)

ServiceT = TypeVar("ServiceT", bound="Service")


class Service:
    """Base class of the services in a kernel."""

    async def start(self) -> None:
        """Start; services that were added earlier have already started."""

    async def stop(self) -> None:
        """Stop and release all resources; services added later have stopped."""


class Kernel:
    """Registry and life cycle of a process's services.

    Args:
      timer: the process's timer service.
    """

    def __init__(self, timer: TimerService) -> None:
        self.timer = timer
        self._services: dict[str, Service] = {}
        self._running: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, name: str, service: Service) -> None:
        """Register a service.

        Raises:
          EndivesillError: the name is already registered.
        """
        if name in self._services:
            raise errors.EndivesillError(f"service {name!r} is already registered")
        self._services[name] = service

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return the service registered under a name.

        Raises:
          EndivesillError: there is none, or it is not an instance of `kind`.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise errors.EndivesillError(
                f"no service {name!r} of class {kind.__name__}"
            )
        return service

    def has(self, name: str) -> bool:
        """Return whether a service is registered under a name."""
        return name in self._services

    async def start(self) -> None:
        """Start all services in the order in which they were added.

        If one fails to start, those that run already are stopped again.
        """
        try:
            for name, service in list(self._services.items()):
                await service.start()
                self._running.append(name)
        except BaseException:
            await self.stop()
            raise

    async def stop(self) -> None:
        """Stop the services in reverse order, then cancel the background tasks.

        A service that fails to stop is logged; the others still stop.
        """
        while self._running:
            name = self._running.pop()
            try:
                await self._services[name].stop()
            except Exception:
                _log.exception("service %s failed to stop", name)
            events.emit(events.SERVICE_STOPPED, service=name)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def supervise(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> asyncio.Task[None]:
        """Run a background task; restart it with exponential backoff on failure.

        The backoff is reset once the task has run longer than the maximum backoff.
        """
        task = asyncio.ensure_future(self._supervise(name, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        backoff_s = INITIAL_RESTART_BACKOFF_S
        while True:
            started_s = self.timer.now_s()
            try:
                await run()
                return
            except Exception as error:
                events.emit(events.TASK_FAILED, task=name, error=repr(error))
                _log.exception("task %s failed", name)
            if self.timer.now_s() - started_s > MAX_RESTART_BACKOFF_S:
                backoff_s = INITIAL_RESTART_BACKOFF_S
            await self.timer.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_RESTART_BACKOFF_S)
