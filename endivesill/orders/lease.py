"""The orderer's lease: who may give the orders of a data centre.

The holder counts its lease from before it sent the proposal that the log granted.
A VM that wants it looks at the lease, waits a whole lease and a margin by its own
clock, and then takes it only if it was not renewed since. The clocks need not
agree; they must only run at nearly the same rate, also while a VM is suspended.
"""

from __future__ import annotations

from endivesill import errors, events
from endivesill.control.client import ControlClient
from endivesill.orders.events import ORDERER_ACQUIRED, ORDERER_LOST, ORDERER_WAITING
from endivesill.timer import TimerService

__all__ = ["OrdererLease"]

CLOCK_RATE_MARGIN = 0.02
CLOCK_MARGIN_S = 0.5
PROPOSE_TIMEOUT_S = 3.0
RENEWALS_PER_LEASE = 3


class OrdererLease:
    """One VM's part in the lease of a data centre.

    Args:
      timer: the timer service.
      control: the replicated state.
      data_centre: whose orders it is for.
      holder: this process: the VM's name and its instance id.
      lease_s: the duration, equal on all VMs.

    Attributes:
      token: the fencing token; 0 without a lease.
    """

    def __init__(
        self,
        timer: TimerService,
        control: ControlClient,
        data_centre: str,
        holder: str,
        lease_s: float,
    ) -> None:
        self._timer = timer
        self._control = control
        self._lease_s = lease_s
        self._expires_s = float("-inf")
        self.data_centre = data_centre
        self.holder = holder
        self.token = 0

    def remaining_s(self) -> float:
        """Return how long orders may still be given; asked just before each."""
        if not self.token:
            return 0.0
        return max(0.0, self._expires_s - self._timer.now_s())

    async def acquire(self) -> bool:
        """Try to become the orderer, waiting out the one before.

        Raises:
          UnavailableError: no quorum.
          OutcomeUnknownError: another try will wait out this one.
        """
        seen = await self._control.query(
            "orderer.current", {"data_centre": self.data_centre}, PROPOSE_TIMEOUT_S
        )
        if seen["holder"]:
            events.emit(
                ORDERER_WAITING, data_centre=self.data_centre, holder=seen["holder"]
            )
            await self._timer.sleep(self.waiting_s())
        started_s = self._timer.now_s()
        answer = await self._propose(
            "orderer.acquire",
            holder=self.holder,
            seen_token=seen["token"],
            seen_renewals=seen["renewals"],
        )
        if not answer["granted"]:
            return False
        self.token = answer["token"]
        self._expires_s = started_s + self._lease_s
        events.emit(ORDERER_ACQUIRED, data_centre=self.data_centre, token=self.token)
        return True

    def waiting_s(self) -> float:
        """Return how long a lease that was just seen may still be held."""
        return self._lease_s * (1 + CLOCK_RATE_MARGIN) + CLOCK_MARGIN_S

    async def renew(self) -> bool:
        """Renew once; return whether the lease is still held."""
        started_s = self._timer.now_s()
        try:
            answer = await self._propose("orderer.renew", token=self.token)
        except (errors.UnavailableError, errors.OutcomeUnknownError):
            return self._check("no quorum")
        if not answer["granted"]:
            self._expires_s = float("-inf")
            return self._check("another orderer")
        self._expires_s = max(self._expires_s, started_s + self._lease_s)
        return self._check("renewed too late")

    async def renew_until_lost(self) -> None:
        """Renew until the lease is lost."""
        while self._check("expired"):
            await self._timer.sleep(self._lease_s / RENEWALS_PER_LEASE)
            if self._check("expired"):
                await self.renew()

    async def release(self) -> None:
        """Give the lease back, so that the next orderer need not wait."""
        token, self.token = self.token, 0
        if token:
            await self._propose("orderer.release", token=token)

    def _check(self, reason: str) -> bool:
        if self.remaining_s() > 0:
            return True
        if self.token:
            events.emit(ORDERER_LOST, data_centre=self.data_centre, reason=reason)
        self.token = 0
        return False

    async def _propose(self, name: str, **message: object) -> dict:
        message["data_centre"] = self.data_centre
        return await self._control.propose(name, message, PROPOSE_TIMEOUT_S)
