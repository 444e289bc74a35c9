"""Polls load reports and cache events of the targets that this VM owns."""

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
LOAD_POLL_PERIOD_S = 1.0
CACHE_POLL_PERIOD_S = 4.0
RESYNC_PERIOD_S = 20.0
POLL_TIMEOUT_S = 2.0
FAILURES_UNTIL_SILENT = 2


class MonitoredAdapter(Protocol):
    """The part of the engine adapter that the monitor uses."""

    async def load(self, target: Target) -> LoadReport:
        """Fetch the load report."""

    async def cache_events(self, target: Target, after: int) -> CacheEvents:
        """Fetch the cache events after a sequence number; 0 fetches all."""


class TargetSink(Protocol):
    """Receives the load and health of the polled targets."""

    def observe_load(self, target: Target, report: LoadReport) -> None:
        """Handle a load report."""

    def observe_silence(self, target: Target) -> None:
        """Handle a target that has stopped answering polls."""

    def observe_cache_cleared(self, target: Target) -> None:
        """Handle the loss of a target's prefix cache."""


class CacheSink(Protocol):
    """Receives the cache events; keeps an index of the cached prefixes."""

    def last_sequence(self, target_name: str) -> int:
        """Return the last sequence number applied; 0 if none was."""

    def needs_resync(self, target_name: str) -> bool:
        """Return whether events of the target are missing."""

    def apply(self, target_name: str, events: CacheEvents) -> bool:
        """Apply events; return False if some are missing."""

    def resync(self, target_name: str, events: CacheEvents) -> None:
        """Rebuild the index of a target from all its events."""


@attrs.define
class _PollState:
    """State of the polls of one target; times are those of the last poll."""

    load_polled_s: float = -math.inf
    cache_polled_s: float = -math.inf
    resynced_s: float = -math.inf
    failures: int = 0
    in_flight: bool = False


class TargetMonitor(Service):
    """Polls the engines that this VM owns; plain services have no load reports.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      adapter: the engine adapter.
      is_owner: returns whether this VM owns a target.
      sink: receives load and health.
      cache: receives cache events.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        adapter: MonitoredAdapter,
        is_owner: Callable[[Target], bool],
        sink: TargetSink,
        cache: CacheSink,
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._adapter = adapter
        self._is_owner = is_owner
        self._sink = sink
        self._cache = cache
        self._states: dict[str, _PollState] = {}
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
        owned = set()
        for target in configuration.targets.values():
            service = configuration.services.get(target.service)
            if service is None or service.protocol != "engine":
                continue
            if self._is_owner(target):
                owned.add(target.name)
                self._poll_if_due(target)
        for name in list(self._states):
            if name not in owned:
                del self._states[name]

    def _poll_if_due(self, target: Target) -> None:
        state = self._states.setdefault(target.name, _PollState())
        now_s = self._timer.now_s()
        if state.in_flight or now_s - state.load_polled_s < LOAD_POLL_PERIOD_S:
            return
        state.in_flight = True
        state.load_polled_s = now_s
        task = asyncio.ensure_future(self._poll(target, state))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll(self, target: Target, state: _PollState) -> None:
        try:
            await self._timer.wait_for(self._poll_load(target, state), POLL_TIMEOUT_S)
        except (errors.TargetError, errors.DeadlineExceededError) as error:
            state.failures += 1
            if state.failures == FAILURES_UNTIL_SILENT:
                events.emit(TARGET_SILENT, target=target.name, error=str(error))
                self._sink.observe_silence(target)
        finally:
            state.in_flight = False

    async def _poll_load(self, target: Target, state: _PollState) -> None:
        report = await self._adapter.load(target)
        if state.failures >= FAILURES_UNTIL_SILENT:
            events.emit(TARGET_ANSWERING, target=target.name)
        state.failures = 0
        self._sink.observe_load(target, report)
        now_s = self._timer.now_s()
        if now_s - state.cache_polled_s >= CACHE_POLL_PERIOD_S:
            state.cache_polled_s = now_s
            await self._poll_cache(target, state, now_s)

    async def _poll_cache(
        self, target: Target, state: _PollState, now_s: float
    ) -> None:
        name = target.name
        resync = self._cache.needs_resync(name)
        if resync and now_s - state.resynced_s >= RESYNC_PERIOD_S:
            state.resynced_s = now_s
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
