"""Joining the fleet and bringing two views together.

A sync exchanges all that two VMs know. It is used to join, when an unknown VM is
met, and when digests differ although nothing has changed for a while.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from endivesill import errors, events
from endivesill.membership.events import JOINED, JOINED_ALONE
from endivesill.membership.identity import OwnState
from endivesill.membership.knowledge import Knowledge
from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Phase, decode_update, encode_update
from endivesill.membership.settings import MembershipSettings
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["SYNC_PATH", "Synchronizer"]

SYNC_PATH = "/membership/sync"
SYNC_TIMEOUT_S = 2.0
SYNC_PAUSE_S = 2.0
SETTLED_S = 1.0
JOIN_RETRY_S = 0.5


class Synchronizer:
    """Exchanges whole views with single VMs.

    Args:
      timer: the timer service.
      table: the VMs.
      settings: periods and bounds.
      rng: the source of random choices.
      peers: the transport of the peer port.
      knowledge: all that this VM knows.
      own: this VM's own state.
    """

    def __init__(
        self,
        timer: TimerService,
        table: MemberTable,
        settings: MembershipSettings,
        rng: random.Random,
        peers: PeerTransport,
        knowledge: Knowledge,
        own: OwnState,
    ) -> None:
        self._timer = timer
        self._table = table
        self._settings = settings
        self._rng = rng
        self._peers = peers
        self._knowledge = knowledge
        self._own = own
        self._running = False
        self._last_s = float("-inf")
        peers.handle(SYNC_PATH, self._answer)

    def _message(self) -> Message:
        rows = [
            encode_update(update, full=True) for update in self._knowledge.updates()
        ]
        return {"updates": rows}

    def _read(self, message: Message) -> None:
        rows = message.get("updates")
        if not isinstance(rows, list):
            raise errors.PeerMessageError("a sync without updates")
        self._knowledge.merge_view([decode_update(row) for row in rows])

    async def _answer(self, message: Message) -> Message:
        """Answer another VM's sync with what was known before it."""
        answer = self._message()
        self._read(message)
        return answer

    async def sync(self, address: str) -> bool:
        """Exchange views with the VM at an address; return whether it worked."""
        try:
            answer = await self._peers.call(
                address, SYNC_PATH, self._message(), SYNC_TIMEOUT_S
            )
            self._read(answer)
        except (errors.PeerUnreachableError, errors.PeerMessageError):
            return False
        return True

    async def sync_soon(self, address: str, *, unknown: bool = False) -> None:
        """Exchange views if it is due.

        Args:
          address: the other VM.
          unknown: it is not in the table, so it does not wait for quiet.
        """
        now_s = self._timer.now_s()
        quiet_s = now_s - self._table.changed_s
        pause_s = SYNC_PAUSE_S * self._rng.uniform(0.5, 1.5)
        if self._running or now_s - self._last_s < (
            JOIN_RETRY_S if unknown else pause_s
        ):
            return
        if not unknown and quiet_s < SETTLED_S:
            return
        self._running = True
        try:
            await self.sync(address)
        finally:
            self._running = False
            self._last_s = self._timer.now_s()

    async def join(self, addresses: Callable[[], list[str]]) -> None:
        """Join by any VM that answers; go on alone after a while.

        Args:
          addresses: returns the addresses to try; it may grow.
        """
        deadline_s = self._timer.now_s() + self._settings.join_alone_s
        while addresses():
            tries = addresses()
            self._rng.shuffle(tries)
            if await self.sync_any(tries) or self._table.others():
                events.emit(JOINED, vm=self._table.own_name)
                break
            if self._timer.now_s() >= deadline_s:
                events.emit(JOINED_ALONE, vm=self._table.own_name)
                break
            await self._timer.sleep(JOIN_RETRY_S)
        self._own.announce(Phase.ALIVE)

    async def sync_any(self, addresses: list[str]) -> bool:
        """Exchange views with the first VM that answers; return whether one did."""
        tasks = [asyncio.ensure_future(self.sync(address)) for address in addresses]
        try:
            for done in asyncio.as_completed(tasks):
                if await done:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()
