"""Leaving targets, from three sources of which the earliest departure counts.

The sources are the target's load report (broadcast to all VMs), the platform's
VM list and the operators' configuration. A notice from one source is not revoked by
another source, nor by an older report of the same source.
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

PAST_BOOT_IDS_KEPT = 8  # Late reports of these boots are ignored.


@attrs.define
class _TargetState:
    notice: TargetNotice
    departs_at_s: float | None
    past_boot_ids: list[str] = attrs.Factory(list)


class LeavingTargets:
    """The targets that are leaving and when they do.

    Args:
      timer: the timer service.
      configuration: returns the configuration in force.
      broadcast: disseminates a notice to the other VMs.

    Attributes:
      digest: checksum of all notices.
    """

    def __init__(
        self,
        timer: TimerService,
        configuration: Callable[[], Configuration],
        broadcast: Callable[[TargetNotice], None],
    ) -> None:
        self._timer = timer
        self._configuration = configuration
        self._broadcast = broadcast
        self._states: dict[str, _TargetState] = {}
        self._listed_departures_s: dict[str, float | None] = {}
        self._listeners: list[Callable[[str], None]] = []
        self.digest = 0

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the target's name whenever its notice changes."""
        self._listeners.append(listener)

    def apply_load_report(
        self, target: str, boot_id: str, leaving_in_s: float | None
    ) -> None:
        """Apply a load report that this VM polled; broadcast a new notice.

        Args:
          target: the target's name.
          boot_id: the boot id in the report.
          leaving_in_s: seconds until the departure; None if the target stays.
        """
        state = self._states.get(target)
        leaving = leaving_in_s is not None
        if state is None:
            if leaving:
                self._apply_local(TargetNotice(target, 1, boot_id, True, leaving_in_s))
            return
        if boot_id in state.past_boot_ids:
            return
        notice = state.notice
        sequence = notice.sequence
        if boot_id != notice.boot_id:
            sequence += 1
        elif not leaving or not self._is_earlier(state, leaving_in_s):
            return
        self._apply_local(
            TargetNotice(target, sequence, boot_id, leaving, leaving_in_s)
        )

    def _is_earlier(self, state: _TargetState, notice_s: float | None) -> bool:
        """Return whether a notice is new or gives an earlier departure.

        The departure has to be earlier by more than one second.
        """
        if not state.notice.leaving:
            return True
        if notice_s is None:
            return False
        if state.departs_at_s is None:
            return True
        return self._timer.now_s() + notice_s < state.departs_at_s - 1.0

    def _apply_local(self, notice: TargetNotice) -> None:
        if self.merge(notice):
            self._broadcast(notice)

    def merge(self, notice: TargetNotice) -> bool:
        """Merge a notice that is newer or gives an earlier departure.

        Returns:
          Whether the notice changed the state.
        """
        state = self._states.get(notice.target)
        if state is not None:
            if notice.rank() < state.notice.rank():
                return False
            is_same_rank = notice.rank() == state.notice.rank()
            is_earlier = notice.leaving and self._is_earlier(state, notice.notice_s)
            if is_same_rank and not is_earlier:
                return False
        past = state.past_boot_ids if state is not None else []
        if state is not None and state.notice.boot_id != notice.boot_id:
            past = [*past, state.notice.boot_id][-PAST_BOOT_IDS_KEPT:]
        departs_at_s = None
        if notice.notice_s is not None:
            departs_at_s = self._timer.now_s() + notice.notice_s
        if state is not None:
            self.digest ^= state.notice.checksum()
        self.digest ^= notice.checksum()
        self._states[notice.target] = _TargetState(notice, departs_at_s, past)
        kind = TARGET_LEAVING if notice.leaving else TARGET_RETURNED
        events.emit(
            kind, target=notice.target, source="target", notice_s=notice.notice_s
        )
        self._notify(notice.target)
        return True

    def notices(self) -> list[TargetNotice]:
        """Return all notices, with `notice_s` counted from now."""
        now_s = self._timer.now_s()
        return [
            attrs.evolve(
                state.notice,
                notice_s=None
                if state.departs_at_s is None
                else max(0.0, state.departs_at_s - now_s),
            )
            for state in self._states.values()
        ]

    def apply_vm_list(
        self, leaving: dict[str, float | None], staying: set[str]
    ) -> None:
        """Apply a newer VM list.

        Args:
          leaving: seconds until the departure, or None if not known, by the name of
            each target listed as leaving.
          staying: the names of the targets listed as staying.
        """
        now_s = self._timer.now_s()
        for target in staying & self._listed_departures_s.keys():
            del self._listed_departures_s[target]
            self._notify(target)
        for target, notice_s in leaving.items():
            departs_at_s = None if notice_s is None else now_s + notice_s
            if target not in self._listed_departures_s:
                self._listed_departures_s[target] = departs_at_s
                events.emit(
                    TARGET_LEAVING, target=target, source="vm-list", notice_s=notice_s
                )
                self._notify(target)

    def is_leaving(self, target: str) -> bool:
        """Return whether any source reports a target as leaving."""
        state = self._states.get(target)
        if state is not None and state.notice.leaving:
            return True
        if target in self._listed_departures_s:
            return True
        item = self._configuration().targets.get(target)
        return item is not None and item.leaving

    def notice_s(self, target: str) -> float | None:
        """Return the seconds until a target leaves, from the earliest source.

        Returns:
          None if the target stays or no source gives a time.
        """
        times_s = []
        state = self._states.get(target)
        if state is not None and state.notice.leaving:
            times_s.append(state.departs_at_s)
        times_s.append(self._listed_departures_s.get(target))
        departures_s = [time_s for time_s in times_s if time_s is not None]
        if not departures_s:
            return None
        return max(0.0, min(departures_s) - self._timer.now_s())

    def _notify(self, target: str) -> None:
        for listener in self._listeners:
            listener(target)
