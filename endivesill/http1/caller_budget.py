"""Bounds the memory and the connections that a process holds for its callers.

All listeners of a process share one budget. It counts what requests take in memory:
not only their bytes, but also the objects for header lines and the copies that are made
of a body. When it is exceeded, requests that are still incomplete are given up, never
one that may have been sent on; after them, responses that their callers do not read.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol

from endivesill import events
from endivesill.timer import TimerService

__all__ = ["BudgetHolder", "CallerBudget"]

# Fraction of a process's memory for what it holds for callers; the rest is for the
# program itself, its connections to others, and for what is being read.
MEMORY_FRACTION = 0.35
# Fraction of a process's descriptors for connections of callers; the others are for
# targets, peers, files, and for connections that are being closed.
DESCRIPTOR_FRACTION = 0.5
# Where the settings name no limits of the process.
DEFAULT_MEMORY_BYTES = 128 * 1_048_576
DEFAULT_DESCRIPTORS = 4_096
# Memory that the limit is divided by for the number of long responses that are read at
# a time: the largest body that the platform's limits name, and its copies.
LONG_RESPONSE_BYTES = 3 * 4_194_304
# Least time between two log lines.
LOG_PERIOD_S = 1.0

CALLERS_SHED = events.define(
    1031,
    "callers-shed",
    "Incomplete requests, unread responses or connections of callers were given up to "
    "bound what this process holds for them.",
)


class BudgetHolder(Protocol):
    """A connection of a caller.

    Attributes:
      held_bytes: what it holds of the budget.
      idle_since_s: since when no request was handled.
      unread_since_s: since when its caller reads no response; None while it does.
    """

    held_bytes: int
    idle_since_s: float
    unread_since_s: float | None

    @property
    def incomplete_since_s(self) -> float | None:
        """Since when it has an incomplete request; None without one."""

    @property
    def is_idle(self) -> bool:
        """Whether it has neither a request nor a part of one."""

    def peer_address(self) -> str:
        """Return the IP address of the caller."""

    def shed(self) -> None:
        """Give up the incomplete request, and hold nothing for it any more."""

    def abort(self) -> None:
        """Reset the connection."""


class CallerBudget:
    """Memory and connections for the callers of a process.

    Args:
      timer: the timer service.
      memory_bytes: memory of the process; 0 if unknown.
      descriptors: file descriptors of the process; 0 if unknown.

    Attributes:
      limit_bytes: most memory that is held.
      max_connections: most connections.
      long_responses: held while the long response of a target is read.
      held_bytes: memory that is held.
      shed_requests: incomplete requests that were given up.
      shed_responses: connections that were reset since their responses were not read.
      shed_connections: connections that were reset for want of descriptors.
    """

    def __init__(
        self, timer: TimerService, memory_bytes: float = 0, descriptors: int = 0
    ) -> None:
        memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
        self.limit_bytes = int(MEMORY_FRACTION * memory_bytes)
        self.max_connections = int(
            DESCRIPTOR_FRACTION * (descriptors or DEFAULT_DESCRIPTORS)
        )
        self.long_responses = asyncio.Semaphore(
            max(1, self.limit_bytes // LONG_RESPONSE_BYTES)
        )
        self.held_bytes = 0
        self.shed_requests = 0
        self.shed_responses = 0
        self.shed_connections = 0
        self._timer = timer
        self._holders: set[BudgetHolder] = set()
        self._logged_s = float("-inf")

    def add(self, holder: BudgetHolder) -> None:
        """Add a connection; beyond the bound, another one is reset."""
        self._holders.add(holder)
        if len(self._holders) > self.max_connections:
            victim = self._least_useful(holder)
            self._holders.discard(victim)
            self.shed_connections += 1
            self._log("connections")
            victim.abort()

    def remove(self, holder: BudgetHolder) -> None:
        """Remove a connection that is closed."""
        self._holders.discard(holder)
        self.update(holder, 0)

    def update(self, holder: BudgetHolder, held_bytes: int) -> None:
        """Set what a connection holds, and give up what is over the limit.

        Incomplete requests go first, then responses that their callers do not read.

        Args:
          holder: the connection.
          held_bytes: memory that it holds now.
        """
        grows = held_bytes > holder.held_bytes
        self.held_bytes += held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        while grows and self.held_bytes > self.limit_bytes:
            victim = self._largest(lambda holder: holder.incomplete_since_s)
            if victim is not None:
                self.shed_requests += 1
                self._log("memory")
                victim.shed()
                continue
            victim = self._largest(lambda holder: holder.unread_since_s)
            if victim is None:
                return
            self.shed_responses += 1
            self._log("unread responses")
            self.remove(victim)
            victim.abort()

    def _largest(
        self, since_s: Callable[[BudgetHolder], float | None]
    ) -> BudgetHolder | None:
        """Return the connection that is given up among those in a state.

        Among those of the address that holds most, the one that holds most for longest.

        Args:
          since_s: returns since when a connection is in the state; None if it is not.
        """
        now_s = self._timer.now_s()
        present: list[tuple[BudgetHolder, float]] = []
        by_peer: collections.Counter[str] = collections.Counter()
        for holder in self._holders:
            start_s = since_s(holder)
            if holder.held_bytes > 0 and start_s is not None:
                present.append((holder, now_s - start_s))
                by_peer[holder.peer_address()] += holder.held_bytes
        if not by_peer:
            return None
        peer, _ = by_peer.most_common(1)[0]
        # A second more counts as much as holding it all once more.
        return max(
            (item for item in present if item[0].peer_address() == peer),
            key=lambda item: item[0].held_bytes * (1.0 + item[1]),
        )[0]

    def _least_useful(self, newest: BudgetHolder) -> BudgetHolder:
        """Return the connection that is reset where there are too many.

        The one with the longest incomplete request, else the one idle for longest. If
        all serve requests, the newest.
        """
        incomplete: BudgetHolder | None = None
        idle: BudgetHolder | None = None
        since_s = idle_since_s = float("inf")
        for holder in self._holders:
            start_s = holder.incomplete_since_s
            if start_s is not None and start_s < since_s:
                incomplete, since_s = holder, start_s
            is_idle = holder is not newest and holder.is_idle
            if is_idle and holder.idle_since_s < idle_since_s:
                idle, idle_since_s = holder, holder.idle_since_s
        return incomplete or idle or newest

    def _log(self, reason: str) -> None:
        now_s = self._timer.now_s()
        if now_s - self._logged_s < LOG_PERIOD_S:
            return
        self._logged_s = now_s
        events.emit(
            CALLERS_SHED,
            reason=reason,
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
            connections=len(self._holders),
            max_connections=self.max_connections,
            shed_requests=self.shed_requests,
            shed_responses=self.shed_responses,
            shed_connections=self.shed_connections,
        )

    def metric_lines(self) -> list[str]:
        """Return the budget and what was given up as metric lines."""
        gauges = {
            "held_bytes": self.held_bytes,
            "limit_bytes": self.limit_bytes,
            "connections": len(self._holders),
            "max_connections": self.max_connections,
            "shed_requests_total": self.shed_requests,
            "shed_responses_total": self.shed_responses,
            "shed_connections_total": self.shed_connections,
        }
        return [f"endivesill_callers_{name} {value}" for name, value in gauges.items()]
