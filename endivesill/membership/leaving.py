"""Targets that are leaving, by three sources of which the earliest counts.

The sources are the target's own word (in its load report, told on to all entries),
the platform's VM list and the operators' configuration. What one source said is
not undone by another one, nor by an older report of the same.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill import events
from endivesill.configuration.model import Configuration
from endivesill.membership.events import TARGET_LEAVING, TARGET_RETURNED
from endivesill.membership.messages import TargetNotice
from endivesill.timer import TimerService

__all__ = ["LeavingTargets"]

PAST_BOOTS_KEPT = 8


@attrs.define
class _Known:
    notice: TargetNotice
    goes_at_s: float | None
    past_boots: list[str] = attrs.Factory(list)


class LeavingTargets:
    """What is known of targets that leave.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      tell: spreads a notice to the other VMs.

    Attributes:
      digest: checksum of all notices.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        tell: Callable[[TargetNotice], None],
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._tell = tell
        self._known: dict[str, _Known] = {}
        self._listed: dict[str, float | None] = {}
        self._listeners: list[Callable[[str], None]] = []
        self.digest = 0

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the name of each target whose notice changed."""
        self._listeners.append(listener)

    def report(self, target: str, boot_id: str, leaving_in_s: float | None) -> None:
        """Take a load report that this VM polled.

        Args:
          target: the target's name.
          boot_id: the boot that reported.
          leaving_in_s: seconds until it goes; None if it stays.
        """
        known = self._known.get(target)
        leaving = leaving_in_s is not None
        if known is None:
            if leaving:
                self._take(TargetNotice(target, 1, boot_id, True, leaving_in_s))
            return
        if boot_id in known.past_boots:
            return
        notice = known.notice
        sequence = notice.sequence
        if boot_id != notice.boot_id:
            sequence += 1
        elif not leaving or not self._is_sooner(known, leaving_in_s):
            return
        self._take(TargetNotice(target, sequence, boot_id, leaving, leaving_in_s))

    def _is_sooner(self, known: _Known, notice_s: float | None) -> bool:
        """Tell whether a notice adds to what is known of the same boot."""
        if not known.notice.leaving:
            return True
        if notice_s is None:
            return False
        if known.goes_at_s is None:
            return True
        return self._timer.now_s() + notice_s < known.goes_at_s - 1.0

    def _take(self, notice: TargetNotice) -> None:
        if self.merge(notice):
            self._tell(notice)

    def merge(self, notice: TargetNotice) -> bool:
        """Take a notice if it is newer or earlier; return whether it was."""
        known = self._known.get(notice.target)
        if known is not None:
            if notice.rank() < known.notice.rank():
                return False
            same = notice.rank() == known.notice.rank()
            sooner = notice.leaving and self._is_sooner(known, notice.notice_s)
            if same and not sooner:
                return False
        past = known.past_boots if known is not None else []
        if known is not None and known.notice.boot_id != notice.boot_id:
            past = [*past, known.notice.boot_id][-PAST_BOOTS_KEPT:]
        goes_at_s = None
        if notice.notice_s is not None:
            goes_at_s = self._timer.now_s() + notice.notice_s
        if known is not None:
            self.digest ^= known.notice.checksum()
        self.digest ^= notice.checksum()
        self._known[notice.target] = _Known(notice, goes_at_s, past)
        kind = TARGET_LEAVING if notice.leaving else TARGET_RETURNED
        events.emit(
            kind, target=notice.target, source="target", notice_s=notice.notice_s
        )
        self._notify(notice.target)
        return True

    def notices(self) -> list[TargetNotice]:
        """Return all notices, with the time that is left now."""
        now_s = self._timer.now_s()
        return [
            attrs.evolve(
                known.notice,
                notice_s=None
                if known.goes_at_s is None
                else max(0.0, known.goes_at_s - now_s),
            )
            for known in self._known.values()
        ]

    def listed(self, leaving: dict[str, float | None], present: set[str]) -> None:
        """Take a newer VM list.

        Args:
          leaving: the targets that the list says are leaving, with their notice.
          present: the targets that it says are staying.
        """
        now_s = self._timer.now_s()
        for target in present & self._listed.keys():
            del self._listed[target]
            self._notify(target)
        for target, notice_s in leaving.items():
            goes_at_s = None if notice_s is None else now_s + notice_s
            if target not in self._listed:
                self._listed[target] = goes_at_s
                events.emit(
                    TARGET_LEAVING, target=target, source="vm-list", notice_s=notice_s
                )
                self._notify(target)

    def is_leaving(self, target: str) -> bool:
        """Tell whether any source says that a target is leaving."""
        known = self._known.get(target)
        if known is not None and known.notice.leaving:
            return True
        if target in self._listed:
            return True
        item = self._configuration().targets.get(target)
        return item is not None and item.leaving

    def notice_s(self, target: str) -> float | None:
        """Return the seconds until a target goes, by the earliest source.

        Returns:
          None if it stays or if no source gives a time.
        """
        times_s = []
        known = self._known.get(target)
        if known is not None and known.notice.leaving:
            times_s.append(known.goes_at_s)
        times_s.append(self._listed.get(target))
        given_s = [time_s for time_s in times_s if time_s is not None]
        if not given_s:
            return None
        return max(0.0, min(given_s) - self._timer.now_s())

    def _notify(self, target: str) -> None:
        for listener in self._listeners:
            listener(target)
