"""Choice of the entry that sends a request for this one."""

from __future__ import annotations

import collections
import random
from collections.abc import Container, Iterable

from endivesill.fleet.entry_peers import EntryPeer
from endivesill.timer import TimerService

__all__ = ["ProxyPeers"]

# How long an entry that failed as a proxy is used only if there is no other.
AVOID_S = 1.0
# How long an entry that cannot be reached, or sends nothing for others, counts as down.
DOWN_S = 0.5
# Requests in flight at an entry of this data centre from which on one of another data
# centre without any is as good.
DISTANCE_REQUESTS = 8


class ProxyPeers:
    """The entries that may send requests of this one.

    Requests go to the entry with the fewest requests of this one in flight;
    entries of its own data centre are preferred up to a difference.

    Args:
      timer: the timer service.
      data_centre: where this entry runs.
      random_source: chooses among equally good entries.
    """

    def __init__(
        self, timer: TimerService, data_centre: str, random_source: random.Random
    ) -> None:
        self._timer = timer
        self._data_centre = data_centre
        self._random = random_source
        self._peers: list[EntryPeer] = []
        self._updated_s = float("-inf")
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._avoid_until_s: dict[str, float] = {}
        self._down_until_s: dict[str, float] = {}

    def update(self, peers: Iterable[EntryPeer]) -> None:
        """Replace the entries."""
        self._peers = list(peers)
        self._updated_s = self._timer.now_s()
        known = {peer.address for peer in self._peers}
        for kept in (self._avoid_until_s, self._down_until_s):
            for address in kept.keys() - known:
                del kept[address]

    def choose(self, excluded: Container[str]) -> str | None:
        """Return the address of an entry; None if all are excluded."""
        peers = [peer for peer in self._peers if peer.address not in excluded]
        if not peers:
            return None
        now_s = self._timer.now_s()

        def rank(peer: EntryPeer) -> tuple[bool, int, float]:
            is_avoided = self._avoid_until_s.get(peer.address, 0.0) > now_s
            is_far = peer.data_centre != self._data_centre
            load = self._in_flight[peer.address] + is_far * DISTANCE_REQUESTS
            return is_avoided, load, self._random.random()

        return min(peers, key=rank).address

    def age_s(self) -> float:
        """Return the time since the entries were named; -1 before that."""
        if not self._peers:
            return -1.0
        return round(self._timer.now_s() - self._updated_s, 3)

    def is_empty(self) -> bool:
        """Return whether no other entry is known."""
        return not self._peers

    def has_usable(self) -> bool:
        """Return whether an entry is known that does not count as down."""
        now_s = self._timer.now_s()
        return any(
            self._down_until_s.get(peer.address, 0.0) <= now_s for peer in self._peers
        )

    def note_started(self, address: str) -> None:
        """Count a request that an entry sends for this one."""
        self._in_flight[address] += 1

    def note_ended(self, address: str) -> None:
        """Undo `note_started` when the request has ended."""
        self._in_flight[address] -= 1
        if not self._in_flight[address]:
            del self._in_flight[address]

    def avoid(self, address: str) -> None:
        """Avoid an entry for a time; it may not reach the target either."""
        self._avoid_until_s[address] = self._timer.now_s() + AVOID_S

    def note_down(self, address: str) -> None:
        """Avoid an entry for a time, and count it as down."""
        self.avoid(address)
        self._down_until_s[address] = self._timer.now_s() + DOWN_S
