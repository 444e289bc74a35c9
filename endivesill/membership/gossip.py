"""Dissemination of updates: an immediate push, then piggybacking.

A new update is pushed to a few random VMs of the local data centre and, by delegates,
to a delegate of each other data centre. To make up for lost datagrams it is then
piggybacked on further datagrams, whose number grows with the logarithm of the
number of VMs in the data centre.
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

PUSH_DELAY_S = 0.02  # Batches updates that arrive in quick succession.
PUSH_FANOUT = 3
MAX_PUSH_DATAGRAMS = 8
MINIMUM_SENDS = 3
UPDATES_LIMIT_BYTES = 900


@attrs.define
class _PendingUpdate:
    update: Update
    size_bytes: int
    sends: int = 0


class Gossip:
    """The queue of updates that are still to be disseminated.

    Args:
      timer: the timer service.
      table: the member table.
      rng: the source of random choices.
      delegates: selects the peers in other data centres.
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
        self._pending: dict[str, _PendingUpdate] = {}
        self._unpushed: dict[str, None] = {}
        self._push_timer: TimerHandle | None = None

    def set_sender(self, send: SendUpdates) -> None:
        """Set the function that sends updates to an address."""
        self._send = send

    def broadcast(self, update: Update) -> None:
        """Queue an update; it replaces a queued one of the same VM or target."""
        key = update.key()
        size = len(json.dumps(encode_update(update)))
        self._pending[key] = _PendingUpdate(update, size)
        self._unpushed[key] = None
        if self._push_timer is None:
            self._push_timer = self._timer.call_after(PUSH_DELAY_S, self._push_updates)

    def piggyback(self) -> tuple[Update, ...]:
        """Return updates for the next datagram, the least often sent ones first."""
        if not self._pending:
            return ()
        vms = len(self._table.local_peers()) + 1
        max_sends = max(MINIMUM_SENDS, math.ceil(math.log2(vms + 1)))
        ordered = sorted(self._pending.items(), key=lambda item: item[1].sends)
        chosen: list[Update] = []
        remaining_bytes = UPDATES_LIMIT_BYTES
        for key, pending in ordered:
            if chosen and pending.size_bytes > remaining_bytes:
                break
            remaining_bytes -= pending.size_bytes
            chosen.append(pending.update)
            pending.sends += 1
            if pending.sends >= max_sends:
                del self._pending[key]
        return tuple(chosen)

    def push_now(self) -> None:
        """Push new updates at once instead of after the batching delay."""
        if self._push_timer is not None:
            self._push_timer.cancel()
            self._push_updates()

    def close(self) -> None:
        """Cancel the pending push."""
        if self._push_timer is not None:
            self._push_timer.cancel()

    def _push_updates(self) -> None:
        self._push_timer = None
        unpushed = [
            self._pending[key] for key in self._unpushed if key in self._pending
        ]
        self._unpushed.clear()
        peers = self._table.local_peers()
        chosen = self._rng.sample(peers, min(PUSH_FANOUT, len(peers)))
        chosen += self._delegates.remote_peers()
        for batch in _batches(unpushed)[:MAX_PUSH_DATAGRAMS]:
            for member in chosen:
                if self._send is not None:
                    self._send(member.address, batch)


def _batches(unpushed: list[_PendingUpdate]) -> list[tuple[Update, ...]]:
    batches: list[tuple[Update, ...]] = []
    batch: list[Update] = []
    remaining_bytes = UPDATES_LIMIT_BYTES
    for pending in unpushed:
        if batch and pending.size_bytes > remaining_bytes:
            batches.append(tuple(batch))
            batch, remaining_bytes = [], UPDATES_LIMIT_BYTES
        batch.append(pending.update)
        remaining_bytes -= pending.size_bytes
    if batch:
        batches.append(tuple(batch))
    return batches
