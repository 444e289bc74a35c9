"""The planned stop of a VM: drain, hand over duties, then stop.

A drain interrupts no request. The VM reports unready at once, keeps accepting
requests for as long as the load balancer may still route them here, hands over its
duties, and waits without a time limit until the last request has ended.
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

HAND_OVER_ATTEMPTS = 3
HAND_OVER_TIMEOUT_S = 10.0
HAND_OVER_BACKOFF_S = 1.0
RUNNING_POLL_PERIOD_S = 0.1
WAITING_LOG_PERIOD_S = 10.0


class DrainState(enum.Enum):
    """The states of a planned stop."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class DrainService(Service):
    """Drains this VM on request or when the configuration says that it leaves.

    Args:
      kernel: the process's kernel.
      vm_name: this VM's name.
      balancer_lag_s: how long the load balancer may still route new requests here
        after the VM reports unready.
      running: returns the number of running requests.
      configuration: the source that marks this VM as leaving.

    Attributes:
      state: the state of the drain.
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
        """Register a function that hands over a duty, such as leadership.

        The functions run in the order of registration.
        """
        self._hand_overs.append((name, hand_over))

    def subscribe(self, listener: Callable[[DrainState], None]) -> None:
        """Call a listener with the new state after each state change."""
        self._listeners.append(listener)

    def is_ready(self) -> bool:
        """Return whether the load balancer may route requests to this VM."""
        return self.state is DrainState.SERVING

    def accepts(self) -> bool:
        """Return whether new requests are still accepted.

        During a drain they are accepted until the balancer lag has passed. Later
        requests are refused, so that the drain ends.
        """
        return self._kernel.timer.now_s() < self._accepts_until_s

    async def start(self) -> None:
        """Subscribe to the configuration; drain if this VM is already leaving."""
        self._configuration.subscribe(self._apply_configuration)
        self._apply_configuration(self._configuration.current())

    def _apply_configuration(self, configuration: Configuration) -> None:
        vm = configuration.vms.get(self._vm_name)
        if vm is not None and vm.leaving:
            self.begin("configuration")

    def begin(self, reason: str) -> None:
        """Start the drain; has no effect if it has already started.

        Args:
          reason: what requested the drain, for the log.
        """
        if self.state is not DrainState.SERVING:
            return
        events.emit(DRAIN_BEGUN, vm=self._vm_name, reason=reason)
        self._accepts_until_s = self._kernel.timer.now_s() + self._balancer_lag_s
        self._set_state(DrainState.DRAINING)
        self._kernel.supervise("drain", self._drain)

    async def wait_drained(self) -> None:
        """Wait until the drain is complete and the VM may stop."""
        await self._drained.wait()

    def _set_state(self, state: DrainState) -> None:
        self.state = state
        for listener in self._listeners:
            listener(state)

    async def _drain(self) -> None:
        for name, hand_over in self._hand_overs:
            await self._hand_over(name, hand_over)
        remaining_s = self._accepts_until_s - self._kernel.timer.now_s()
        await self._kernel.timer.sleep(max(0.0, remaining_s))
        await self._wait_for_requests()
        events.emit(DRAIN_DONE, vm=self._vm_name)
        self._set_state(DrainState.DRAINED)
        self._drained.set()

    async def _hand_over(self, name: str, hand_over: HandOver) -> None:
        """Hand over one duty; the drain continues if all attempts fail."""
        error = ""
        for attempt in range(HAND_OVER_ATTEMPTS):
            if attempt:
                await self._kernel.timer.sleep(HAND_OVER_BACKOFF_S)
            try:
                await self._kernel.timer.wait_for(hand_over(), HAND_OVER_TIMEOUT_S)
            except Exception as exception:
                error = repr(exception)
                continue
            events.emit(DRAIN_HANDED_OVER, duty=name, done=True)
            return
        events.emit(DRAIN_HANDED_OVER, duty=name, done=False, error=error)

    async def _wait_for_requests(self) -> None:
        last_logged_s = float("-inf")
        while self._running() > 0:
            now_s = self._kernel.timer.now_s()
            if now_s - last_logged_s >= WAITING_LOG_PERIOD_S:
                last_logged_s = now_s
                events.emit(DRAIN_WAITING, running=self._running())
            await self._kernel.timer.sleep(RUNNING_POLL_PERIOD_S)
