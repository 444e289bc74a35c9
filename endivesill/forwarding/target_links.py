"""Which targets this entry reaches over its own connections, learnt from traffic.

A link is lost once a connection to its target fails. While requests for the target
come, new connections are tried beside them until one succeeds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

import attrs

from endivesill import events
from endivesill.fleet.model import EngineInfo
from endivesill.forwarding.events import TARGET_LINK_LOST, TARGET_LINK_REGAINED
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.timer import TimerService

__all__ = ["TargetLinks"]

# Shortest time between two trials of a link.
TRIAL_PERIOD_S = 0.5
# Links lost, with no byte from any target since the first of them, from which on the
# cause is this entry's network and not the targets.
MIN_LOST_LINKS = 2
# A byte from any target within this time shows that this entry's network works.
FRESH_S = 0.25


@attrs.define
class _LostLink:
    """A link that is lost.

    Attributes:
      identity: the target, for logs.
      since_s: when it was lost.
      next_trial_s: when a connection may be tried again.
    """

    identity: str
    since_s: float
    next_trial_s: float


class TargetLinks:
    """The links of one entry to its targets, by incarnation.

    Args:
      timer: the timer service.
      pool: connections to targets.

    Attributes:
      on_change: called when a link was lost or regained.
    """

    def __init__(self, timer: TimerService, pool: ConnectionPool) -> None:
        self._timer = timer
        self._pool = pool
        self._lost: dict[str, _LostLink] = {}
        self._heard_s: dict[str, float] = {}
        self._last_heard_s = float("-inf")
        # When the first of the links that are lost now was lost.
        self._losing_since_s = float("-inf")
        # Trials of links that are not known as lost: when the next one may start.
        self._next_check_s: dict[str, float] = {}
        self._trials: dict[str, asyncio.Task[None]] = {}
        self.on_change: Callable[[], None] = lambda: None

    @property
    def lost(self) -> list[str]:
        """The incarnations to which the link is lost."""
        return list(self._lost)

    def retain(self, incarnations: Container[str]) -> None:
        """Forget the targets that are not among these."""
        for kept in (self._lost, self._heard_s, self._next_check_s):
            for incarnation in [key for key in kept if key not in incarnations]:
                del kept[incarnation]

    def note_heard(self, info: EngineInfo) -> None:
        """Record bytes of a target on a connection of this entry."""
        self._last_heard_s = self._timer.now_s()
        self._heard_s[info.incarnation] = self._last_heard_s

    def note_lost(self, info: EngineInfo, reason: str) -> None:
        """Record that no connection to a target can be established."""
        now_s = self._timer.now_s()
        next_trial_s = now_s + TRIAL_PERIOD_S
        link = self._lost.get(info.incarnation)
        if link is not None:
            link.next_trial_s = next_trial_s
            return
        if not self._lost:
            self._losing_since_s = now_s
        self._lost[info.incarnation] = _LostLink(info.identity, now_s, next_trial_s)
        self._pool.close_idle(info.address)
        events.emit(
            TARGET_LINK_LOST,
            target=info.identity,
            reason=reason,
            lost=len(self._lost),
            heard_age_s=self._heard_age_s(),
        )
        self.on_change()

    def _heard_age_s(self) -> float | None:
        """Return the time since the last byte of any target; None without one."""
        age_s = self._timer.now_s() - self._last_heard_s
        return None if age_s == float("inf") else round(age_s, 3)

    def is_lost(self, info: EngineInfo) -> bool:
        """Return whether the link to a target is lost."""
        return info.incarnation in self._lost

    def is_network_suspect(self) -> bool:
        """Return whether the cause of lost links is likely this entry's network."""
        return (
            len(self._lost) >= MIN_LOST_LINKS
            and self._last_heard_s < self._losing_since_s
        )

    def may_be_alone(self) -> bool:
        """Return whether other entries may reach what this one does not.

        Not so if targets answer this entry and just one of them does not.
        """
        is_fresh = self._timer.now_s() - self._last_heard_s < FRESH_S
        return len(self._lost) >= MIN_LOST_LINKS or not is_fresh

    def check_silent(self, info: EngineInfo, since_s: float) -> None:
        """Try a new connection to a target that has sent nothing since a time."""
        if self._heard_s.get(info.incarnation, float("-inf")) < since_s:
            self.try_again(info)

    def try_again(self, info: EngineInfo) -> None:
        """Try a new connection to a target, unless one was tried just now."""
        key = info.incarnation
        now_s = self._timer.now_s()
        link = self._lost.get(key)
        due_s = self._next_check_s.get(key, 0.0) if link is None else link.next_trial_s
        if key in self._trials or now_s < due_s:
            return
        self._next_check_s[key] = now_s + TRIAL_PERIOD_S
        task = asyncio.ensure_future(self._try(info))
        self._trials[key] = task
        task.add_done_callback(lambda task: self._trials.pop(key, None))

    async def _try(self, info: EngineInfo) -> None:
        try:
            connection = await self._pool.acquire(info.address, 0)
        except UpstreamError as error:
            self.note_lost(info, str(error))
            return
        self._pool.release(connection)
        self.note_heard(info)
        link = self._lost.pop(info.incarnation, None)
        if link is not None:
            events.emit(
                TARGET_LINK_REGAINED,
                target=link.identity,
                lost_s=round(self._timer.now_s() - link.since_s, 3),
                lost=len(self._lost),
            )
            self.on_change()
