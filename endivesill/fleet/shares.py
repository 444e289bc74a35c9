"""Shares of the fleet-wide allowances, lent to the entries by one lender.

Channels to a target, requests to a cold target and repeats are bounded for all
entries together. The leader of the control VMs lends each entry a share of all
of them; a share ends by itself, so that the sum stays under 1 whoever dies.
"""

from __future__ import annotations

import attrs

__all__ = ["LEASE_DURATION_S", "ShareLease", "ShareAllocator"]

# Over two elections of the control VMs, so that a change of the leader does not
# stop work that needs a share.
LEASE_DURATION_S = 4.0


@attrs.frozen
class ShareLease:
    """A share that an entry holds.

    Attributes:
      share: the part of each allowance, from 0 to 1.
      expires_s: when it ends, on the clock of whoever holds this object.
    """

    share: float
    expires_s: float

    def share_at(self, now_s: float) -> float:
        """Return the share that may be used at a time."""
        return self.share if now_s < self.expires_s else 0.0


class ShareAllocator:
    """What a lender has lent.

    Args:
      now_s: when the lender took over. Loans of the lender before are unknown
        to it until they have ended, but for what their holders report.
    """

    def __init__(self, now_s: float) -> None:
        self._previous_expired_s = now_s + LEASE_DURATION_S
        self._leases: dict[str, ShareLease] = {}

    def renew(self, entry: str, held_share: float, now_s: float) -> float:
        """Lend an entry its share and return it.

        Args:
          entry: names one start of an entry.
          held_share: the share that it holds by an earlier loan.
          now_s: the lender's time.
        """
        self._leases = {
            e: lease for e, lease in self._leases.items() if lease.expires_s > now_s
        }
        others = sum(
            lease.share for holder, lease in self._leases.items() if holder != entry
        )
        if now_s < self._previous_expired_s:
            share = held_share
        else:
            count = len(self._leases.keys() | {entry})
            share = max(0.0, min(1.0 / count, 1.0 - others))
        self._leases[entry] = ShareLease(share, now_s + LEASE_DURATION_S)
        return share

    def release(self, entry: str) -> None:
        """End the loan of an entry that stops."""
        self._leases.pop(entry, None)

    def entries(self, now_s: float) -> list[str]:
        """Return the entries that hold a loan."""
        return [
            entry for entry, lease in self._leases.items() if lease.expires_s > now_s
        ]
