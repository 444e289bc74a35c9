"""Leases on shares of the fleet-wide limits.

Connections to a target, requests to a cold target and retries are limited for all
entries together. The leader leases each entry a share of all these limits. Leases
expire, so that the shares sum to at most 1 whichever process fails.
"""

from __future__ import annotations

import collections

import attrs

__all__ = ["LEASE_DURATION_S", "ShareLease", "ShareAllocator"]

# Longer than two elections of the control VMs, so that a change of the leader does not
# interrupt work that needs a share.
LEASE_DURATION_S = 4.0


@attrs.frozen
class ShareLease:
    """A share held by an entry.

    Attributes:
      share: fraction of each limit, from 0 to 1.
      expires_s: when it expires, by the clock of the process that has this object.
    """

    share: float
    expires_s: float

    def share_at(self, now_s: float) -> float:
        """Return the share that may be used at a time; 0 once it has expired."""
        return self.share if now_s < self.expires_s else 0.0


class ShareAllocator:
    """Leases granted by one leader.

    Args:
      now_s: start of the leader's term. For one lease duration, leases of the previous
        leader may be in force, so entries keep just the share that they report.
    """

    def __init__(self, now_s: float) -> None:
        self._previous_expired_s = now_s + LEASE_DURATION_S
        # All leases last equally long, so the first one expires next.
        self._leases: collections.OrderedDict[str, ShareLease] = (
            collections.OrderedDict()
        )
        self._granted = 0.0

    def renew(self, entry_id: str, held_share: float, now_s: float) -> float:
        """Renew an entry's lease and return its share.

        Args:
          entry_id: id of one start of an entry.
          held_share: the share of its current lease.
          now_s: the leader's time.
        """
        self._expire(now_s)
        self.release(entry_id)
        if now_s < self._previous_expired_s:
            share = held_share
        else:
            share = max(0.0, min(1.0 / (len(self._leases) + 1), 1.0 - self._granted))
        self._leases[entry_id] = ShareLease(share, now_s + LEASE_DURATION_S)
        self._granted += share
        return share

    def release(self, entry_id: str) -> None:
        """End the lease of an entry that stops."""
        lease = self._leases.pop(entry_id, None)
        if lease is not None:
            self._granted -= lease.share
        if not self._leases:
            # Drops the rounding errors of the sum.
            self._granted = 0.0

    def entry_count(self, now_s: float) -> int:
        """Return how many entries have a lease in force."""
        self._expire(now_s)
        return len(self._leases)

    def _expire(self, now_s: float) -> None:
        while self._leases:
            entry_id, lease = next(iter(self._leases.items()))
            if lease.expires_s > now_s:
                return
            self.release(entry_id)
