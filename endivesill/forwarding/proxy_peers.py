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
# How long an entry that has reached a target is used without being asked again.
REACHED_S = 5.0
# Entries that have reached a target and are kept beside those that the leader names.
MAX_KEPT = 4
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
        self._reached_until_s: dict[str, float] = {}

    def update(self, peers: Iterable[EntryPeer]) -> None:
        """Replace the entries; those that have just reached a target stay."""
        named = list(peers)
        addresses = {peer.address for peer in named}
        kept = [
            peer
            for peer in self._peers
            if peer.address not in addresses and self._has_reached(peer)
        ]
        self._peers = named + kept[:MAX_KEPT]
        self._updated_s = self._timer.now_s()
        known = {peer.address for peer in self._peers}
        for times_s in (
            self._avoid_until_s,
            self._down_until_s,
            self._reached_until_s,
        ):
            for address in times_s.keys() - known:
                del times_s[address]

    def choose(self, excluded: Container[str]) -> str | None:
        """Return the address of an entry that has just reached a target; or None."""
        peers = [
            peer
            for peer in self._peers
            if peer.address not in excluded and self._has_reached(peer)
        ]
        return min(peers, key=self._rank).address if peers else None

    def choose_several(self, excluded: Container[str], count: int) -> list[str]:
        """Return the addresses of entries to ask, of all data centres in turn.

        A data centre may have lost its links as a whole.
        """
        rest = [peer for peer in self._peers if peer.address not in excluded]
        rest.sort(key=self._rank)
        earlier: collections.Counter[str] = collections.Counter()
        ranked = []
        for position, peer in enumerate(rest):
            is_avoided = self._is_avoided(peer)
            ranked.append((is_avoided, earlier[peer.data_centre], position, peer))
            earlier[peer.data_centre] += 1
        return [row[3].address for row in sorted(ranked, key=lambda row: row[:3])][
            :count
        ]

    def _rank(self, peer: EntryPeer) -> tuple[bool, int, float]:
        is_far = peer.data_centre != self._data_centre
        load = self._in_flight[peer.address] + is_far * DISTANCE_REQUESTS
        return self._is_avoided(peer), load, self._random.random()

    def _is_avoided(self, peer: EntryPeer) -> bool:
        return self._avoid_until_s.get(peer.address, 0.0) > self._timer.now_s()

    def _has_reached(self, peer: EntryPeer) -> bool:
        return self._reached_until_s.get(peer.address, 0.0) > self._timer.now_s()

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

    def note_reached(self, address: str) -> None:
        """Record that an entry has reached a target just now."""
        self._reached_until_s[address] = self._timer.now_s() + REACHED_S
        self._avoid_until_s.pop(address, None)
        self._down_until_s.pop(address, None)

    def avoid(self, address: str) -> None:
        """Avoid an entry for a time; it may not reach the target either."""
        self._avoid_until_s[address] = self._timer.now_s() + AVOID_S
        self._reached_until_s.pop(address, None)

    def note_down(self, address: str) -> None:
        """Avoid an entry for a time, and count it as down."""
        self.avoid(address)
        self._down_until_s[address] = self._timer.now_s() + DOWN_S
