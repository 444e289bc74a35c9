"""Entries that lose their links to targets, and the check that they are served.

Callers of an entry without a link to some or all targets must be served like those of
the others while another entry has its links.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import attrs

from bench.platform_soak_callers import CallRecord
from bench.platform_soak_fleet import SoakFleet, SoakProcess
from endivesill.timer import TimerService

__all__ = ["CUT", "DOWN", "SERVED_AFTER_S", "SOUND", "CutRecords", "entry_group"]

SAMPLE_PERIOD_S = 0.05
# Time from the start of a cut until callers must be served again.
SERVED_AFTER_S = 3.0
# Time from the start of a process until it counts as sound.
START_S = 3.0
# Least part of the others' success, and failures that are allowed at all.
MIN_RATIO = 2 / 3
MAX_FAILURES = 10
MAX_FAILURE_FRACTION = 1 / 50
# A response of a target, good or bad.
ANSWERED_STATUSES = (200, 500)

# Entries that are not cut in the group `MOST`, and those that are in `SHARE`: one in.
SOUND_PERIOD = 10
SHARE_PERIOD = 3
# Groups of entries that are cut off at once; a data centre's name stands for its own.
MOST = "most"
SHARE = "share"
EVEN = "even"
ODD = "odd"

SOUND = "sound"
CUT = "cut"
DOWN = "down"


def entry_group(name: str, entries: Sequence[SoakProcess]) -> list[SoakProcess]:
    """Return the entries of a group.

    Args:
      name: one of the groups above, or the name of a data centre.
      entries: the entries of the fleet.
    """
    if name == MOST:
        return [e for i, e in enumerate(entries) if i % SOUND_PERIOD]
    if name == SHARE:
        return list(entries[::SHARE_PERIOD])
    if name in (EVEN, ODD):
        return list(entries[name == ODD :: 2])
    return [e for e in entries if e.data_centre == name]


@attrs.define
class _Period:
    """A time in which the state of an entry did not change.

    Attributes:
      state: `SOUND`, `CUT` or `DOWN`.
      from_s: its start.
      until_s: its end; infinite while it lasts.
    """

    state: str
    from_s: float
    until_s: float = float("inf")


class CutRecords:
    """When the entries of a fleet were sound, cut off from targets, or down.

    Args:
      timer: the timer service.
      min_ratio: least part of the others' success.
    """

    def __init__(self, timer: TimerService, min_ratio: float = MIN_RATIO) -> None:
        self._timer = timer
        self._min_ratio = min_ratio
        self._periods: dict[str, list[_Period]] = {}
        self._cut_entries: dict[str, int] = {}

    # Recording.

    def note_cut(self, entry: str) -> None:
        """Record that a cut of an entry's links begins; cuts may overlap."""
        self._cut_entries[entry] = self._cut_entries.get(entry, 0) + 1

    def note_healed(self, entry: str) -> None:
        """Record that a cut of an entry's links has ended."""
        self._cut_entries[entry] -= 1

    def is_cut(self, entry: str) -> bool:
        """Return whether a cut of an entry's links is in effect."""
        return self._cut_entries.get(entry, 0) > 0

    def is_served_cut(self, entry: str) -> bool:
        """Return whether a cut has lasted so long that callers must be served."""
        periods = self._periods.get(entry)
        if not periods or periods[-1].state != CUT:
            return False
        return periods[-1].from_s + SERVED_AFTER_S <= self._timer.now_s()

    async def watch(self, fleet: SoakFleet) -> None:
        """Record the states of the entries until cancelled."""
        while True:
            for process in fleet.with_role("entry"):
                running = process.process
                is_down = (
                    running is None
                    or running.poll() is not None
                    or process.has_active_fault
                )
                state = DOWN if is_down else CUT if self.is_cut(process.name) else SOUND
                self.note_state(process.name, state)
            await self._timer.sleep(SAMPLE_PERIOD_S)

    def note_state(self, entry: str, state: str) -> None:
        """Record the state of an entry from now on."""
        periods = self._periods.setdefault(entry, [])
        if periods and periods[-1].state == state:
            return
        if periods:
            periods[-1].until_s = self._timer.now_s()
        periods.append(_Period(state, self._timer.now_s()))

    # Check.

    def check(self, records: list[CallRecord]) -> tuple[list[str], dict[str, Any]]:
        """Return whether callers of entries that were cut off were served worse.

        Returns:
          The findings, and counts of requests and served ones.
        """
        counts = {SOUND: [0, 0], CUT: [0, 0]}
        figures: dict[str, Any] = {}
        for record in records:
            state = self._state_of(record)
            if state in counts and record.ended_s:
                kind_counts = figures.setdefault(f"{state}_{record.kind}", [0, 0])
                for count in (counts[state], kind_counts):
                    count[0] += 1
                    count[1] += record.status in ANSWERED_STATUSES
        figures |= {f"{state}_requests": tuple(c) for state, c in counts.items()}
        (sound, sound_served), (cut, cut_served) = counts[SOUND], counts[CUT]
        failed = cut - cut_served
        allowed = MAX_FAILURES + MAX_FAILURE_FRACTION * (sound + cut)
        is_worse = cut_served * sound < self._min_ratio * sound_served * cut
        if failed > allowed and is_worse:
            finding = (
                f"entries that were cut off served {cut_served} of {cut} requests, "
                f"the others {sound_served} of {sound}"
            )
            return [finding], figures
        return [], figures

    def _state_of(self, record: CallRecord) -> str:
        """Return the state of a request's entry; empty if the request is not counted.

        One to an entry that is cut off counts if the cut has lasted for some time and
        another entry was sound all the while.
        """
        state = self._lasting_state(record.entry, record.sent_s, record.ended_s)
        if state == SOUND:
            return SOUND
        is_another_sound = any(
            self._lasting_state(entry, record.sent_s, record.ended_s) == SOUND
            for entry in self._periods
            if entry != record.entry
        )
        return CUT if state == CUT and is_another_sound else ""

    def _lasting_state(self, entry: str, from_s: float, until_s: float) -> str:
        """Return the state of an entry throughout a time; empty if it changed.

        An entry is in a state once it has been in it for some seconds.
        """
        for period in self._periods.get(entry, []):
            after_s = SERVED_AFTER_S if period.state == CUT else START_S
            if period.from_s + after_s <= from_s and until_s <= period.until_s:
                return period.state
        return ""
