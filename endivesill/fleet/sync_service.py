"""The leader's side of the fleet synchronisation.

Entries long-poll the leader with the versions that they have. The reply comes at once
if anything is newer, else after the wait that the entry asks for. Leadership is
confirmed by a quorum before each reply, so that a reply is never older than an
acknowledged change.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable
from typing import Any

from endivesill import errors
from endivesill.control import Applied, ControlReplica, State
from endivesill.control.leadership import Leadership
from endivesill.fleet.crash_exchange import CrashService
from endivesill.fleet.engine_list import EngineListReader, EngineListSource
from endivesill.fleet.entry_peers import EntryDirectory
from endivesill.fleet.list_updates import ListUpdates
from endivesill.fleet.load import FleetLoads
from endivesill.fleet.load_replies import LoadReplies
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.outcomes import Ejections
from endivesill.fleet.packing import PackedState
from endivesill.fleet.pauses import PauseRates
from endivesill.fleet.permit_service import PermitService
from endivesill.fleet.permits import LeaderPermits
from endivesill.fleet.polling import (
    MAX_LONG_POLL_S,
    MIN_LONG_POLL_S,
    addresses_digest,
)
from endivesill.fleet.shares import ShareAllocator
from endivesill.fleet.state import current_configuration, evacuations
from endivesill.fleet.sync_client import ENGINES_PATH, SYNC_PATH
from endivesill.peers import EncodedValue, Message, PeerTransport
from endivesill.rollouts.polls import RolloutPolls
from endivesill.signals import Signal
from endivesill.timer import TimerService

__all__ = ["FleetSyncService"]

CONFIRM_TIMEOUT_S = 0.4
# Entries wait for the list after an election, so a new leader reads it soon.
NOT_LEADING_PAUSE_S = 0.05


class FleetSyncService:
    """Serves the fleet state to entries while this VM leads.

    Args:
      timer: the timer service.
      replica: this VM's control replica.
      transport: the peer port.
      source: reads the platform's list.
      encode_document: returns a configuration document in the form for entries.

    Attributes:
      reader: holds the newest snapshot of the list.
      loads: the loads of all entries.
      limits: the request rates to which engines limit all entries together.
      permits: permits of all entries to send requests to these engines.
      crashes: exchanges reports of crashes with the entries.
      rollouts: adds what concerns roll-outs to the polls.
      pauses: the pauses in the streams of each engine.
    """

    def __init__(
        self,
        timer: TimerService,
        replica: ControlReplica,
        transport: PeerTransport,
        source: EngineListSource,
        encode_document: Callable[[Any], Any] = lambda document: document,
    ) -> None:
        self._timer = timer
        self._replica = replica
        self._updated = Signal()
        self._packed_state = PackedState(encode_document)
        self._list_updates = ListUpdates()
        self._entries = EntryDirectory(timer, random.Random())
        self._on_change: Callable[[], None] = lambda: None
        self._on_loads: Callable[[], None] = lambda: None
        self._on_outcomes: Callable[[dict[str, list[int]]], None] = lambda rows: None
        self._ejections = Ejections(timer)
        self.reader = EngineListReader(timer, source)
        self.loads = FleetLoads()
        self._load_replies = LoadReplies(self.loads)
        self.limits = self.reader.notices.limits
        self.permits = LeaderPermits(
            timer, self.limits, self.loads, self.reader.slots_of
        )
        PermitService(
            timer,
            transport,
            self.permits,
            self.confirm_leadership,
            self._record_limits,
        )
        self._allocator: ShareAllocator | None = None
        self._published_limits = 0
        self._term = 0
        self.crashes = CrashService(timer, transport, replica)
        self.crashes.evidence.on_change = self._updated.notify
        self.rollouts = RolloutPolls()
        self.pauses = PauseRates(timer)
        transport.handle(SYNC_PATH, self.handle_sync)
        transport.handle(ENGINES_PATH, self._handle_engines)
        replica.subscribe_applied(self._note_applied)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Set the function called after list changes and commands."""
        self._on_change = listener

    def on_loads(self, listener: Callable[[], None]) -> None:
        """Set the function called after each load report."""
        self._on_loads = listener

    def on_outcomes(self, listener: Callable[[dict[str, list[int]]], None]) -> None:
        """Set the function called with the rows of each report of outcomes."""
        self._on_outcomes = listener

    def notify_entries(self) -> None:
        """Let the polls of entries look for updates."""
        self._updated.notify()

    def publish_ejection(self, incarnation: str, duration_s: float) -> None:
        """Make all entries eject a target for a time."""
        self._ejections.add(incarnation, duration_s)
        self._updated.notify()

    def apply_departures(self) -> None:
        """Publish engines that have begun to leave, or no longer do."""
        if self.reader.apply_departures():
            self._updated.notify()
            self._on_change()

    def note_departures(self, incarnations: Iterable[str], source: str) -> None:
        """Publish engines that have announced their departure."""
        snapshot = self.reader.current
        listed = snapshot.engines if snapshot is not None else {}
        for incarnation in incarnations:
            if incarnation in listed:
                self.reader.notices.note_leaving(listed[incarnation], source)
        self.apply_departures()

    def note_poll(
        self,
        engine: EngineInfo,
        *,
        is_leaving: bool,
        pause_s: float | None,
        limit_per_s: float | None,
        brittle_per_s: float | None = None,
    ) -> None:
        """Record what an engine announces in its response to a poll of this VM.

        See `EngineNotices` and `EngineLimits` for the arguments. A response to a poll
        ends nothing that it does not name.
        """
        notices = self.reader.notices
        if is_leaving and not notices.is_leaving(engine.incarnation):
            self.note_departures([engine.incarnation], "poll")
        if pause_s is not None:
            notices.note_pause(engine, pause_s)
        self.limits.note_response(engine.incarnation, limit_per_s, may_end=False)
        self.limits.note_brittle(engine.incarnation, brittle_per_s, may_end=False)
        self._publish_limits()

    def may_poll(self, engine: EngineInfo) -> bool:
        """Return whether an engine's limit leaves room for a poll by this VM."""
        return self.permits.may_poll(engine.incarnation)

    @property
    def state(self) -> State:
        """The replicated state."""
        return self._replica.state

    def leads(self) -> bool:
        """Return whether this VM leads, without confirmation by a quorum."""
        return self._replica.core.leadership is not None

    def _note_applied(self, applied: Applied) -> None:
        self.crashes.load()
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
            await self.crashes.store()
            await self.reader.wait_until_due()

    async def _confirmed_term(self) -> int | None:
        """Return the term if a quorum confirms that this VM leads, else None.

        A new term starts with a new share allocator.
        """
        leadership = self._replica.core.leadership
        if leadership is None:
            return None
        if not self._is_current(leadership):
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
            self.permits.reset()
        return leadership.term

    async def confirm_leadership(self) -> bool:
        """Return whether a quorum confirms that this VM leads."""
        return await self._confirmed_term() is not None

    def _is_current(self, leadership: Leadership) -> bool:
        """Return whether the applied state is known to be current without waiting."""
        core = self._replica.core
        return (
            leadership.has_committed_in_term()
            and leadership.holds_lease()
            and core.machine.applied_index >= core.commit_index
        )

    async def handle_sync(self, message: Message) -> Message:
        """Reply to an entry's sync request.

        Args:
          message: `{"entry", "version", "evacuations", "list", "share", "loads",
            "grants_seen", "departures", "outcomes", "ejections", "limits",
            "limits_stamp", "loads_stamp", "controls", "crashes", "crashes_stamp",
            "wait_s", "leaving", "reach", "peers_wanted"}`: the entry, the versions and
            the share that it has, its load by incarnation, the last grant included in
            it, what it knows of engines (see `_handle_engines`), its reports of
            crashes, and how long to wait for updates.

        Returns:
          `{"leader"}` from a VM that does not lead; `{}` to an entry that leaves; else
          `{"share", "entries", "term"}`; once all entries are known, `"turn"` with
          place, number of places and clock; and, where newer, `"state"`,
          `"evacuations"`, `"list"`, `"ejections"`, `"controls"`, and `"loads"` with
          the part of the entry in `"own_loads"`, and the fields of `EntryDirectory`.
        """
        entry_id = message["entry"]
        if message.get("leaving"):
            if self._allocator is not None:
                self._allocator.release(entry_id)
            self._entries.remove(entry_id)
            self.loads.remove(entry_id)
            self.rollouts.forget(entry_id)
            return {}
        self._record_load(message)
        self._record_engines(message)
        self.crashes.record(message)
        self.rollouts.record(message)
        self.pauses.add(message.get("pauses", {}))
        self._on_loads()
        if not self._has_updates(message):
            await self._wait_for_updates(message)
        if await self._confirmed_term() is None:
            leader = self._replica.core.active_leader_address()
            return {"leader": leader, **self.crashes.reply_fields(message)}
        return self._build_reply(entry_id, message)

    async def _handle_engines(self, message: Message) -> Message:
        """Record what an entry reports about engines.

        Args:
          message: `{"departures", "outcomes", "limits", "entry", "reach"}`: leaving
            incarnations, rows of `OutcomeCounts` and `EngineLimits`, and the entry.

        Returns:
          The fields of `EntryDirectory` for the entry.
        """
        self._record_engines(message)
        if not self.leads() or "entry_number" not in message:
            return {}
        return self._entries.reply_fields(message)

    def _record_engines(self, message: Message) -> None:
        if not self.leads():
            return
        if message.get("departures"):
            self.note_departures(message["departures"], "entry")
        if message.get("outcomes"):
            self._on_outcomes(message["outcomes"])
        if "entry" in message:
            self._entries.record(message)
        self._record_limits(message)

    def _record_load(self, message: Message) -> None:
        loads, grants_seen = message["loads"], message["grants_seen"]
        now_s = self._timer.now_s()
        self.loads.record_report(message["entry"], loads, grants_seen, now_s)

    def _record_limits(self, message: Message) -> None:
        """Merge the limits that an entry has learnt of."""
        if "wanted" in message and "loads" in message:
            self._record_load(message)
        if message.get("limits"):
            self.limits.merge(message["limits"])
            self._publish_limits()

    def _publish_limits(self) -> None:
        """Tell the entries about limits of engines that have changed."""
        if self.limits.number != self._published_limits:
            self._published_limits = self.limits.number
            self._updated.notify()

    async def _wait_for_updates(self, message: Message) -> None:
        async def wait() -> None:
            while not self._has_updates(message):
                await self._updated.wait()

        try:
            wait_s = min(MAX_LONG_POLL_S, message.get("wait_s", MIN_LONG_POLL_S))
            await self._timer.wait_for(wait(), wait_s)
        except errors.DeadlineExceededError:
            return

    def _has_updates(self, message: Message) -> bool:
        return (
            bool(self._updates_for(message) or message.get("peers_wanted"))
            or self.crashes.has_updates(message)
            or self.rollouts.has_updates(message)
            or self._replica.core.leadership is None
        )

    def _updates_for(self, message: Message) -> dict[str, Callable[[], EncodedValue]]:
        """Return a builder for each part of the state that the entry lacks."""
        updates: dict[str, Callable[[], EncodedValue]] = {}
        state = current_configuration(self._replica.state)
        known_version = message["version"]
        if state is not None and (
            known_version is None or state["version"] > known_version
        ):
            updates["state"] = lambda: self._packed_state.encode(state)
        index, data_centres = evacuations(self._replica.state)
        if index > message["evacuations"]:
            evacuated = {"index": index, "data_centres": data_centres}
            updates["evacuations"] = lambda: EncodedValue(json.dumps(evacuated))
        snapshot = self.reader.current
        if snapshot is not None and snapshot.stamp > message["list"]:
            updates["list"] = lambda: self._list_updates.update_for(
                snapshot, message["list"], self._timer.now_s()
            )
        stamp = [self._term, self._ejections.number]
        if self._ejections.number and stamp > message.get("ejections", stamp):
            ejections = {
                "stamp": stamp,
                "remaining_s": self._ejections.remaining_s(),
            }
            updates["ejections"] = lambda: EncodedValue(json.dumps(ejections))
        limits_stamp = [self._term, self.limits.number]
        if self.limits.number and limits_stamp > message.get(
            "limits_stamp", limits_stamp
        ):
            limits = {"stamp": limits_stamp, "rows": self.limits.rows()}
            updates["limits"] = lambda: EncodedValue(json.dumps(limits))
        return updates

    def _build_reply(self, entry_id: str, message: Message) -> Message:
        now_s = self._timer.now_s()
        assert self._allocator is not None
        reply: Message = {
            name: build() for name, build in self._updates_for(message).items()
        }
        reply["share"] = self._allocator.renew(entry_id, message["share"], now_s)
        reply["entries"] = self._allocator.entry_count(now_s)
        place = self._allocator.place(entry_id, now_s)
        if place is not None:
            reply["turn"] = [*place, round(now_s, 4)]
        reply.update(self._load_replies.fields(message, self._term, now_s))
        controls = sorted(self._replica.core.voter_set.members.values())
        if addresses_digest(controls) != message.get("controls"):
            reply["controls"] = controls
        reply.update(self.crashes.reply_fields(message))
        reply.update(self.rollouts.reply_fields(message))
        if "entry_number" in message:
            reply.update(self._entries.reply_fields(message))
        reply["term"] = self._term
        return reply
