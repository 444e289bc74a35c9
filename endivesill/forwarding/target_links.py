"""Which targets this entry reaches over its own connections.

A link is lost once a connection to its target fails. Links of one service, of one data
centre, or all of them are often lost together, so two lost links make the others of
such a group suspect until one of its targets sends something. Requests show most of
this; where there are none, connections are tried, so that what is known is never older
than a few seconds.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping

import attrs

from endivesill import errors, events
from endivesill.fleet.model import EngineInfo
from endivesill.forwarding.events import TARGET_LINK_LOST, TARGET_LINK_REGAINED
from endivesill.http1 import ConnectionPool, UpstreamError
from endivesill.timer import TimerService

__all__ = ["CHECK_PERIOD_S", "TargetLinks"]

# Shortest time between two trials of a link.
TRIAL_PERIOD_S = 0.5
# Longest time between two trials of a lost link for which no request comes. The target
# itself may be down.
MAX_TRIAL_PERIOD_S = 4.0
# Links lost, with no byte from any target of the group since, from which on the cause
# is this entry's network and not the targets.
MIN_LOST_LINKS = 2
# Doublings after which the longest time is reached.
MAX_DOUBLINGS = 3
# A byte from any target within this time shows that this entry's network works.
FRESH_S = 0.25
# Period of `check`.
CHECK_PERIOD_S = 0.5
# Time without a byte from any target after which a link is tried without requests.
QUIET_S = 1.5
# Lost links that are tried at a time without requests.
MAX_TRIALS = 4
# Mean time from a regained link to the trial of the next one. Many entries regain their
# links at the same time, and a target takes about a millisecond for a new connection.
REGAIN_INTERVAL_S = 0.1
# Time in which a trial over a sound link ends.
SETTLE_S = 0.02
# Links that are tried when one was lost, to learn whether it is alone.
CONFIRMING_TRIALS = 4


@attrs.define
class _LostLink:
    """A link that is lost.

    Attributes:
      info: the target.
      since_s: when it was lost.
      next_trial_s: when a connection may be tried again for a request.
      next_check_s: when one is tried again without a request.
      error: why the last connection has failed.
      failed_trials: trials that have failed since it was lost.
    """

    info: EngineInfo
    since_s: float
    next_trial_s: float
    next_check_s: float
    error: UpstreamError
    failed_trials: int = 0


@attrs.define(eq=False)
class _Group:
    """Links that may be lost together.

    Attributes:
      newly_lost: targets whose link was lost since the last byte from any of the group.
      heard_s: when that byte came.
      failed_s: when the last connection to any of them has failed.
    """

    newly_lost: set[str] = attrs.Factory(set)
    heard_s: float = float("-inf")
    failed_s: float = float("-inf")

    def note_heard(self, now_s: float) -> None:
        self.heard_s = now_s
        self.newly_lost.clear()

    def is_suspect(self) -> bool:
        return len(self.newly_lost) >= MIN_LOST_LINKS


class TargetLinks:
    """The links of one entry to its targets, by incarnation.

    Args:
      timer: the timer service.
      pool: connections to targets.
      random_source: chooses links to try.

    Attributes:
      on_change: called when what `unreached` returns may have changed.
    """

    def __init__(
        self,
        timer: TimerService,
        pool: ConnectionPool,
        random_source: random.Random,
    ) -> None:
        self._timer = timer
        self._pool = pool
        self._random = random_source
        self._targets: dict[str, EngineInfo] = {}
        self._lost: dict[str, _LostLink] = {}
        self._heard_s: dict[str, float] = {}
        self._all = _Group()
        self._services: dict[str, _Group] = {}
        self._data_centres: dict[str, _Group] = {}
        # Trials of links that are not known as lost: when the next one may start.
        self._next_check_s: dict[str, float] = {}
        self._trials: dict[str, asyncio.Task[UpstreamError | None]] = {}
        self.on_change: Callable[[], None] = lambda: None

    def update(self, engines: Mapping[str, EngineInfo]) -> None:
        """Replace the listed targets; what is known of others is forgotten."""
        self._targets = dict(engines)
        for kept in (self._heard_s, self._next_check_s):
            for incarnation in kept.keys() - engines.keys():
                del kept[incarnation]
        gone = self._lost.keys() - engines.keys()
        for incarnation in gone:
            self._remove(incarnation)
        if gone:
            self.on_change()

    def _groups(self, info: EngineInfo) -> tuple[_Group, _Group, _Group]:
        """Return the groups of a target: its service, its data centre, and all."""
        service = self._services.get(info.service)
        if service is None:
            service = self._services[info.service] = _Group()
        data_centre = self._data_centres.get(info.data_centre)
        if data_centre is None:
            data_centre = self._data_centres[info.data_centre] = _Group()
        return service, data_centre, self._all

    # State.

    @property
    def lost(self) -> list[str]:
        """The incarnations to which the link is lost."""
        return list(self._lost)

    def unreached(self) -> list[str]:
        """Return the listed incarnations to which the link is lost or suspect."""
        if not self._lost:
            return []
        return [key for key, info in self._targets.items() if self.is_suspect(info)]

    def is_lost(self, info: EngineInfo) -> bool:
        """Return whether the link to a target is lost."""
        return info.incarnation in self._lost

    def is_suspect(self, info: EngineInfo) -> bool:
        """Return whether the link to a target is lost, or likely to be."""
        if info.incarnation in self._lost:
            return True
        return bool(self._lost) and self.is_network_suspect(info)

    def is_network_suspect(self, info: EngineInfo) -> bool:
        """Return whether this entry's network is the likely cause of lost links.

        Args:
          info: a target; its service, its data centre and all targets are looked at.
        """
        return any(group.is_suspect() for group in self._groups(info))

    def may_be_alone(self) -> bool:
        """Return whether other entries may reach what this one does not.

        Not so if targets answer this entry and just one of them does not.
        """
        is_fresh = self._timer.now_s() - self._all.heard_s < FRESH_S
        return len(self._lost) >= MIN_LOST_LINKS or not is_fresh

    async def settle(self) -> None:
        """Wait shortly for the trials that tell whether a lost link is alone."""
        trials = [asyncio.shield(trial) for trial in self._trials.values()]
        if not trials:
            return
        waiting = asyncio.wait(
            [asyncio.ensure_future(trial) for trial in trials],
            return_when=asyncio.FIRST_COMPLETED,
        )
        try:
            await self._timer.wait_for(waiting, SETTLE_S)
        except errors.DeadlineExceededError:
            return

    # Observations.

    def note_heard(self, info: EngineInfo) -> None:
        """Record bytes of a target on a connection of this entry."""
        now_s = self._timer.now_s()
        self._heard_s[info.incarnation] = now_s
        for group in self._groups(info):
            group.note_heard(now_s)

    def note_lost(self, info: EngineInfo, error: UpstreamError) -> None:
        """Record that a connection to a target could not be established."""
        now_s = self._timer.now_s()
        for group in self._groups(info):
            group.failed_s = now_s
        link = self._lost.get(info.incarnation)
        if link is not None:
            link.error = error
            link.failed_trials += 1
            link.next_trial_s = now_s + TRIAL_PERIOD_S
            link.next_check_s = now_s + self._check_period_s(link)
            return
        next_s = now_s + TRIAL_PERIOD_S
        self._lost[info.incarnation] = _LostLink(info, now_s, next_s, next_s, error)
        for group in self._groups(info):
            group.newly_lost.add(info.incarnation)
        self._pool.close_idle(info.address)
        events.emit(
            TARGET_LINK_LOST,
            target=info.identity,
            reason=str(error),
            lost=len(self._lost),
            heard_age_s=self._heard_age_s(),
        )
        for other in self._confirming(info):
            self.try_again(other)
        self.on_change()

    def _check_period_s(self, link: _LostLink) -> float:
        if self.is_network_suspect(link.info):
            return TRIAL_PERIOD_S
        doublings = min(link.failed_trials, MAX_DOUBLINGS)
        return min(MAX_TRIAL_PERIOD_S, TRIAL_PERIOD_S * 2**doublings)

    def note_crashed(self, incarnations: Iterable[str]) -> None:
        """Expect no connection to crashed targets; it tells nothing of the network."""
        for incarnation in self._lost.keys() & set(incarnations):
            self._forgive(self._lost[incarnation].info)

    def _remove(self, incarnation: str) -> None:
        self._forgive(self._lost.pop(incarnation).info)

    def _forgive(self, info: EngineInfo) -> None:
        for group in self._groups(info):
            group.newly_lost.discard(info.incarnation)

    def _heard_age_s(self) -> float | None:
        """Return the time since the last byte of any target; None without one."""
        age_s = self._timer.now_s() - self._all.heard_s
        return None if age_s == float("inf") else round(age_s, 3)

    def check_silent(self, info: EngineInfo, since_s: float) -> None:
        """Try a new connection to a target that has sent nothing since a time."""
        if self._heard_s.get(info.incarnation, float("-inf")) < since_s:
            self.try_again(info)

    # Trials.

    def check(self) -> None:
        """Try links that no request tries; called periodically."""
        now_s = self._timer.now_s()
        due = [link for link in self._lost.values() if link.next_check_s <= now_s]
        for link in sorted(due, key=lambda link: link.next_check_s)[:MAX_TRIALS]:
            self._start_trial(link.info)
        if now_s - self._all.heard_s >= QUIET_S:
            others = [i for key, i in self._targets.items() if key not in self._lost]
            if others:
                self.try_again(self._random.choice(others))

    def _confirming(self, info: EngineInfo) -> list[EngineInfo]:
        """Return targets that show whether a lost link is alone.

        They are of groups from which nothing has come lately: first of the service of
        the lost one, and if that is so for all targets, of any. None is needed once
        all are suspect.
        """
        if self._all.is_suspect():
            return []
        oldest_s = self._timer.now_s() - FRESH_S
        service, _, every = self._groups(info)
        tried = self._lost.keys() | self._trials.keys()
        others = [other for key, other in self._targets.items() if key not in tried]
        self._random.shuffle(others)
        of_service = [other for other in others if other.service == info.service]
        chosen: list[EngineInfo] = []
        if service.heard_s < oldest_s and not service.is_suspect():
            chosen = of_service[: CONFIRMING_TRIALS // 2]
        if every.heard_s < oldest_s:
            rest = [other for other in others if other not in chosen]
            chosen += rest[: CONFIRMING_TRIALS - len(chosen)]
        return chosen

    def try_again(self, info: EngineInfo) -> None:
        """Try a new connection to a target, unless one was tried just now."""
        if self._is_trial_due(info):
            self._start_trial(info)

    def _is_trial_due(self, info: EngineInfo) -> bool:
        key = info.incarnation
        link = self._lost.get(key)
        due_s = self._next_check_s.get(key, 0.0) if link is None else link.next_trial_s
        return self._timer.now_s() >= due_s

    def _start_trial(self, info: EngineInfo) -> asyncio.Task[UpstreamError | None]:
        key = info.incarnation
        running = self._trials.get(key)
        if running is not None:
            return running
        self._next_check_s[key] = self._timer.now_s() + TRIAL_PERIOD_S
        task = asyncio.ensure_future(self._try(info))
        self._trials[key] = task
        task.add_done_callback(lambda task: self._trials.pop(key, None))
        return task

    def _has_just_failed(self, info: EngineInfo) -> bool:
        """Return whether a new trial of a suspect link would tell nothing new."""
        oldest_s = self._timer.now_s() - 2 * CHECK_PERIOD_S
        return any(
            group.is_suspect() and group.failed_s > oldest_s
            for group in self._groups(info)
        )

    async def is_reached(self, info: EngineInfo) -> bool:
        """Return whether a target is likely reached; a suspect link is tried first."""
        if not self.is_suspect(info):
            return True
        if self._has_just_failed(info):
            return False
        if info.incarnation not in self._trials and not self._is_trial_due(info):
            return False
        return await asyncio.shield(self._start_trial(info)) is None

    async def connect(self, info: EngineInfo) -> UpstreamError | None:
        """Try a new connection to a target now; return why that has failed.

        Where a host refuses the connection, other links are tried as well, so that
        `is_network_suspect` tells whether the refusal comes from the network. While
        that is suspect, lost links are tried all the time, and no more are here.
        """
        if self._has_just_failed(info):
            return UpstreamError("the network of this VM is suspect", sent=False)
        link = self._lost.get(info.incarnation)
        if link is not None and not self._is_trial_due(info):
            return link.error
        error = await asyncio.shield(self._start_trial(info))
        if error is not None and error.is_refused:
            others = self._confirming(info)
            await asyncio.gather(
                *(asyncio.shield(self._start_trial(other)) for other in others)
            )
        return error

    async def _try(self, info: EngineInfo) -> UpstreamError | None:
        try:
            connection = await self._pool.acquire(info.address, 0)
        except UpstreamError as error:
            self.note_lost(info, error)
            return error
        self._pool.release(connection)
        self._note_connected(info)
        return None

    def _note_connected(self, info: EngineInfo) -> None:
        self.note_heard(info)
        if not self._lost:
            return
        link = self._lost.get(info.incarnation)
        if link is not None:
            self._remove(info.incarnation)
            events.emit(
                TARGET_LINK_REGAINED,
                target=info.identity,
                lost_s=round(self._timer.now_s() - link.since_s, 3),
                lost=len(self._lost),
            )
            # Links that were lost together come back together.
            delay_s = self._random.uniform(0.5, 1.5) * REGAIN_INTERVAL_S
            self._timer.call_after(delay_s, lambda: self._try_next(info))
        self.on_change()

    def _try_next(self, regained: EngineInfo) -> None:
        """Try the lost link that is likeliest to be back, if there is one."""
        links = [link for key, link in self._lost.items() if key not in self._trials]
        if links:
            service = regained.service
            next_link = min(links, key=lambda k: (k.info.service != service, k.since_s))
            self._start_trial(next_link.info)
