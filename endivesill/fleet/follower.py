"""An entry's part in the fleet's knowledge: it asks the leader for news."""

from __future__ import annotations

import itertools
import uuid
from collections.abc import Callable
from typing import Any

import attrs

from endivesill import errors, events
from endivesill.fleet.events import LEADER_LOST, LEADER_REACHED
from endivesill.fleet.load import EngineLoad, loads_from_rows, loads_to_rows
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.packing import unpack_document
from endivesill.fleet.shares import LOAN_LIFE_S, Loan
from endivesill.peers import Message, PeerTransport
from endivesill.signals import Signal
from endivesill.timer import TimerService

__all__ = ["SYNC_PATH", "FleetFollower", "FleetView"]

SYNC_PATH = "/fleet/sync"

# The leader answers after `NEWS_WAIT_S` at the latest; more means that it is
# frozen, cut off or gone.
SYNC_TIMEOUT_S = 0.45
RETRY_S = 0.05
RETRY_LIMIT_S = 0.2
# Without an answer for this long the leader counts as lost.
LOST_AFTER_S = 1.0


NO_LOAN = Loan(0.0, 0.0)


@attrs.define
class FleetView:
    """What an entry knows of the fleet.

    Attributes:
      version: version of the configuration; None before there is one.
      document: the configuration as the operator sent it.
      evacuation_index: log index of the last change of evacuations.
      evacuated: data centres whose targets get nothing.
      list_stamp: which reading of the platform's list this is.
      engines: the engines by incarnation.
      others: load of the other entries by incarnation of the engine.
      loan: this entry's share of the allowances.
      entries: how many entries hold a share.
      confirmed_s: as of when all of this was the newest.
    """

    version: int | None = None
    document: Any = None
    evacuation_index: int = -1
    evacuated: frozenset[str] = frozenset()
    list_stamp: list[int] = attrs.Factory(lambda: [0, 0])
    engines: dict[str, EngineInfo] = attrs.Factory(dict)
    others: dict[str, EngineLoad] = attrs.Factory(dict)
    loan: Loan = NO_LOAN
    entries: int = 1
    confirmed_s: float = float("-inf")


class FleetFollower:
    """Keeps a `FleetView` up to date.

    Args:
      timer: the timer service.
      transport: calls the control VMs.
      seeds: peer addresses of some control VMs.
      own_loads: returns this entry's load by incarnation of the engine.
      changed: called after each answer with the names of what is new.

    Attributes:
      view: what is known.
      entry: names this start of the entry.
      leader: peer address of the leader; None while it is not known.
      leader_lost: notified when a leader does not answer any more.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        seeds: tuple[str, ...],
        own_loads: Callable[[], dict[str, EngineLoad]],
        changed: Callable[[set[str]], None],
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._seeds = seeds
        self._known: list[str] = []
        self._own_loads = own_loads
        self._changed = changed
        self._grants_seen = 0
        self.entry = uuid.uuid4().hex[:12]
        self.leader: str | None = None
        self._positions = itertools.count()
        self._connected = False
        self.leader_lost = Signal()
        self.view = FleetView()

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds; control VMs that are known stay known."""
        self._seeds = seeds

    async def run(self) -> None:
        """Ask for news until cancelled."""
        retry_s = RETRY_S
        while True:
            address = self.leader or self._next_address()
            sent_s = self._timer.now_s()
            try:
                answer = await self._transport.call(
                    address, SYNC_PATH, self._question(), SYNC_TIMEOUT_S
                )
            except errors.PeerUnreachableError as error:
                self._note_silence(address, str(error))
                await self._timer.sleep(retry_s)
                retry_s = min(2 * retry_s, RETRY_LIMIT_S)
                continue
            if "share" in answer:
                retry_s = RETRY_S
                self._take(address, answer, sent_s)
                continue
            leader = answer.get("leader")
            self.leader = leader if leader != address else None
            if self.leader is None:
                self._note_silence(address, "does not lead")
            await self._timer.sleep(RETRY_S)

    def note_grant(self, number: int) -> None:
        """Note that a place which the leader granted is counted here now."""
        self._grants_seen = max(self._grants_seen, number)

    def report(self) -> Message:
        """Return this entry's load, as the leader takes it."""
        return {
            "entry": self.entry,
            "grants_seen": self._grants_seen,
            "loads": loads_to_rows(self._own_loads()),
        }

    async def leave(self) -> None:
        """Tell the leader that this entry stops."""
        if self.leader is None:
            return
        message = {**self._question(), "leaving": True}
        try:
            await self._transport.call(self.leader, SYNC_PATH, message, SYNC_TIMEOUT_S)
        except errors.PeerUnreachableError as error:
            # The loan ends by itself.
            events.emit(LEADER_LOST, address=self.leader, reason=str(error))

    def _next_address(self) -> str:
        addresses = list(dict.fromkeys([*self._known, *self._seeds]))
        return addresses[next(self._positions) % len(addresses)]

    def _question(self) -> Message:
        view = self.view
        return {
            **self.report(),
            "version": view.version,
            "evacuations": view.evacuation_index,
            "list": view.list_stamp,
            "share": view.loan.share_at(self._timer.now_s()),
        }

    def _note_silence(self, address: str, reason: str) -> None:
        self.leader = None
        self.leader_lost.notify()
        silent_s = self._timer.now_s() - self.view.confirmed_s
        if self._connected and silent_s > LOST_AFTER_S:
            self._connected = False
            events.emit(
                LEADER_LOST,
                address=address,
                reason=reason,
                silent_s=round(silent_s, 3),
                version=self.view.version,
            )

    def _take(self, address: str, answer: Message, sent_s: float) -> None:
        view = self.view
        news = {"loads"}
        if not self._connected:
            self._connected = True
            events.emit(LEADER_REACHED, address=address, term=answer["term"])
        state = answer.get("state")
        # The version never goes back: a higher one has replaced this one.
        if state and (view.version is None or state["version"] > view.version):
            view.document = unpack_document(state["packed"])
            view.version = state["version"]
            news.add("state")
        evacuated = answer.get("evacuations")
        if evacuated and evacuated["index"] > view.evacuation_index:
            view.evacuation_index = evacuated["index"]
            view.evacuated = frozenset(evacuated["data_centres"])
            news.add("evacuations")
        reading = answer.get("list")
        if reading and reading["stamp"] > view.list_stamp:
            view.list_stamp = reading["stamp"]
            engines = [EngineInfo(**row) for row in reading["engines"]]
            view.engines = {engine.incarnation: engine for engine in engines}
            news.add("engines")
        view.others = loads_from_rows(answer["loads"])
        # Counted from the question, so that it ends here before it ends there.
        view.loan = Loan(answer["share"], sent_s + LOAN_LIFE_S)
        view.entries = answer["entries"]
        view.confirmed_s = sent_s
        self.leader = address
        self._known = answer["controls"]
        self._changed(news)
