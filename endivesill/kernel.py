"""The micro-kernel: services that find each other by name.

A process is a kernel with services. They start in the order in which they were
added and stop in the reverse order. Background tasks are supervised: one that
fails is logged and started again after a backoff.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from endivesill import errors, events
from endivesill.timer import TimerService

__all__ = ["Kernel", "Service"]

RESTART_BACKOFF_S = 0.5
RESTART_BACKOFF_LIMIT_S = 10.0

_log = logging.getLogger(__name__)

ServiceT = TypeVar("ServiceT", bound="Service")


class Service:
    """Base of the services that a kernel holds."""

    async def start(self) -> None:
        """Begin to work; services added earlier are running already."""

    async def stop(self) -> None:
        """Finish and release everything."""


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
        """Register a service under a name that is not taken yet."""
        if name in self._services:
            raise errors.EndivesillError(f"service {name!r} is registered twice")
        self._services[name] = service

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return the service of that name.

        Raises:
          EndivesillError: there is none, or it is of another class.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise errors.EndivesillError(f"no service {name!r} of {kind.__name__}")
        return service

    def has(self, name: str) -> bool:
        """Tell whether a service of that name is registered."""
        return name in self._services

    async def start(self) -> None:
        """Start all services in the order in which they were added."""
        for name, service in list(self._services.items()):
            await service.start()
            self._running.append(name)

    async def stop(self) -> None:
        """Stop the running services in reverse order, then the tasks."""
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
        """Run a background task and start it again when it fails."""
        task = asyncio.ensure_future(self._supervise(name, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        backoff_s = RESTART_BACKOFF_S
        while True:
            started_s = self.timer.now_s()
            try:
                await run()
                return
            except Exception as error:
                events.emit(events.TASK_FAILED, task=name, error=repr(error))
                _log.exception("task %s failed", name)
            if self.timer.now_s() - started_s > RESTART_BACKOFF_LIMIT_S:
                backoff_s = RESTART_BACKOFF_S
            await self.timer.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, RESTART_BACKOFF_LIMIT_S)
