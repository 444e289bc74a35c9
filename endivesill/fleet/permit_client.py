"""An entry's permits to send requests to engines that limit their rate.

The leader grants them. While none answers, the entries take turns by the clock of the
last leader: each interval of a limit belongs to one entry, so that the entries need not
know of each other, and a turn that is not used is not saved up. The slots of a brittle
engine are divided among the entries, or taken in turns if they are too few.
"""

from __future__ import annotations

import asyncio
import collections
import math
import zlib
from collections.abc import Callable

from endivesill import errors, events
from endivesill.fleet.events import PERMITS_UNANSWERED
from endivesill.fleet.permit_service import PERMITS_PATH
from endivesill.fleet.permits import SendPermits
from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["PermitClient"]

REQUEST_TIMEOUT_S = 0.25
# How long a permit may be used; the request it was granted for waits for it.
PERMIT_TTL_S = 0.5
# Requests for permits of all entries that one leader answers, and the shortest time
# between two of one entry; the requests that wait are looked at as often.
REQUESTS_PER_S = 2_000.0
MIN_REQUEST_PERIOD_S = 0.02
# Longest time until an entry asks again for permits of an engine that had none.
MAX_REQUEST_PAUSE_S = 1.0
# Shortest turn of an entry while no leader answers; requests that wait are looked at
# every 0.02 s.
MIN_TURN_S = 0.05
PRUNE_PERIOD_S = 60.0
# How often an entry looks whether it has left slots of brittle engines that others may
# wait for.
RELEASE_PERIOD_S = 0.05
# Turn of an entry at a slot of a brittle engine while no leader answers, and the part
# of it in which requests may start, so that most end within it.
SLOT_TURN_S = 1.0
SLOT_START_FRACTION = 0.5


class PermitClient(SendPermits):
    """Permits of one entry.

    Args:
      timer: the timer service.
      transport: calls the leader.
      sync_client: knows the leader, the limits and this entry's turn.

    Attributes:
      on_change: called after each reply of the leader.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        sync_client: FleetSyncClient,
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._sync_client = sync_client
        self._limits = sync_client.limits
        self.on_change: Callable[[], None] = lambda: None
        # By engine: when each permit expires, and the limit under which it was granted.
        self._held: dict[str, collections.deque[tuple[float, float]]] = {}
        self._free_at_s: dict[str, float] = {}
        self._ask_again_s: dict[str, float] = {}
        self._wanted: dict[str, int] = {}
        self._pending_groups: set[str] = set()
        self._task: asyncio.Task[None] | None = None
        self._next_request_s = float("-inf")
        self._silent_until_s = float("-inf")
        # By engine: number of the last turn that was used, and requests sent in it.
        self._turns: dict[str, tuple[int, int]] = {}
        self._waiting_entries = 1
        # Requests of this entry at brittle engines when it last reported to the leader.
        self._reported: dict[str, int] = {}
        timer.call_every(RELEASE_PERIOD_S, self._report_releases)
        timer.call_every(PRUNE_PERIOD_S, self._prune)

    @property
    def rate_share(self) -> float:
        """Fraction of a limit that this entry can expect."""
        turn = self._sync_client.view.turn
        if self._has_leader() or turn is None:
            return 1 / self._waiting_entries
        return 1 / turn.count

    def limit_per_s(self, incarnation: str) -> float | None:
        """Return the limit of an engine; see the base class."""
        return self._limits.limit_per_s(incarnation)

    def _needs_permit(self, incarnation: str) -> bool:
        limits = self._limits
        is_limited = limits.limit_per_s(incarnation) is not None
        return is_limited or limits.is_brittle(incarnation)

    def may_send(self, incarnation: str) -> bool:
        """Return whether a permit or this entry's turn allows one more request."""
        if not self._needs_permit(incarnation):
            return True
        limit_per_s = self._limits.limit_per_s(incarnation)
        if self._has_leader():
            return bool(self._usable(incarnation, limit_per_s))
        if self._limits.is_brittle(incarnation) and not self._has_own_slot(incarnation):
            return False
        if limit_per_s is None:
            return True
        return self._turn_number(incarnation, limit_per_s) is not None

    def take(self, incarnation: str) -> bool:
        """Use a permit or this entry's turn; see the base class."""
        if not self.may_send(incarnation):
            return False
        if not self._needs_permit(incarnation):
            return True
        if self._has_leader():
            self._held[incarnation].popleft()
            return True
        limit_per_s = self._limits.limit_per_s(incarnation)
        if limit_per_s is None:
            return True
        number = self._turn_number(incarnation, limit_per_s)
        last, used = self._turns.get(incarnation, (None, 0))
        assert number is not None
        self._turns[incarnation] = (number, used + 1 if last == number else 1)
        return True

    def free_at_s(self, incarnation: str) -> float | None:
        """Return when a permit is expected to be free; see the base class."""
        if not self._needs_permit(incarnation):
            return self._timer.now_s()
        if self._has_leader():
            return self._free_at_s.get(incarnation)
        limit_per_s = self._limits.limit_per_s(incarnation)
        if limit_per_s is None:
            return None
        return self._next_turn_s(incarnation, limit_per_s)

    def unused(self) -> dict[str, int]:
        """Return the permits that hold a slot; see the base class."""
        limits = self._limits
        unused = {
            incarnation: self._usable(incarnation, limits.limit_per_s(incarnation))
            for incarnation in self._held
            if limits.is_brittle(incarnation)
        }
        return {incarnation: count for incarnation, count in unused.items() if count}

    # Permits of the leader.

    def may_request(self, group: str, incarnation: str) -> bool:
        """Return whether the leader may have a permit; see the base class."""
        return (
            self._has_leader()
            and group not in self._pending_groups
            and self._timer.now_s() >= self._ask_again_s.get(incarnation, 0.0)
        )

    def request(self, group: str, incarnation: str, count: int) -> None:
        """Request permits from the leader; see the base class."""
        self._pending_groups.add(group)
        self._wanted[incarnation] = self._wanted.get(incarnation, 0) + count
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._request_wanted())

    async def _request_wanted(self, *, is_report: bool = False) -> None:
        """Request permits until nothing more is wanted.

        Args:
          is_report: whether the load is to be reported even if nothing is wanted.
        """
        while self._wanted or is_report:
            is_report = False
            pause_s = self._next_request_s - self._timer.now_s()
            if pause_s > 0:
                await self._timer.sleep(pause_s)
            period_s = self._sync_client.view.entry_count / REQUESTS_PER_S
            now_s = self._timer.now_s()
            self._next_request_s = now_s + max(MIN_REQUEST_PERIOD_S, period_s)
            wanted, self._wanted = self._wanted, {}
            groups = set(self._pending_groups)
            try:
                await self._request(wanted, now_s)
            finally:
                self._pending_groups -= groups
            self.on_change()

    async def _request(self, wanted: dict[str, int], sent_s: float) -> None:
        leader = self._sync_client.leader
        if leader is None:
            return
        message = {
            **self._sync_client.load_report(),
            "wanted": wanted,
            "limits": self._limits.rows(),
        }
        self._reported = self._own_requests()
        try:
            reply = await self._transport.call(
                leader, PERMITS_PATH, message, REQUEST_TIMEOUT_S
            )
        except errors.PeerUnreachableError as error:
            events.emit(PERMITS_UNANSWERED, leader=leader, reason=str(error))
            self._silent_until_s = self._timer.now_s() + REQUEST_TIMEOUT_S
            return
        if "granted" in reply:
            self._apply(reply, sent_s)
        else:
            self._silent_until_s = self._timer.now_s() + REQUEST_TIMEOUT_S

    def _apply(self, reply: Message, sent_s: float) -> None:
        """Store the permits of a reply; they count from the time of the request."""
        self._waiting_entries = max(1, reply["entries"])
        # From now on, the load reports of this entry include the granted slots.
        self._sync_client.note_grant(reply.get("number", 0))
        now_s = self._timer.now_s()
        for incarnation, count in reply["granted"].items():
            limit_per_s = self._limits.limit_per_s(incarnation) or math.inf
            held = self._held.setdefault(incarnation, collections.deque())
            held.extend([(sent_s + PERMIT_TTL_S, limit_per_s)] * count)
            wait_s = reply["wait_s"][incarnation]
            self._free_at_s[incarnation] = now_s + wait_s
            self._ask_again_s[incarnation] = now_s + min(wait_s, MAX_REQUEST_PAUSE_S)

    def _usable(self, incarnation: str, limit_per_s: float | None) -> int:
        """Return the permits in force; those of a higher limit are void."""
        held = self._held.get(incarnation)
        if not held:
            return 0
        now_s = self._timer.now_s()
        bound_per_s = math.inf if limit_per_s is None else limit_per_s
        while held and (held[0][0] <= now_s or held[0][1] > bound_per_s):
            held.popleft()
        return len(held)

    def _prune(self) -> None:
        """Drop what is kept of engines without a limit."""
        limited = set(self._limits.limited())
        for kept in (self._held, self._free_at_s, self._ask_again_s, self._turns):
            for incarnation in kept.keys() - limited:
                del kept[incarnation]

    # Slots of brittle engines.

    def _own_requests(self) -> dict[str, int]:
        """Return this entry's requests and unused permits at brittle engines."""
        loads = self._sync_client.own_loads()
        return {
            incarnation: load.requests
            for incarnation, load in loads.items()
            if self._limits.is_brittle(incarnation)
        }

    def _report_releases(self) -> None:
        """Tell the leader of slots that were left, if nothing else does so now."""
        if not self._reported or not self._has_leader():
            return
        own = self._own_requests()
        if all(own.get(key, 0) >= count for key, count in self._reported.items()):
            return
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._request_wanted(is_report=True))

    def _has_own_slot(self, incarnation: str) -> bool:
        """Return whether this entry may use a slot while no leader answers."""
        turn = self._sync_client.view.turn
        engine = self._sync_client.view.engines.get(incarnation)
        if turn is None or engine is None:
            return False
        slots = engine.slots // turn.count
        if not slots:
            clock_s = turn.clock_s(self._timer.now_s()) / SLOT_TURN_S
            first = int(clock_s) * engine.slots + _first_entry(incarnation)
            is_turn = (turn.index - first) % turn.count < engine.slots
            slots = int(is_turn and clock_s % 1.0 < SLOT_START_FRACTION)
        return self._own_requests().get(incarnation, 0) < slots

    # Turns while no leader answers.

    def _has_leader(self) -> bool:
        return (
            self._sync_client.leader is not None
            and self._timer.now_s() >= self._silent_until_s
        )

    def _turn_number(self, incarnation: str, limit_per_s: float) -> int | None:
        """Return the number of the present turn; None if this entry may not use it."""
        turn = self._sync_client.view.turn
        if turn is None:
            return None
        turn_s = max(1 / limit_per_s, MIN_TURN_S)
        number = int(turn.clock_s(self._timer.now_s()) / turn_s)
        if (number + _first_entry(incarnation)) % turn.count != turn.index:
            return None
        last, used = self._turns.get(incarnation, (None, 0))
        if last == number and used >= max(1, int(limit_per_s * turn_s)):
            return None
        return number

    def _next_turn_s(self, incarnation: str, limit_per_s: float) -> float | None:
        turn = self._sync_client.view.turn
        if turn is None:
            return None
        turn_s = max(1 / limit_per_s, MIN_TURN_S)
        now_s = self._timer.now_s()
        number = int(turn.clock_s(now_s) / turn_s)
        ahead = (turn.index - number - 1 - _first_entry(incarnation)) % turn.count + 1
        return now_s + (number + ahead) * turn_s - turn.clock_s(now_s)


def _first_entry(incarnation: str) -> int:
    """Return a number that gives entries their turns at different engines apart."""
    return zlib.crc32(incarnation.encode())
