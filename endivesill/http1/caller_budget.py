"""Bounds the memory and the connections that a process holds for its callers.

All listeners of a process share one budget. It counts what requests take in memory:
not only their bytes, but also the objects for header lines and the copies that are made
of a body. When it is exceeded, requests that are still incomplete are given up, never
one that may have been sent on; after them, responses that their callers do not read.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

from endivesill import events
from endivesill.http1.free_memory import FreeMemory
from endivesill.http1.shed_order import ShedOrder
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
# Connections that are looked at for one to reset.
MAX_LOOKED_AT = 64
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
      is_sorted: whether the budget has it among those that may be given up.
      idle_since_s: since when no request was handled.
      unread_since_s: since when its caller reads no response; None while it does.
    """

    held_bytes: int
    is_sorted: bool
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


def _address(holder: BudgetHolder) -> str:
    return holder.peer_address()


class CallerBudget:
    """Memory and connections for the callers of a process.

    Args:
      timer: the timer service.
      memory_bytes: memory of the process; 0 if unknown.
      descriptors: file descriptors of the process; 0 if unknown.
      memory_fraction: part of the memory that may be held.

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
        self,
        timer: TimerService,
        memory_bytes: float = 0,
        descriptors: int = 0,
        memory_fraction: float = MEMORY_FRACTION,
    ) -> None:
        memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
        self.limit_bytes = int(memory_fraction * memory_bytes)
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
        self._holders: dict[BudgetHolder, None] = {}
        self._incomplete: ShedOrder[BudgetHolder] = ShedOrder(_address)
        self._unread: ShedOrder[BudgetHolder] = ShedOrder(_address)
        self._logged_s = float("-inf")
        self._free_memory = FreeMemory(timer)

    def add(self, holder: BudgetHolder) -> None:
        """Add a connection; beyond the bound, another one is reset."""
        self._holders[holder] = None
        if len(self._holders) > self.max_connections:
            victim = self._least_useful(holder)
            self.shed_connections += 1
            self._log("connections")
            self._holders.pop(victim, None)
            self._forget(victim)
            victim.abort()

    def remove(self, holder: BudgetHolder) -> None:
        """Remove a connection that is closed."""
        self._holders.pop(holder, None)
        self.held_bytes -= holder.held_bytes
        holder.held_bytes = 0
        self._forget(holder)
        self._free_memory.note_change()

    def _forget(self, holder: BudgetHolder) -> None:
        if holder.is_sorted:
            holder.is_sorted = False
            self._incomplete.set(holder, 0)
            self._unread.set(holder, 0)

    def _sort(self, holder: BudgetHolder) -> None:
        """Note whether a connection may be given up, and what that would free."""
        is_incomplete = holder.incomplete_since_s is not None
        is_unread = holder.unread_since_s is not None
        if not (is_incomplete or is_unread):
            self._forget(holder)
        elif holder in self._holders:
            holder.is_sorted = True
            self._incomplete.set(holder, holder.held_bytes if is_incomplete else 0)
            self._unread.set(holder, holder.held_bytes if is_unread else 0)

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
        self._sort(holder)
        self._free_memory.note_change()
        while grows and self.held_bytes > self.limit_bytes:
            victim = self._incomplete.first(self._incomplete_age_s)
            if victim is not None:
                self.shed_requests += 1
                self._log("memory")
                victim.shed()
                self._incomplete.set(victim, 0)
                continue
            victim = self._unread.first(self._unread_age_s)
            if victim is None:
                return
            self.shed_responses += 1
            self._log("unread responses")
            self.remove(victim)
            victim.abort()

    def _incomplete_age_s(self, holder: BudgetHolder) -> float:
        return self._timer.now_s() - (holder.incomplete_since_s or 0.0)

    def _unread_age_s(self, holder: BudgetHolder) -> float:
        return self._timer.now_s() - (holder.unread_since_s or 0.0)

    def is_short_of(self, memory_bytes: int) -> bool:
        """Return whether there may be no room for so much more."""
        return self.held_bytes + memory_bytes > self.limit_bytes

    def keep(self, memory_bytes: int) -> None:
        """Count memory that is held without a connection."""
        self.held_bytes += memory_bytes

    def release(self, memory_bytes: int) -> None:
        """Undo `keep`."""
        self.held_bytes -= memory_bytes
        self._free_memory.note_change()

    def _least_useful(self, newest: BudgetHolder) -> BudgetHolder:
        """Return the connection that is reset where there are too many.

        Of those that were looked at longest ago, the one with the longest incomplete
        request, else the one idle for longest. If all serve requests, the newest.
        """
        looked_at = list(itertools.islice(self._holders, MAX_LOOKED_AT))
        for holder in looked_at:
            del self._holders[holder]
            self._holders[holder] = None
        reading = [h for h in looked_at if h.incomplete_since_s is not None]
        if reading:
            return min(reading, key=lambda h: h.incomplete_since_s or 0.0)
        idle = [h for h in looked_at if h.is_idle and h is not newest]
        return min(idle, key=lambda h: h.idle_since_s, default=newest)

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
