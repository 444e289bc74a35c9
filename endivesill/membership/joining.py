"""Joining the fleet and anti-entropy between two VMs.

A sync exchanges the whole state of two VMs. It is used to join, when a datagram of
an unknown VM arrives, and when digests still differ after a quiet period.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from endivesill import errors, events
from endivesill.membership.events import JOINED, JOINED_ALONE
from endivesill.membership.gossip_state import GossipState
from endivesill.membership.identity import OwnState
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Phase, decode_update, encode_update
from endivesill.membership.settings import MembershipSettings
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["SYNC_PATH", "Synchronizer"]

SYNC_PATH = "/membership/sync"
SYNC_TIMEOUT_S = 2.0
SYNC_INTERVAL_S = 2.0
QUIET_PERIOD_S = 1.0
JOIN_RETRY_S = 0.5


class Synchronizer:
    """Exchanges the whole state with one other VM at a time.

    Args:
      timer: the timer service.
      table: the member table.
      settings: the membership settings.
      rng: the source of random choices.
      peers: the transport of the peer port.
      gossip_state: the state that is exchanged.
      own: this VM's own state.
    """

    def __init__(
        self,
        timer: TimerService,
        table: MemberTable,
        settings: MembershipSettings,
        rng: random.Random,
        peers: PeerTransport,
        gossip_state: GossipState,
        own: OwnState,
    ) -> None:
        self._timer = timer
        self._table = table
        self._settings = settings
        self._rng = rng
        self._peers = peers
        self._gossip_state = gossip_state
        self._own = own
        self._is_syncing = False
        self._last_sync_s = float("-inf")
        peers.handle(SYNC_PATH, self._handle_sync)

    def _state_message(self) -> Message:
        rows = [
            encode_update(update, full=True) for update in self._gossip_state.updates()
        ]
        return {"updates": rows}

    def _merge_message(self, message: Message) -> None:
        rows = message.get("updates")
        if not isinstance(rows, list):
            raise errors.PeerMessageError("sync message without updates")
        self._gossip_state.merge_remote_state([decode_update(row) for row in rows])

    async def _handle_sync(self, message: Message) -> Message:
        """Answer a sync with the state before the received one is merged."""
        answer = self._state_message()
        self._merge_message(message)
        return answer

    async def sync(self, address: str) -> bool:
        """Exchange states with the VM at an address; return whether it succeeded."""
        try:
            answer = await self._peers.call(
                address, SYNC_PATH, self._state_message(), SYNC_TIMEOUT_S
            )
            self._merge_message(answer)
        except (errors.PeerUnreachableError, errors.PeerMessageError):
            return False
        return True

    async def sync_if_due(self, address: str, *, is_unknown: bool = False) -> None:
        """Exchange states, unless a sync is running or the last one is too recent.

        Args:
          address: the peer address of the other VM.
          is_unknown: the VM is not in the table; the sync then does not wait for
            the quiet period.
        """
        now_s = self._timer.now_s()
        quiet_s = now_s - self._table.changed_s
        interval_s = SYNC_INTERVAL_S * self._rng.uniform(0.5, 1.5)
        if self._is_syncing or now_s - self._last_sync_s < (
            JOIN_RETRY_S if is_unknown else interval_s
        ):
            return
        if not is_unknown and quiet_s < QUIET_PERIOD_S:
            return
        self._is_syncing = True
        try:
            await self.sync(address)
        finally:
            self._is_syncing = False
            self._last_sync_s = self._timer.now_s()

    async def join(self, addresses: Callable[[], list[str]]) -> None:
        """Join through any VM that answers; continue alone after `join_alone_s`.

        Args:
          addresses: returns the addresses to try; called again for each attempt.
        """
        deadline_s = self._timer.now_s() + self._settings.join_alone_s
        while addresses():
            candidates = addresses()
            self._rng.shuffle(candidates)
            if await self.sync_any(candidates) or self._table.others():
                events.emit(JOINED, vm=self._table.own_name)
                break
            if self._timer.now_s() >= deadline_s:
                events.emit(JOINED_ALONE, vm=self._table.own_name)
                break
            await self._timer.sleep(JOIN_RETRY_S)
        self._own.announce(Phase.ALIVE)

    async def sync_any(self, addresses: list[str]) -> bool:
        """Sync with all addresses until one answers; return whether one did."""
        tasks = [asyncio.ensure_future(self.sync(address)) for address in addresses]
        try:
            for done in asyncio.as_completed(tasks):
                if await done:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()
