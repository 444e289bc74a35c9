"""The addresses at which a replica looks for its cluster.

Any one source may be out of date: the seeds are exchanged for other VMs, the log of a
replica that was out names VMs that are gone, and an empty replica has no log.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

__all__ = ["KnownPeers"]

# Addresses kept of those that other replicas have named; several times the voters.
MAX_HEARD_ADDRESSES = 16


class KnownPeers:
    """Peer addresses from the settings, the log and the messages of others.

    Args:
      own_address: the address of this replica, which is left out.
      seeds: the addresses in the settings.
      members: returns the addresses of the members that the log names.
    """

    def __init__(
        self,
        own_address: str,
        seeds: Iterable[str],
        members: Callable[[], Iterable[str]],
    ) -> None:
        self._own_address = own_address
        self._members = members
        self._heard: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.seeds = tuple(seeds)

    def note_heard(self, address: object) -> None:
        """Record an address that a message of another replica names."""
        if not isinstance(address, str) or not address:
            return
        self._heard[address] = None
        self._heard.move_to_end(address)
        while len(self._heard) > MAX_HEARD_ADDRESSES:
            self._heard.popitem(last=False)

    def addresses(self) -> list[str]:
        """Return all addresses, those that are most likely in use first."""
        newest_first = reversed(self._heard)
        found = dict.fromkeys([*self.seeds, *newest_first, *self._members()])
        found.pop(self._own_address, None)
        return list(found)
