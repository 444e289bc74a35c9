"""Finds the connection to give up without looking at all connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

__all__ = ["ShedOrder"]

HolderT = TypeVar("HolderT")


@attrs.define(eq=False)
class _Peer(Generic[HolderT]):
    """The connections of one address.

    Attributes:
      held_bytes: what they hold in sum.
      by_size: the connections by the bit length of what each holds, in the order in
        which they came to hold so much.
    """

    held_bytes: int = 0
    by_size: dict[int, dict[HolderT, None]] = attrs.Factory(dict)


class ShedOrder(Generic[HolderT]):
    """Connections that may be given up, by address and size.

    Sizes are compared by their bit length, so that each change and each search takes
    the same time whatever the number of connections.

    Args:
      address_of: returns the address of a connection.
    """

    def __init__(self, address_of: Callable[[HolderT], str]) -> None:
        self._address_of = address_of
        # By connection: its address and what it holds.
        self._entries: dict[HolderT, tuple[str, int]] = {}
        self._peers: dict[str, _Peer[HolderT]] = {}
        # Addresses by the bit length of what their connections hold.
        self._by_size: dict[int, dict[str, None]] = {}

    def set(self, holder: HolderT, held_bytes: int) -> None:
        """Set what a connection holds; 0 removes it."""
        entry = self._entries.get(holder)
        if entry is None:
            if held_bytes <= 0:
                return
            entry = (self._address_of(holder), 0)
        address, before_bytes = entry
        if held_bytes == before_bytes:
            return
        peer = self._peers.setdefault(address, _Peer())
        _move(peer.by_size, holder, before_bytes, held_bytes)
        sum_bytes = peer.held_bytes + held_bytes - before_bytes
        _move(self._by_size, address, peer.held_bytes, sum_bytes)
        peer.held_bytes = sum_bytes
        if held_bytes > 0:
            self._entries[holder] = (address, held_bytes)
        else:
            del self._entries[holder]
            if not peer.by_size:
                del self._peers[address]

    def first(self, age_s: Callable[[HolderT], float]) -> HolderT | None:
        """Return the connection to give up; None without any.

        It is of an address whose connections hold most, and itself holds most for
        longest there: a second more counts as much as holding it all once more.

        Args:
          age_s: returns how long a connection has held what it holds.
        """
        if not self._by_size:
            return None
        address = next(iter(self._by_size[max(self._by_size)]))
        oldest = [next(iter(same)) for same in self._peers[address].by_size.values()]
        return max(
            oldest, key=lambda holder: self._entries[holder][1] * (1 + age_s(holder))
        )


KeyT = TypeVar("KeyT")


def _move(
    by_size: dict[int, dict[KeyT, None]], key: KeyT, before_bytes: int, now_bytes: int
) -> None:
    """Move a key between groups of sizes; those of size 0 are in none."""
    before, now = before_bytes.bit_length(), now_bytes.bit_length()
    if before == now:
        return
    if before:
        group = by_size[before]
        del group[key]
        if not group:
            del by_size[before]
    if now:
        by_size.setdefault(now, {})[key] = None
