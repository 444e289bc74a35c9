"""Polls load reports and cache events of the targets that this VM is home of."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

import attrs

from endivesill import errors, events
from endivesill.configuration.model import Configuration, Target
from endivesill.kernel import Service
from endivesill.targets.messages import CacheEvents, LoadReport
from endivesill.targets.monitor_events import (
    CACHE_EVENTS_LOST,
    TARGET_ANSWERING,
    TARGET_SILENT,
)
from endivesill.timer import TimerHandle, TimerService

__all__ = ["MonitoredAdapter", "TargetMonitor", "TargetSink"]

TICK_S = 0.5
LOAD_PERIOD_S = 1.0
CACHE_PERIOD_S = 4.0
RESYNC_PERIOD_S = 20.0
POLL_TIMEOUT_S = 2.0
FAILURES_TO_SILENT = 2


class MonitoredAdapter(Protocol):
    """What the monitor needs of the engine adapter."""

    async def load(self, target: Target) -> LoadReport:
        """Ask for the load report."""

    async def cache_events(self, target: Target, after: int) -> CacheEvents:
        """Ask for the cache events after a sequence number."""


class TargetSink(Protocol):
    """Who is told what the polls found."""

    def observe_load(self, target: Target, report: LoadReport) -> None:
        """Take a load report."""

    def observe_silence(self, target: Target) -> None:
        """Note that the target does not answer."""

    def observe_cache_cleared(self, target: Target) -> None:
        """Note that the target has lost its prefix cache."""


class CacheSink(Protocol):
    """Who keeps the index of cached prefixes."""

    def last_sequence(self, target_name: str) -> int:
        """Return the last sequence number that was applied."""

    def needs_resync(self, target_name: str) -> bool:
        """Tell whether events were lost."""

    def apply(self, target_name: str, events: CacheEvents) -> bool:
        """Apply events; return whether none is missing."""

    def resync(self, target_name: str, events: CacheEvents) -> None:
        """Rebuild from all events that there are."""


@attrs.define
class _Watch:
    """The polls of one target."""

    load_s: float = -math.inf
    cache_s: float = -math.inf
    resync_s: float = -math.inf
    failures: int = 0
    busy: bool = False


class TargetMonitor(Service):
    """Polls the engines that this VM is home of; plain services report nothing.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      adapter: the engine adapter.
      is_home: tells whether this VM is a target's home.
      sink: who is told of load.
      cache: who keeps the prefix index.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        adapter: MonitoredAdapter,
        is_home: Callable[[Target], bool],
        sink: TargetSink,
        cache: CacheSink,
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._adapter = adapter
        self._is_home = is_home
        self._sink = sink
        self._cache = cache
        self._watches: dict[str, _Watch] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticker: TimerHandle | None = None

    async def start(self) -> None:
        """Begin to poll."""
        self._ticker = self._timer.call_every(TICK_S, self._tick)

    async def stop(self) -> None:
        """Stop polling."""
        if self._ticker is not None:
            self._ticker.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _tick(self) -> None:
        configuration = self._configuration()
        homes = set()
        for target in configuration.targets.values():
            service = configuration.services.get(target.service)
            if service is None or service.protocol != "engine":
                continue
            if self._is_home(target):
                homes.add(target.name)
                self._poll_if_due(target)
        for name in list(self._watches):
            if name not in homes:
                del self._watches[name]

    def _poll_if_due(self, target: Target) -> None:
        watch = self._watches.setdefault(target.name, _Watch())
        now_s = self._timer.now_s()
        if watch.busy or now_s - watch.load_s < LOAD_PERIOD_S:
            return
        watch.busy = True
        watch.load_s = now_s
        task = asyncio.ensure_future(self._poll(target, watch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll(self, target: Target, watch: _Watch) -> None:
        try:
            await self._timer.wait_for(self._read(target, watch), POLL_TIMEOUT_S)
        except (errors.TargetError, errors.DeadlineExceededError) as error:
            watch.failures += 1
            if watch.failures == FAILURES_TO_SILENT:
                events.emit(TARGET_SILENT, target=target.name, error=str(error))
                self._sink.observe_silence(target)
        finally:
            watch.busy = False

    async def _read(self, target: Target, watch: _Watch) -> None:
        report = await self._adapter.load(target)
        if watch.failures >= FAILURES_TO_SILENT:
            events.emit(TARGET_ANSWERING, target=target.name)
        watch.failures = 0
        self._sink.observe_load(target, report)
        now_s = self._timer.now_s()
        if now_s - watch.cache_s >= CACHE_PERIOD_S:
            watch.cache_s = now_s
            await self._read_cache(target, watch, now_s)

    async def _read_cache(self, target: Target, watch: _Watch, now_s: float) -> None:
        name = target.name
        resync = self._cache.needs_resync(name)
        if resync and now_s - watch.resync_s >= RESYNC_PERIOD_S:
            watch.resync_s = now_s
            found = await self._adapter.cache_events(target, 0)
            self._cache.resync(name, found)
            return
        found = await self._adapter.cache_events(
            target, self._cache.last_sequence(name)
        )
        if any(event.kind == "cleared" for event in found.events):
            self._sink.observe_cache_cleared(target)
        if not self._cache.apply(name, found) and not resync:
            events.emit(CACHE_EVENTS_LOST, target=name)
