"""Leases on shares of the fleet-wide limits.

Connections to a target, requests to a cold target and retries are limited for all
entries together. The leader leases each entry a share of all these limits. Leases
expire, so that the shares sum to at most 1 whichever process fails.
"""

from __future__ import annotations

import collections

import attrs

__all__ = ["LEASE_DURATION_S", "EntryTurn", "ShareLease", "ShareAllocator"]

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


@attrs.frozen
class EntryTurn:
    """An entry's place among those that share a limit while no leader answers.

    Attributes:
      index: its place, from 0.
      count: the number of places.
      clock_offset_s: the leader's time minus that of this process.
    """

    index: int
    count: int
    clock_offset_s: float

    def clock_s(self, now_s: float) -> float:
        """Return the leader's time at a time of this process."""
        return now_s + self.clock_offset_s


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
        # Places of the entries with a lease, and the free ones below the highest.
        self._places: dict[str, int] = {}
        self._free_places: set[int] = set()

    def renew(self, entry_id: str, held_share: float, now_s: float) -> float:
        """Renew an entry's lease and return its share.

        Args:
          entry_id: id of one start of an entry.
          held_share: the share of its current lease.
          now_s: the leader's time.
        """
        self._expire(now_s)
        self._end_lease(entry_id)
        if entry_id not in self._places:
            place = min(self._free_places, default=self._place_count)
            self._free_places.discard(place)
            self._places[entry_id] = place
        if now_s < self._previous_expired_s:
            share = held_share
        else:
            share = max(0.0, min(1.0 / (len(self._leases) + 1), 1.0 - self._granted))
        self._leases[entry_id] = ShareLease(share, now_s + LEASE_DURATION_S)
        self._granted += share
        return share

    def place(self, entry_id: str, now_s: float) -> tuple[int, int] | None:
        """Return the place of an entry with a lease, and the number of places.

        Returns:
          None while leases of the previous leader may be in force: this leader may not
          know all entries yet, and the places that they have fit each other.
        """
        if now_s < self._previous_expired_s:
            return None
        return self._places[entry_id], self._place_count

    @property
    def _place_count(self) -> int:
        return len(self._places) + len(self._free_places)

    def release(self, entry_id: str) -> None:
        """End the lease of an entry that stops."""
        self._end_lease(entry_id)
        place = self._places.pop(entry_id, None)
        if place is not None:
            self._free_places.add(place)
        while self._free_places and self._place_count - 1 in self._free_places:
            self._free_places.remove(self._place_count - 1)

    def _end_lease(self, entry_id: str) -> None:
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
