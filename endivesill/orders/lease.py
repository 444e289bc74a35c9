"""The orderer lease, which allows one VM to issue the orders of a data centre.

The holder measures its lease from before it sent the proposal that was granted. To
acquire the lease, another VM reads it, waits for a full lease and a margin by its own
clock, and then takes it over only if it has not been renewed since. Clocks need not
be synchronised, but must run at nearly the same rate, also while a VM is suspended.
"""

from __future__ import annotations

from endivesill import errors, events
from endivesill.control.client import ControlClient
from endivesill.orders.events import ORDERER_ACQUIRED, ORDERER_LOST, ORDERER_WAITING
from endivesill.timer import TimerService

__all__ = ["OrdererLease"]

CLOCK_RATE_MARGIN = 0.02
TAKEOVER_MARGIN_S = 0.5
PROPOSE_TIMEOUT_S = 3.0
RENEWALS_PER_LEASE = 3


class OrdererLease:
    """One VM's view of the orderer lease of a data centre.

    Args:
      timer: the timer service.
      control: the client of the replicated state.
      data_centre: the name of the data centre.
      holder: the id of this process: VM name and instance id.
      lease_s: the duration of the lease, equal on all VMs.

    Attributes:
      token: the fencing token; 0 while this VM does not hold the lease.
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
        """Return the remaining lease time; check it just before sending an order."""
        if not self.token:
            return 0.0
        return max(0.0, self._expires_s - self._timer.now_s())

    async def acquire(self) -> bool:
        """Try to acquire the lease, after waiting for the current one to expire.

        Returns:
          Whether the lease was granted.

        Raises:
          UnavailableError: no quorum.
          OutcomeUnknownError: the lease may have been granted; a further attempt
            waits for it to expire.
        """
        seen = await self._control.query(
            "orderer.current", {"data_centre": self.data_centre}, PROPOSE_TIMEOUT_S
        )
        if seen["holder"]:
            events.emit(
                ORDERER_WAITING, data_centre=self.data_centre, holder=seen["holder"]
            )
            await self._timer.sleep(self.takeover_delay_s())
        started_s = self._timer.now_s()
        response = await self._propose(
            "orderer.acquire",
            holder=self.holder,
            seen_token=seen["token"],
            seen_renewals=seen["renewals"],
        )
        if not response["granted"]:
            return False
        self.token = response["token"]
        self._expires_s = started_s + self._lease_s
        events.emit(ORDERER_ACQUIRED, data_centre=self.data_centre, token=self.token)
        return True

    def takeover_delay_s(self) -> float:
        """Return how long to wait before a lease that was just read is taken over."""
        return self._lease_s * (1 + CLOCK_RATE_MARGIN) + TAKEOVER_MARGIN_S

    async def renew(self) -> bool:
        """Renew the lease once; return whether it is still held."""
        started_s = self._timer.now_s()
        try:
            response = await self._propose("orderer.renew", token=self.token)
        except (errors.UnavailableError, errors.OutcomeUnknownError):
            return self._check_held("no quorum")
        if not response["granted"]:
            self._expires_s = float("-inf")
            return self._check_held("taken over by another orderer")
        self._expires_s = max(self._expires_s, started_s + self._lease_s)
        return self._check_held("expired before the renewal was granted")

    async def renew_until_lost(self) -> None:
        """Renew the lease periodically; return once it is lost."""
        while self._check_held("expired"):
            await self._timer.sleep(self._lease_s / RENEWALS_PER_LEASE)
            if self._check_held("expired"):
                await self.renew()

    async def release(self) -> None:
        """Release the lease, so that the next orderer need not wait."""
        token, self.token = self.token, 0
        if token:
            await self._propose("orderer.release", token=token)

    def _check_held(self, reason: str) -> bool:
        if self.remaining_s() > 0:
            return True
        if self.token:
            events.emit(ORDERER_LOST, data_centre=self.data_centre, reason=reason)
        self.token = 0
        return False

    async def _propose(self, name: str, **message: object) -> dict:
        message["data_centre"] = self.data_centre
        return await self._control.propose(name, message, PROPOSE_TIMEOUT_S)
