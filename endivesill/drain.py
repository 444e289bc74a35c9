"""The planned stop of a VM: drain, hand over, then stop.

A drain cuts nothing. The VM turns unready at once, goes on accepting while the
balancer may still send callers, hands over what it leads, and waits without a
time limit until the last request has ended.
"""

from __future__ import annotations

import asyncio
import enum
import math
from collections.abc import Awaitable, Callable

from endivesill import events
from endivesill.configuration.model import Configuration
from endivesill.configuration.source import ConfigurationSource
from endivesill.kernel import Kernel, Service
from endivesill.membership.events import (
    DRAIN_BEGUN,
    DRAIN_DONE,
    DRAIN_HANDED_OVER,
    DRAIN_WAITING,
)

__all__ = ["DrainService", "DrainState", "HandOver"]

HandOver = Callable[[], Awaitable[None]]

HAND_OVER_TRIES = 3
HAND_OVER_TIMEOUT_S = 10.0
HAND_OVER_BACKOFF_S = 1.0
POLL_S = 0.1
WAITING_LOG_S = 10.0


class DrainState(enum.Enum):
    """The states of a planned stop."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class DrainService(Service):
    """Drains this VM when it is told to.

    Args:
      kernel: the process's kernel.
      vm_name: this VM's name.
      balancer_lag_s: how long new callers may still come after it is unready.
      running: returns how many requests run.
      configuration: tells when operators want the VM to leave.

    Attributes:
      state: how far the drain is.
    """

    def __init__(
        self,
        kernel: Kernel,
        vm_name: str,
        balancer_lag_s: float,
        running: Callable[[], int],
        configuration: ConfigurationSource,
    ) -> None:
        self._kernel = kernel
        self._vm_name = vm_name
        self._balancer_lag_s = balancer_lag_s
        self._running = running
        self._configuration = configuration
        self._hand_overs: list[tuple[str, HandOver]] = []
        self._listeners: list[Callable[[DrainState], None]] = []
        self._drained = asyncio.Event()
        self._accepts_until_s = math.inf
        self.state = DrainState.SERVING

    def add_hand_over(self, name: str, hand_over: HandOver) -> None:
        """Register what hands a duty over; they run in this order."""
        self._hand_overs.append((name, hand_over))

    def subscribe(self, listener: Callable[[DrainState], None]) -> None:
        """Call a listener with each new state."""
        self._listeners.append(listener)

    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        return self.state is DrainState.SERVING

    def accepts(self) -> bool:
        """Tell whether new requests are still taken.

        They are while the balancer may not know yet; afterwards a caller that
        comes all the same is told to go elsewhere, so that the drain ends.
        """
        return self._kernel.timer.now_s() < self._accepts_until_s

    async def start(self) -> None:
        """Begin to watch the configuration."""
        self._configuration.subscribe(self._configured)
        self._configured(self._configuration.current())

    def _configured(self, configuration: Configuration) -> None:
        vm = configuration.vms.get(self._vm_name)
        if vm is not None and vm.leaving:
            self.begin("configuration")

    def begin(self, reason: str) -> None:
        """Begin the drain; a second call does nothing.

        Args:
          reason: who asked for it, for the log.
        """
        if self.state is not DrainState.SERVING:
            return
        events.emit(DRAIN_BEGUN, vm=self._vm_name, reason=reason)
        self._accepts_until_s = self._kernel.timer.now_s() + self._balancer_lag_s
        self._enter(DrainState.DRAINING)
        self._kernel.supervise("drain", self._drain)

    async def wait_drained(self) -> None:
        """Wait until the VM may stop."""
        await self._drained.wait()

    def _enter(self, state: DrainState) -> None:
        self.state = state
        for listener in self._listeners:
            listener(state)

    async def _drain(self) -> None:
        for name, hand_over in self._hand_overs:
            await self._hand_over(name, hand_over)
        left_s = self._accepts_until_s - self._kernel.timer.now_s()
        await self._kernel.timer.sleep(max(0.0, left_s))
        await self._wait_for_requests()
        events.emit(DRAIN_DONE, vm=self._vm_name)
        self._enter(DrainState.DRAINED)
        self._drained.set()

    async def _hand_over(self, name: str, hand_over: HandOver) -> None:
        """Hand one duty over; the drain goes on if it fails for good."""
        error = ""
        for attempt in range(HAND_OVER_TRIES):
            if attempt:
                await self._kernel.timer.sleep(HAND_OVER_BACKOFF_S)
            try:
                await self._kernel.timer.wait_for(hand_over(), HAND_OVER_TIMEOUT_S)
            except Exception as failure:
                error = repr(failure)
                continue
            events.emit(DRAIN_HANDED_OVER, duty=name, done=True)
            return
        events.emit(DRAIN_HANDED_OVER, duty=name, done=False, error=error)

    async def _wait_for_requests(self) -> None:
        logged_s = float("-inf")
        while self._running() > 0:
            now_s = self._kernel.timer.now_s()
            if now_s - logged_s >= WAITING_LOG_S:
                logged_s = now_s
                events.emit(DRAIN_WAITING, running=self._running())
            await self._kernel.timer.sleep(POLL_S)
