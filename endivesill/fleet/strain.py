"""Engines whose streams pause for longer than usual at the moment.

A prompt that is read, or a spell in which an engine is slow, is borne by the streams
that run there; both together make their pauses too long. Entries tell the leader which
engines are strained, so that prompts are placed elsewhere for that moment.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Container

from endivesill import errors, events
from endivesill.fleet.events import STRAIN_UNREPORTED
from endivesill.peers import Message, PeerTransport
from endivesill.timer import TimerService

__all__ = ["STRAIN_PATH", "PauseWatch", "StrainNotices", "StrainedEngines"]

STRAIN_PATH = "/fleet/strain"
# A pause is long from this multiple of the median of a stream's last ones; a prompt of
# thousands of tokens at least doubles it.
LONG_RATIO = 1.8
MIN_PAUSES = 6
MAX_PAUSES = 16
# Shorter pauses, as a fraction of the longest that the route allows, stay below it also
# with a prompt on top of a spell.
HARMLESS_FRACTION = 0.4
# Least time between two notices of one entry about an engine.
NOTICE_PERIOD_S = 0.1
NOTICE_TIMEOUT_S = 0.25
# Least time between two log lines about notices that did not arrive.
LOG_PERIOD_S = 1.0
# How long a notice holds: a few events of a stream that is strained, and a lost notice.
STRAIN_S = 0.25


class PauseWatch:
    """Tells the long pauses of one stream from its usual ones.

    Args:
      limit_s: the longest pause that the route allows; 0 for any.
    """

    def __init__(self, limit_s: float) -> None:
        self._least_s = HARMLESS_FRACTION * limit_s
        self._recent_s: collections.deque[float] = collections.deque(maxlen=MAX_PAUSES)

    def note(self, pause_s: float) -> bool:
        """Add a pause; return whether it shows that the engine is strained."""
        recent_s = self._recent_s
        is_long = False
        if pause_s >= self._least_s > 0 and len(recent_s) >= MIN_PAUSES:
            median_s = sorted(recent_s)[len(recent_s) // 2]
            is_long = pause_s >= LONG_RATIO * median_s
        recent_s.append(pause_s)
        return is_long


class StrainNotices:
    """An entry's notices to the leader.

    Args:
      timer: the timer service.
      transport: calls the leader.
      leader: returns the peer address of the leader; None while unknown.
    """

    def __init__(
        self,
        timer: TimerService,
        transport: PeerTransport,
        leader: Callable[[], str | None],
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._leader = leader
        # By incarnation: when the next notice may be sent.
        self._next_s: dict[str, float] = {}
        self._pending: set[str] = set()
        self._task: asyncio.Task[None] | None = None
        self._logged_s = float("-inf")

    def note(self, incarnation: str) -> None:
        """Tell the leader that an engine is strained, unless it was told just now."""
        now_s = self._timer.now_s()
        if self._leader() is None or now_s < self._next_s.get(incarnation, now_s):
            return
        self._next_s[incarnation] = now_s + NOTICE_PERIOD_S
        self._pending.add(incarnation)
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._send())

    def retain(self, incarnations: Container[str]) -> None:
        """Forget the engines that are no longer listed."""
        for incarnation in [key for key in self._next_s if key not in incarnations]:
            del self._next_s[incarnation]

    async def _send(self) -> None:
        while self._pending:
            leader = self._leader()
            engines, self._pending = sorted(self._pending), set()
            if leader is None:
                return
            try:
                await self._transport.call(
                    leader, STRAIN_PATH, {"engines": engines}, NOTICE_TIMEOUT_S
                )
            except errors.PeerUnreachableError as error:
                # Another notice follows while the strain lasts.
                self._log(leader, str(error))

    def _log(self, leader: str, reason: str) -> None:
        now_s = self._timer.now_s()
        if now_s - self._logged_s >= LOG_PERIOD_S:
            self._logged_s = now_s
            events.emit(STRAIN_UNREPORTED, address=leader, reason=reason)


class StrainedEngines:
    """The engines that are strained, at the leader.

    Args:
      timer: the timer service.

    Attributes:
      notices: number of notices so far.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._until_s: dict[str, float] = {}
        self.notices = 0

    async def handle(self, message: Message) -> Message:
        """Record an entry's notice: `{"engines"}`, a list of incarnations."""
        self.notices += 1
        until_s = self._timer.now_s() + STRAIN_S
        for incarnation in message["engines"]:
            self._until_s[incarnation] = until_s
        return {}

    def current(self) -> list[str]:
        """Return the incarnations that are strained now; forgets the others."""
        if self._until_s:
            now_s = self._timer.now_s()
            for key in [k for k, until_s in self._until_s.items() if until_s <= now_s]:
                del self._until_s[key]
        return list(self._until_s)
