"""Reads the platform's list of engines while this VM leads."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill import errors, events
from endivesill.fleet.events import (
    ENGINE_LIST_CHANGED,
    LIST_ENTRY_SKIPPED,
    LIST_LOST,
    LIST_REGAINED,
)
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.notices import EngineNotices
from endivesill.peers import Message
from endivesill.timer import TimerService

__all__ = [
    "EngineListSnapshot",
    "EngineListReader",
    "EngineListSource",
    "list_to_message",
    "merge_pages",
]

# Engines may leave within two seconds of their notice.
READ_PERIOD_S = 0.25
# Upper bound of the backoff while the list cannot be read.
MAX_BACKOFF_S = 2.0
MAX_BACKOFF_FACTOR = MAX_BACKOFF_S / READ_PERIOD_S
MAX_DOUBLINGS = 3
# Reasons for skipped entries in the log, for each read of the list.
MAX_LOGGED_REASONS = 20


@attrs.frozen
class EngineListSnapshot:
    """The engines of the list at one time.

    Attributes:
      term: term of the leader that read the list.
      number: counts the changes within a term.
      read_s: when the list was read, by the reader's clock.
      engines: the engines by incarnation.
    """

    term: int
    number: int
    read_s: float
    engines: dict[str, EngineInfo]

    @property
    def stamp(self) -> list[int]:
        """Version `[term, number]`, ordered across leaders."""
        return [self.term, self.number]


class EngineListSource:
    """Base of readers of a platform's list.

    Attributes:
      min_period_s: least interval between two reads that the platform's rate limit
        allows.
      skipped_entries: number of entries that the last read has skipped.
    """

    min_period_s = 0.0

    def __init__(self) -> None:
        self._logged_reasons: set[str] = set()
        self.skipped_entries = 0

    def note_skipped(self, reasons: list[str]) -> None:
        """Log the reasons for skipped entries, but for those of the read before."""
        self.skipped_entries = len(reasons)
        current = set(sorted(set(reasons))[:MAX_LOGGED_REASONS])
        for reason in sorted(current - self._logged_reasons):
            events.emit(LIST_ENTRY_SKIPPED, reason=reason, entries=len(reasons))
        self._logged_reasons = current

    async def read(self) -> list[EngineInfo]:
        """Return all engines.

        Raises:
          UnavailableError: the list could not be read completely.
        """
        raise NotImplementedError


def list_to_message(snapshot: EngineListSnapshot, now_s: float) -> Message:
    """Return a snapshot as JSON, with the remaining cold times as of now."""
    age_s = now_s - snapshot.read_s
    rows = []
    for engine in snapshot.engines.values():
        row = engine.to_row()
        row["cold_s"] = round(max(0.0, engine.cold_s - age_s), 3)
        rows.append(row)
    return {"stamp": snapshot.stamp, "engines": rows}


class EngineListReader:
    """Reads the list periodically and merges departures into it.

    Args:
      timer: the timer service.
      source: reads the list.

    Attributes:
      current: the newest snapshot; None before the first.
      notices: departures that engines have announced to this VM or to the entries.
    """

    def __init__(self, timer: TimerService, source: EngineListSource) -> None:
        self._timer = timer
        self._source = source
        self._failures = 0
        self._leaving: Callable[[], frozenset[str]] = frozenset
        self._with_notice: Callable[[], frozenset[str]] = frozenset
        self._is_verified: Callable[[EngineInfo], bool] = lambda engine: True
        self._listed: list[EngineInfo] = []
        self.current: EngineListSnapshot | None = None
        self.notices = EngineNotices(timer)

    def slots_of(self, incarnation: str) -> int:
        """Return the slots of an engine; 0 if it is not listed."""
        engines = self.current.engines if self.current is not None else {}
        return engines[incarnation].slots if incarnation in engines else 0

    def use_departure_sources(
        self,
        leaving: Callable[[], frozenset[str]],
        with_notice: Callable[[], frozenset[str]],
        is_verified: Callable[[EngineInfo], bool] = lambda engine: True,
    ) -> None:
        """Set the sources of departures that the list does not show yet.

        Args:
          leaving: returns the incarnations that no longer accept work.
          with_notice: returns the incarnations whose shutdown time is set.
          is_verified: returns whether an engine may get work already.
        """
        self._is_verified = is_verified
        self._leaving = leaving
        self._with_notice = with_notice

    async def read(self, term: int) -> bool:
        """Read the list once; return whether its engines have changed."""
        try:
            self._listed = await self._source.read()
        except errors.UnavailableError as error:
            self._failures += 1
            if self._failures == 1:
                events.emit(LIST_LOST, reason=str(error))
            return False
        if self._failures:
            events.emit(LIST_REGAINED, failures=self._failures)
            self._failures = 0
        read_s = self._timer.now_s()
        self.notices.retain(engine.incarnation for engine in self._listed)
        return self._apply(self._merged(), term, read_s)

    def apply_departures(self) -> bool:
        """Merge departures into the last list read; return whether it changed."""
        if self.current is None:
            return False
        return self._apply(self._merged(), self.current.term, self.current.read_s)

    def _merged(self) -> dict[str, EngineInfo]:
        leaving = self._leaving() | self.notices.leaving()
        with_notice = self._with_notice()
        return {
            engine.incarnation: attrs.evolve(
                engine,
                is_draining=engine.is_draining
                or engine.incarnation in leaving
                or not self._is_verified(engine),
                has_notice=engine.incarnation in with_notice,
            )
            for engine in self._listed
        }

    def _apply(self, engines: dict[str, EngineInfo], term: int, read_s: float) -> bool:
        current = self.current
        same_term = current is not None and current.term == term
        number = current.number if current is not None and same_term else 0
        changed = not same_term or _comparable(current.engines) != _comparable(engines)  # type: ignore[union-attr]
        if changed:
            number += 1
            events.emit(
                ENGINE_LIST_CHANGED,
                stamp=[term, number],
                ready=sum(not e.is_draining for e in engines.values()),
                draining=[e.identity for e in engines.values() if e.is_draining],
            )
        self.current = EngineListSnapshot(term, number, read_s, engines)
        return changed

    async def wait_until_due(self) -> None:
        """Sleep until the next read is due."""
        factor = min(2 ** min(self._failures, MAX_DOUBLINGS), MAX_BACKOFF_FACTOR)
        period_s = max(READ_PERIOD_S * factor, self._source.min_period_s)
        await self._timer.sleep(period_s)


def _comparable(engines: dict[str, EngineInfo]) -> dict[str, EngineInfo]:
    """Return the engines without the remaining cold time, which decreases with time."""
    return {
        incarnation: attrs.evolve(engine, cold_s=1.0 if engine.cold_s > 0 else 0.0)
        for incarnation, engine in engines.items()
    }


def merge_pages(engines: list[EngineInfo], skipped: list[str]) -> list[EngineInfo]:
    """Return each engine once; one entry that says it drains counts.

    An entry may be on two pages if the list changes between their reads. One that names
    a listed engine with another address or service is skipped.
    """
    merged: dict[str, EngineInfo] = {}
    for engine in engines:
        first = merged.setdefault(engine.incarnation, engine)
        if (first.address, first.service) != (engine.address, engine.service):
            skipped.append("entry.id: listed twice with different fields")
        elif engine.is_draining:
            merged[engine.incarnation] = engine
    return list(merged.values())
