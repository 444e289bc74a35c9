"""Reports of crashes of engines, and what they block.

Reports are merged by union in any order, so that all VMs which have the same ones reach
the same verdict without a leader.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Any

from endivesill.fleet.crash_verdict import (
    SOUND_BLOCK_DELAY_S,
    TRIAL_PREFIX,
    Block,
    CrashReport,
    find_blocks,
)
from endivesill.fleet.sound_causes import SOUND_TTL_S, SoundCauses
from endivesill.timer import TimerService

__all__ = ["CrashEvidence", "Row"]

# `[name, age in seconds, causes, sound, cleared]` of a report.
Row = list[Any]

# Reports that are kept, and for how long; longer than the longest wait for a trial.
MAX_REPORTS = 64
REPORT_TTL_S = 14_400.0
# A report replaces the oldest one only if it is younger by this time, which is longer
# than a message takes. Otherwise two VMs that order two old reports differently would
# replace each other's for ever.
MIN_AGE_DIFFERENCE_S = 1.0
# Causes of one report, and the length of one cause's id.
MAX_CAUSES = 512
MAX_CAUSE_LENGTH = 64
# Least time between two changes of reports because of complete runs. After a crash
# there are many, and each change goes to all VMs.
CLEAR_PERIOD_S = 0.25


def ignore_blocks(new: list[Block], gone: list[Block]) -> None:
    """Ignore changes of the blocks; the default where nothing depends on them."""


class CrashEvidence:
    """Reports of crashes, and the causes that they block.

    Args:
      timer: the timer service.

    Attributes:
      number: counts the changes of the reports.
      on_change: called after each change of the reports.
      on_blocks: called with the blocks that are new and those that are gone.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._reports: dict[str, CrashReport] = {}
        self._sound = SoundCauses()
        # Suspects of all reports.
        self._suspects: set[str] = set()
        self._next_clear_s = float("-inf")
        self._is_clear_due = False
        self._evaluated_number = 0
        self.number = 0
        self._found: list[Block] = []
        self._announced: dict[frozenset[str], Block] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.on_blocks: Callable[[list[Block], list[Block]], None] = ignore_blocks

    @property
    def blocks(self) -> list[Block]:
        """The blocks in force."""
        if not self._found:
            return []
        now_s = self._timer.now_s()
        return [block for block in self._found if block.from_s <= now_s]

    # What this VM observes.

    def note_crash(self, incarnation: str, causes: Iterable[str]) -> None:
        """Record the crash of an engine.

        Args:
          incarnation: the engine.
          causes: causes of requests that it held.
        """
        self._apply_sound()
        self._merge_report(incarnation, self._timer.now_s(), set(causes), set(), set())
        self._finish_change()

    def note_sound(
        self, causes: Iterable[str], completed_s: float | None = None
    ) -> None:
        """Record that a run has completed; clears its causes.

        Args:
          causes: its causes.
          completed_s: when it completed; None for now.
        """
        now_s = self._timer.now_s()
        self._sound.note(causes, now_s if completed_s is None else completed_s)
        if self._suspects.isdisjoint(causes):
            return
        if now_s >= self._next_clear_s:
            self._next_clear_s = now_s + CLEAR_PERIOD_S
            self._is_clear_due = True
            self._clear_sound()
        elif not self._is_clear_due:
            self._is_clear_due = True
            self._timer.call_after(self._next_clear_s - now_s, self._clear_sound)

    def _clear_sound(self) -> None:
        """Clear the causes of which runs have completed since the crashes."""
        self._apply_sound()
        self._finish_change()

    def _apply_sound(self) -> None:
        if self._is_clear_due:
            self._is_clear_due = False
            for report in self._reports.values():
                self._merge_report(report.name, report.at_s, set(), set(), set())

    # Verdicts.

    def find_block(self, causes: Iterable[str]) -> Block | None:
        """Return the block that a request with these causes meets; None without one.

        Of several ones, it is that whose trial is due last.
        """
        present = set(causes)
        met = [block for block in self.blocks if block.causes <= present]
        return max(met, key=lambda block: block.trial_at_s, default=None)

    @property
    def crashed(self) -> Collection[str]:
        """The incarnations of which any VM has reported a crash."""
        return self._reports.keys()

    def is_suspect(self, causes: Iterable[str]) -> bool:
        """Return whether one of some causes may have crashed an engine before."""
        present = set(causes)
        return any(
            (present & r.suspects) - r.sound - self._sound.since(present, r.at_s)
            for r in self._reports.values()
        )

    def try_trial(self, block: Block) -> bool:
        """Take the trial of a block if it is due; one VM decides about trials."""
        if block not in self.blocks or self._timer.now_s() < block.trial_at_s:
            return False
        name = f"{TRIAL_PREFIX}{min(block.causes)}:{block.trials + 1}"
        self._merge_report(name, self._timer.now_s(), set(block.causes), set(), set())
        self._finish_change()
        return True

    # Exchange with other VMs.

    def rows(self, since: int = 0) -> list[Row]:
        """Return the reports for another VM, with their age in seconds.

        Args:
          since: number of the evidence that the other VM has; reports that have not
            changed since are left out.
        """
        now_s = self._timer.now_s()
        return [
            [
                report.name,
                round(now_s - report.at_s, 3),
                sorted(report.causes),
                sorted(report.sound),
                sorted(report.cleared),
            ]
            for report in self._reports.values()
            if report.number > since
        ]

    def blocking_rows(self) -> list[Row]:
        """Return the rows of the reports without which a block would end."""
        blamed = set().union(*(block.causes for block in self._found))
        names = {r.name for r in self._reports.values() if r.suspects & blamed}
        return [row for row in self.rows() if row[0] in names]

    def merge(self, rows: Iterable[Row]) -> None:
        """Merge the reports of another VM."""
        self._apply_sound()
        now_s = self._timer.now_s()
        for name, age_s, causes, sound, cleared, *_ in rows:
            at_s = now_s - max(0.0, age_s)
            if now_s - at_s <= REPORT_TTL_S:
                self._merge_report(name, at_s, set(causes), set(sound), set(cleared))
        self._finish_change()

    def _merge_report(
        self,
        name: str,
        at_s: float,
        causes: set[str],
        sound: set[str],
        cleared: set[str],
    ) -> None:
        report = self._reports.get(name)
        if report is None:
            if not causes or not self._make_room(at_s, causes - cleared):
                return
            report = self._reports[name] = CrashReport(name, at_s)
        before = (len(report.causes), len(report.sound), len(report.cleared))
        valid = sorted(p for p in causes - report.causes if len(p) <= MAX_CAUSE_LENGTH)
        report.causes.update(valid[: MAX_CAUSES - len(report.causes)])
        report.sound |= (
            sound | self._sound_since(report, -SOUND_TTL_S)
        ) & report.causes
        report.cleared |= (cleared | self._sound_since(report, 0.0)) & report.causes
        if before != (len(report.causes), len(report.sound), len(report.cleared)):
            self.number += 1
            report.number = self.number

    def _sound_since(self, report: CrashReport, offset_s: float) -> set[str]:
        """Return the causes of runs that completed since an offset to the report."""
        return self._sound.since(report.causes, report.at_s + offset_s)

    def _make_room(self, at_s: float, suspects: set[str]) -> bool:
        """Return whether there is room for a report; drops another one if needed."""
        if len(self._reports) < MAX_REPORTS:
            return True
        least = min(
            self._reports.values(), key=lambda r: (self._weight(r.suspects), r.at_s)
        )
        weight, least_weight = self._weight(suspects), self._weight(least.suspects)
        if weight == least_weight:
            is_better = at_s >= least.at_s + MIN_AGE_DIFFERENCE_S
        else:
            is_better = weight > least_weight
        if is_better:
            del self._reports[least.name]
        return is_better

    def _weight(self, suspects: set[str]) -> int:
        """Return 2 for suspects of a block, 1 for others, 0 without any."""
        if any(suspects & block.causes for block in self._found):
            return 2
        return 1 if suspects else 0

    def expire(self) -> None:
        """Drop old reports; to be called periodically."""
        oldest_s = self._timer.now_s() - REPORT_TTL_S
        for name in [n for n, r in self._reports.items() if r.at_s < oldest_s]:
            del self._reports[name]
            self.number += 1
        self._finish_change()

    def _finish_change(self) -> None:
        """Find the blocks anew if the reports have changed."""
        if self.number == self._evaluated_number:
            return
        self._evaluated_number = self.number
        self._found = find_blocks(self._reports.values())
        self._suspects = set().union(*(r.suspects for r in self._reports.values()))
        self.on_change()
        self._announce_blocks()
        if len(self.blocks) < len(self._found):
            self._timer.call_after(SOUND_BLOCK_DELAY_S, self._announce_blocks)

    def _announce_blocks(self) -> None:
        """Call `on_blocks` if other blocks are in force than at the last call."""
        old, new = self._announced, {block.causes: block for block in self.blocks}
        self._announced = new
        if old.keys() != new.keys():
            self.on_blocks(
                [block for causes, block in new.items() if causes not in old],
                [block for causes, block in old.items() if causes not in new],
            )
