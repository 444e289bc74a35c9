"""Suspicion: the time that a silent VM has to refute before it counts as gone."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Health, VmUpdate
from endivesill.membership.settings import MembershipSettings
from endivesill.timer import TimerHandle, TimerService

__all__ = ["Suspicions"]

LAST_PROBE_TIMEOUTS = 3


class Suspicions:
    """Runs a timer for each VM that is suspect in the table.

    Args:
      timer: the timer service.
      table: the VMs.
      settings: periods and bounds.
      apply: takes an update of this VM's own finding and spreads it.
      ask_again: sends a suspect a last probe, which tells it of the suspicion.
    """

    def __init__(
        self,
        timer: TimerService,
        table: MemberTable,
        settings: MembershipSettings,
        apply: Callable[[VmUpdate], None],
        ask_again: Callable[[VmUpdate], None],
    ) -> None:
        self._timer = timer
        self._table = table
        self._settings = settings
        self._apply = apply
        self._ask_again = ask_again
        self._timers: dict[str, TimerHandle] = {}
        table.subscribe(self._changed)

    def suspect(self, member: VmUpdate) -> None:
        """Mark a VM as suspect, unless there is newer word of it than was probed."""
        if member.health is Health.OK and self._table.get(member.name) == member:
            self._apply(attrs.evolve(member, health=Health.SUSPECT))

    def restart(self) -> None:
        """Give every suspect its whole time again, as after a pause."""
        for name in list(self._timers):
            self._timers.pop(name).cancel()
            member = self._table.get(name)
            if member is not None and member.health is Health.SUSPECT:
                self._begin(member)

    def close(self) -> None:
        """Stop all timers."""
        for handle in self._timers.values():
            handle.cancel()
        self._timers.clear()

    def _changed(self, known: VmUpdate | None, update: VmUpdate) -> None:
        handle = self._timers.pop(update.name, None)
        if handle is not None:
            handle.cancel()
        if update.health is Health.SUSPECT:
            self._begin(update)

    def _begin(self, member: VmUpdate) -> None:
        same = [m for m in self._table.others() if m.data_centre == member.data_centre]
        delay_s = self._settings.suspicion_s(len(same))
        last_probe_s = max(
            0.0, delay_s - LAST_PROBE_TIMEOUTS * self._settings.probe_timeout_s
        )
        self._timers[member.name] = self._timer.call_after(
            last_probe_s, lambda: self._probe(member, delay_s - last_probe_s)
        )

    def _probe(self, member: VmUpdate, left_s: float) -> None:
        """Probe a suspect once more, in case its refutation was lost on the way."""
        self._ask_again(member)
        self._timers[member.name] = self._timer.call_after(
            left_s, lambda: self._expire(member)
        )

    def _expire(self, member: VmUpdate) -> None:
        current = self._table.get(member.name)
        if current is not None and current.rank() == member.rank():
            self._apply(attrs.evolve(current, health=Health.GONE))
