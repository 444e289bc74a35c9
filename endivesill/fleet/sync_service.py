"""The leader's side of the fleet synchronisation.

Entries long-poll the leader with the versions that they have. The reply comes at once
if anything is newer, else after `LONG_POLL_S`. Leadership is confirmed by a quorum
before each reply, so that a reply is never older than an acknowledged change.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from endivesill import errors
from endivesill.control import Applied, ControlReplica
from endivesill.fleet.engine_list import (
    EngineListReader,
    EngineListSource,
    list_to_message,
)
from endivesill.fleet.load import FleetLoads, loads_to_rows
from endivesill.fleet.packing import pack_document
from endivesill.fleet.shares import ShareAllocator
from endivesill.fleet.state import current_configuration, evacuations
from endivesill.fleet.sync_client import SYNC_PATH
from endivesill.peers import Message, PeerTransport
from endivesill.signals import Signal
from endivesill.timer import TimerService

__all__ = ["FleetSyncService"]

# Longest wait for updates; also the maximum age of the loads that are passed on.
LONG_POLL_S = 0.2
CONFIRM_TIMEOUT_S = 0.4
NOT_LEADING_PAUSE_S = 0.2


class FleetSyncService:
    """Serves the fleet state to entries while this VM leads.

    Args:
      timer: the timer service.
      replica: this VM's control replica.
      transport: the peer port.
      source: reads the platform's list.

    Attributes:
      reader: holds the newest snapshot of the list.
      loads: the loads of all entries.
    """

    def __init__(
        self,
        timer: TimerService,
        replica: ControlReplica,
        transport: PeerTransport,
        source: EngineListSource,
    ) -> None:
        self._timer = timer
        self._replica = replica
        self._updated = Signal()
        self._packed_version: int | None = None
        self._packed_text = ""
        self._on_change: Callable[[], None] = lambda: None
        self.reader = EngineListReader(timer, source)
        self.loads = FleetLoads()
        self._allocator: ShareAllocator | None = None
        self._term = 0
        transport.handle(SYNC_PATH, self._handle_sync)
        replica.subscribe_applied(self._note_applied)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Set the function called after load reports, list changes and commands."""
        self._on_change = listener

    def apply_departures(self) -> None:
        """Publish engines that have begun to leave, or no longer do."""
        if self.reader.apply_departures():
            self._updated.notify()
            self._on_change()

    def leads(self) -> bool:
        """Return whether this VM leads, without confirmation by a quorum."""
        return self._replica.core.leadership is not None

    def _note_applied(self, applied: Applied) -> None:
        self._updated.notify()
        self._on_change()

    async def run(self) -> None:
        """Read the platform's list while this VM leads, until cancelled."""
        while True:
            term = await self._confirmed_term()
            if term is None:
                await self._timer.sleep(NOT_LEADING_PAUSE_S)
                continue
            if await self.reader.read(term):
                self._updated.notify()
                self._on_change()
            await self.reader.wait_until_due()

    async def _confirmed_term(self) -> int | None:
        """Return the term if a quorum confirms that this VM leads, else None.

        A new term starts with a new share allocator.
        """
        leadership = self._replica.core.leadership
        if leadership is None:
            return None
        try:
            index = await leadership.read_index(CONFIRM_TIMEOUT_S)
            await self._timer.wait_for(
                self._replica.core.wait_applied(index), CONFIRM_TIMEOUT_S
            )
        except (errors.UnavailableError, errors.DeadlineExceededError):
            return None
        if leadership.term != self._term:
            self._term = leadership.term
            self._allocator = ShareAllocator(self._timer.now_s())
        return leadership.term

    async def _handle_sync(self, message: Message) -> Message:
        """Reply to an entry's sync request.

        Args:
          message: `{"entry", "version", "evacuations", "list", "share", "loads",
            "grants_seen", "leaving"}`: the entry, the versions and the share that it
            has, its load by incarnation, and the last grant included in it.

        Returns:
          `{"leader"}` from a VM that does not lead; `{}` to an entry that leaves; else
          `{"share", "entries", "loads", "controls", "term"}` and, where newer,
          `"state"`, `"evacuations"` and `"list"`.
        """
        entry_id = message["entry"]
        if message.get("leaving"):
            if self._allocator is not None:
                self._allocator.release(entry_id)
            self.loads.remove(entry_id)
            return {}
        self.loads.record_report(
            entry_id, message["loads"], message["grants_seen"], self._timer.now_s()
        )
        self._on_change()
        if not self._has_updates(message):
            await self._wait_for_updates(message)
        if await self._confirmed_term() is None:
            return {"leader": self._replica.core.active_leader_address()}
        return self._build_reply(entry_id, message)

    async def _wait_for_updates(self, message: Message) -> None:
        async def wait() -> None:
            while not self._has_updates(message):
                await self._updated.wait()

        try:
            await self._timer.wait_for(wait(), LONG_POLL_S)
        except errors.DeadlineExceededError:
            return

    def _has_updates(self, message: Message) -> bool:
        return bool(self._updates_for(message)) or self._replica.core.leadership is None

    def _updates_for(self, message: Message) -> dict[str, Callable[[], Any]]:
        """Return a builder for each part of the state that the entry lacks."""
        updates: dict[str, Callable[[], Any]] = {}
        state = current_configuration(self._replica.state)
        known_version = message["version"]
        if state is not None and (
            known_version is None or state["version"] > known_version
        ):
            updates["state"] = lambda: {
                "version": state["version"],
                "packed": self._packed_document(state),
            }
        index, data_centres = evacuations(self._replica.state)
        if index > message["evacuations"]:
            updates["evacuations"] = lambda: {
                "index": index,
                "data_centres": data_centres,
            }
        snapshot = self.reader.current
        if snapshot is not None and snapshot.stamp > message["list"]:
            updates["list"] = lambda: list_to_message(snapshot, self._timer.now_s())
        return updates

    def _packed_document(self, state: Message) -> str:
        """Return the packed configuration, cached by version."""
        if self._packed_version != state["version"]:
            self._packed_version = state["version"]
            self._packed_text = pack_document(state["document"])
        return self._packed_text

    def _build_reply(self, entry_id: str, message: Message) -> Message:
        now_s = self._timer.now_s()
        assert self._allocator is not None
        return {
            **{name: build() for name, build in self._updates_for(message).items()},
            "share": self._allocator.renew(entry_id, message["share"], now_s),
            "entries": len(self._allocator.entries(now_s)),
            "loads": loads_to_rows(self.loads.totals(now_s, excluding=entry_id)),
            "controls": sorted(self._replica.core.voter_set.members.values()),
            "term": self._term,
        }
