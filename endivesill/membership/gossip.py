"""Dissemination of updates: pushed once to a few VMs, then piggybacked.

News are passed on as soon as they are heard: to a few random VMs of the own data
centre and, by its delegates, to a delegate of each other data centre. Each then
travels with a number of later datagrams that grows with the log of the fleet, in
case that one was lost.
"""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable

import attrs

from endivesill.membership.delegates import Delegates
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Update, encode_update
from endivesill.timer import TimerHandle, TimerService

__all__ = ["Gossip"]

SendUpdates = Callable[[str, tuple[Update, ...]], None]

PUSH_DELAY_S = 0.02
PUSH_FANOUT = 3
PUSH_DATAGRAMS = 8
MINIMUM_SENDS = 3
UPDATES_LIMIT_BYTES = 900


@attrs.define
class _Pending:
    update: Update
    size_bytes: int
    sends: int = 0


class Gossip:
    """The updates that are still to be told.

    Args:
      timer: the timer service.
      table: the VMs.
      rng: the source of random choices.
      delegates: finds whom this VM passes news on to in other data centres.
    """

    def __init__(
        self,
        timer: TimerService,
        table: MemberTable,
        rng: random.Random,
        delegates: Delegates,
    ) -> None:
        self._timer = timer
        self._table = table
        self._rng = rng
        self._delegates = delegates
        self._send: SendUpdates | None = None
        self._pending: dict[str, _Pending] = {}
        self._fresh: dict[str, None] = {}
        self._push: TimerHandle | None = None

    def attach(self, send: SendUpdates) -> None:
        """Set what sends updates to an address."""
        self._send = send

    def tell(self, update: Update) -> None:
        """Spread an update; it replaces an older one of the same VM or target."""
        key = update.key()
        size = len(json.dumps(encode_update(update)))
        self._pending[key] = _Pending(update, size)
        self._fresh[key] = None
        if self._push is None:
            self._push = self._timer.call_after(PUSH_DELAY_S, self._push_fresh)

    def piggyback(self) -> tuple[Update, ...]:
        """Return the updates to send along, those least often sent first."""
        if not self._pending:
            return ()
        vms = len(self._table.peers()) + 1
        limit = max(MINIMUM_SENDS, math.ceil(math.log2(vms + 1)))
        ordered = sorted(self._pending.items(), key=lambda item: item[1].sends)
        chosen: list[Update] = []
        room = UPDATES_LIMIT_BYTES
        for key, pending in ordered:
            if chosen and pending.size_bytes > room:
                break
            room -= pending.size_bytes
            chosen.append(pending.update)
            pending.sends += 1
            if pending.sends >= limit:
                del self._pending[key]
        return tuple(chosen)

    def push_now(self) -> None:
        """Push what is fresh without waiting for more."""
        if self._push is not None:
            self._push.cancel()
            self._push_fresh()

    def close(self) -> None:
        """Push no more."""
        if self._push is not None:
            self._push.cancel()

    def _push_fresh(self) -> None:
        self._push = None
        fresh = [self._pending[key] for key in self._fresh if key in self._pending]
        self._fresh.clear()
        peers = self._table.peers()
        chosen = self._rng.sample(peers, min(PUSH_FANOUT, len(peers)))
        chosen += self._delegates.far()
        for batch in _batches(fresh)[:PUSH_DATAGRAMS]:
            for member in chosen:
                if self._send is not None:
                    self._send(member.address, batch)


def _batches(fresh: list[_Pending]) -> list[tuple[Update, ...]]:
    batches: list[tuple[Update, ...]] = []
    batch: list[Update] = []
    room = UPDATES_LIMIT_BYTES
    for pending in fresh:
        if batch and pending.size_bytes > room:
            batches.append(tuple(batch))
            batch, room = [], UPDATES_LIMIT_BYTES
        batch.append(pending.update)
        room -= pending.size_bytes
    if batch:
        batches.append(tuple(batch))
    return batches
