"""An entry's side of the fleet synchronisation."""

from __future__ import annotations

import itertools
import uuid
from collections.abc import Callable

from endivesill import errors, events
from endivesill.fleet.crash_exchange import CrashExchange
from endivesill.fleet.engine_limits import EngineLimits, LimitRow
from endivesill.fleet.entry_peers import EntryPeers
from endivesill.fleet.events import (
    ENGINES_UNREPORTED,
    LEADER_LOST,
    LEADER_REACHED,
)
from endivesill.fleet.list_updates import apply_list_update
from endivesill.fleet.load import EngineLoad, loads_to_rows, subtract_rows
from endivesill.fleet.outcomes import OutcomeCounts
from endivesill.fleet.packing import unpack_document
from endivesill.fleet.pauses import PauseCounts
from endivesill.fleet.polling import addresses_digest, long_poll_s
from endivesill.fleet.shares import LEASE_DURATION_S, EntryTurn, ShareLease
from endivesill.fleet.view import NO_LIST_STAMP, NO_LOADS_STAMP, FleetView
from endivesill.peers import Message, PeerTransport
from endivesill.rollouts.entry import OFFER_PATH, EntryRollouts
from endivesill.signals import Signal
from endivesill.timer import TimerService

__all__ = [
    "ENGINES_PATH",
    "NO_LIST_STAMP",
    "SYNC_PATH",
    "FleetSyncClient",
    "FleetView",
]

SYNC_PATH = "/fleet/sync"
ENGINES_PATH = "/fleet/engines"

# Time beyond the wait for updates after which the leader hangs, is partitioned or has
# stopped.
SYNC_TIMEOUT_S = 0.25
# A request waits no longer to learn whether it goes to a new version.
OFFER_TIMEOUT_S = 0.05
RETRY_S = 0.05
MAX_RETRY_S = 0.2
# Time without a reply after which the loss of the leader is logged.
LEADER_LOST_AFTER_S = 1.0


class FleetSyncClient:
    """Keeps a `FleetView` up to date by long-polling the leader.

    Args:
      timer: the timer service.
      transport: calls the control VMs.
      seeds: peer addresses of some control VMs.
      own_loads: returns this entry's load by incarnation.
      on_update: called after each reply with the names of the updated parts.
      departures: returns the incarnations that have announced their departure while
        the list does not show it.

    Attributes:
      view: the view of the fleet.
      entry_id: identifies this start of the entry.
      own_loads: returns this entry's load by incarnation.
      leader: peer address of the leader; None while unknown.
      leader_lost: notified when the leader does not reply.
      outcomes: outcomes of requests for the next report.
      pauses: pauses of streams for the next report.
      crashes: exchanges reports of crashes with the control VMs.
      limits: the request rates to which engines limit all entries together.
      entry_peers: the entries that may send requests of this one.
      rollouts: the roll-outs that run, and the outcomes for them.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        seeds: tuple[str, ...],
        own_loads: Callable[[], dict[str, EngineLoad]],
        on_update: Callable[[set[str]], None],
        departures: Callable[[], list[str]] = list,
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._seeds = seeds
        self._control_addresses: list[str] = []
        self.own_loads = own_loads
        self._on_update = on_update
        self._departures = departures
        self._grants_seen = 0
        self.entry_id = uuid.uuid4().hex[:12]
        self.leader: str | None = None
        self._attempts = itertools.count()
        self._connected = False
        self.leader_lost = Signal()
        self.outcomes = OutcomeCounts()
        self.pauses = PauseCounts()
        self.crashes = CrashExchange(
            timer, transport, self._known_controls, lambda: self.leader
        )
        self.limits = EngineLimits(timer)
        self.entry_peers = EntryPeers(timer)
        # The leader that has the limits, and their number.
        self._limits_reported: tuple[str | None, int] = (None, 0)
        # Whether `report_engines` is running, and was called since its last report.
        self._is_reporting = False
        self._has_news = False
        self.view = FleetView()
        self.rollouts = EntryRollouts(
            timer,
            lambda: timer.now_s() < self.view.lease.expires_s,
            self._offer_request,
        )

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds; control VMs learnt from the leader are kept."""
        self._seeds = seeds

    async def run(self) -> None:
        """Poll the leader until cancelled."""
        retry_s = RETRY_S
        while True:
            address = self.leader or self._next_address()
            if address is None:
                await self._timer.sleep(RETRY_S)
                continue
            sent_s = self._timer.now_s()
            request = {
                **self._sync_request(),
                **self.crashes.request_fields(address),
                **self.entry_peers.request_fields(address),
                **self.rollouts.request_fields(),
            }
            try:
                reply = await self._transport.call(
                    address, SYNC_PATH, request, self._sync_timeout_s()
                )
            except errors.PeerUnreachableError as error:
                self._restore(request)
                self.crashes.forget(address)
                self._note_unreachable(address, str(error))
                await self._timer.sleep(retry_s)
                retry_s = min(2 * retry_s, MAX_RETRY_S)
                continue
            self.crashes.apply_reply(address, request, reply)
            if "share" in reply:
                retry_s = RETRY_S
                self._limits_reported = (address, request["limits_number"])
                self.entry_peers.apply_reply(address, request, reply)
                self._apply(address, reply, sent_s)
                continue
            self._restore(request)
            leader = reply.get("leader")
            self.leader = leader if leader != address else None
            if self.leader is None:
                self._note_unreachable(address, "does not lead")
            await self._timer.sleep(RETRY_S)

    def _restore(self, request: Message) -> None:
        """Take back what a poll would have reported to the leader."""
        self.outcomes.restore(request["outcomes"])
        self.pauses.restore(request["pauses"])
        self.rollouts.restore(request)

    def note_grant(self, number: int) -> None:
        """Record that this entry's load now includes a grant."""
        self._grants_seen = max(self._grants_seen, number)

    def load_report(self) -> Message:
        """Return this entry's load as a part of messages to the leader."""
        return {
            "entry": self.entry_id,
            "grants_seen": self._grants_seen,
            "loads": loads_to_rows(self.own_loads()),
        }

    async def report_engines(self) -> None:
        """Report leaving engines, outcomes and lost links to the leader at once.

        The running poll may last as long as the leader holds it. After a failure, the
        next poll reports them.
        """
        self._has_news = True
        if self._is_reporting:
            return
        self._is_reporting = True
        try:
            while self._has_news and self.leader is not None:
                self._has_news = False
                await self._send_report(self.leader)
        finally:
            self._is_reporting = False

    async def _send_report(self, leader: str) -> None:
        outcomes = self.outcomes.take()
        number = self.limits.number
        message = {
            "departures": self._departures(),
            "outcomes": outcomes,
            "limits": self._unreported_limits(leader),
            "entry": self.entry_id,
            **self.entry_peers.request_fields(leader),
        }
        try:
            reply = await self._transport.call(
                leader, ENGINES_PATH, message, SYNC_TIMEOUT_S
            )
            self._limits_reported = (leader, number)
            self.entry_peers.apply_reply(leader, message, reply)
        except errors.PeerUnreachableError as error:
            self.outcomes.restore(outcomes)
            events.emit(ENGINES_UNREPORTED, leader=leader, reason=str(error))

    async def _offer_request(self, message: Message) -> Message | None:
        """Offer a request to the leader; None without its answer."""
        if self.leader is None:
            return None
        try:
            return await self._transport.call(
                self.leader, OFFER_PATH, message, OFFER_TIMEOUT_S
            )
        except errors.PeerUnreachableError:
            # The poll notices and logs the loss of the leader.
            return None

    async def deregister(self) -> None:
        """Notify the leader that this entry stops; a failure is logged."""
        if self.leader is None:
            return
        message = {**self._sync_request(), "leaving": True}
        try:
            await self._transport.call(self.leader, SYNC_PATH, message, SYNC_TIMEOUT_S)
        except errors.PeerUnreachableError as error:
            # The lease expires anyway.
            events.emit(LEADER_LOST, address=self.leader, reason=str(error))

    def _unreported_limits(self, leader: str | None) -> dict[str, LimitRow]:
        """Return the limits if the leader may lack some of them."""
        if self._limits_reported == (leader, self.limits.number):
            return {}
        return self.limits.rows()

    def _known_controls(self) -> list[str]:
        return list(dict.fromkeys([*self._control_addresses, *self._seeds]))

    def _next_address(self) -> str | None:
        addresses = self._known_controls()
        if not addresses:
            return None
        return addresses[next(self._attempts) % len(addresses)]

    def _sync_timeout_s(self) -> float:
        return long_poll_s(self.view.entry_count) + SYNC_TIMEOUT_S

    def _sync_request(self) -> Message:
        view = self.view
        return {
            **self.load_report(),
            "version": view.version,
            "evacuations": view.evacuation_index,
            "list": view.list_stamp,
            "departures": self._departures(),
            "outcomes": self.outcomes.take(),
            "pauses": self.pauses.take(),
            "ejections": view.ejections_stamp,
            "limits": self._unreported_limits(self.leader),
            "limits_number": self.limits.number,
            "limits_stamp": view.limits_stamp,
            "loads_stamp": view.loads_stamp,
            "controls": addresses_digest(self._control_addresses),
            "wait_s": long_poll_s(view.entry_count),
            "share": view.lease.share_at(self._timer.now_s()),
        }

    def _note_unreachable(self, address: str, reason: str) -> None:
        self.leader = None
        self.leader_lost.notify()
        unreachable_s = self._timer.now_s() - self.view.confirmed_at_s
        if self._connected and unreachable_s > LEADER_LOST_AFTER_S:
            self._connected = False
            events.emit(
                LEADER_LOST,
                address=address,
                reason=reason,
                silent_s=round(unreachable_s, 3),
                version=self.view.version,
            )

    def _apply(self, address: str, reply: Message, sent_s: float) -> None:
        view = self.view
        updated = {"loads"}
        if not self._connected:
            self._connected = True
            events.emit(LEADER_REACHED, address=address, term=reply["term"])
        state = reply.get("state")
        # A leader that lags behind must not roll back the version.
        if state and (view.version is None or state["version"] > view.version):
            view.document = unpack_document(state["packed"])
            view.version = state["version"]
            updated.add("state")
        evacuated = reply.get("evacuations")
        if evacuated and evacuated["index"] > view.evacuation_index:
            view.evacuation_index = evacuated["index"]
            view.evacuated = frozenset(evacuated["data_centres"])
            updated.add("evacuations")
        engine_list = reply.get("list")
        if engine_list and engine_list["stamp"] > view.list_stamp:
            engines = apply_list_update(view.engines, view.list_stamp, engine_list)
            if engines is not None:
                view.engines = engines
                view.list_stamp = engine_list["stamp"]
                updated.add("engines")
        ejections = reply.get("ejections")
        if ejections and ejections["stamp"] > view.ejections_stamp:
            view.ejections_stamp = ejections["stamp"]
            view.ejections = ejections["remaining_s"]
            updated.add("ejections")
        limits = reply.get("limits")
        if limits and limits["stamp"] > view.limits_stamp:
            view.limits_stamp = limits["stamp"]
            self._merge_limits(address, limits["rows"])
            updated.add("limits")
        if self.rollouts.apply_reply(reply):
            updated.add("rollouts")
        if "loads" in reply:
            view.loads_stamp = reply.get("loads_stamp", NO_LOADS_STAMP)
            own_rows = reply.get("own_loads", {})
            view.remote_loads = subtract_rows(reply["loads"], own_rows)
        # Counted from the request, so that the lease expires here before it does at
        # the leader.
        view.lease = ShareLease(reply["share"], sent_s + LEASE_DURATION_S)
        if "turn" in reply:
            index, count, clock_s = reply["turn"]
            view.turn = EntryTurn(index, count, clock_s - self._timer.now_s())
        view.entry_count = reply["entries"]
        view.confirmed_at_s = sent_s
        self.leader = address
        self._control_addresses = reply.get("controls", self._control_addresses)
        self._on_update(updated)

    def _merge_limits(self, leader: str, rows: dict[str, LimitRow]) -> None:
        """Merge the leader's limits; they need not be reported back to it."""
        is_current = self._limits_reported == (leader, self.limits.number)
        is_behind = self.limits.merge(rows)
        if is_current and not is_behind:
            self._limits_reported = (leader, self.limits.number)
