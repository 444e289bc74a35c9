"""Suspicion timeouts: how long a suspect VM has to refute before it is gone."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from endivesill.membership.members import MemberTable
from endivesill.membership.messages import Health, VmUpdate
from endivesill.membership.settings import MembershipSettings
from endivesill.timer import TimerHandle, TimerService

__all__ = ["SuspicionTimers"]

# The last probe is sent this many probe timeouts before the suspicion expires.
LAST_PROBE_LEAD_TIMEOUTS = 3


class SuspicionTimers:
    """Runs a timer for each suspect VM of the member table.

    Args:
      timer: the timer service.
      table: the member table.
      settings: the suspicion and probe timeouts.
      apply: merges an update and broadcasts it.
      probe_again: sends a probe that notifies a suspect of the suspicion.
    """

    def __init__(
        self,
        timer: TimerService,
        table: MemberTable,
        settings: MembershipSettings,
        apply: Callable[[VmUpdate], None],
        probe_again: Callable[[VmUpdate], None],
    ) -> None:
        self._timer = timer
        self._table = table
        self._settings = settings
        self._apply = apply
        self._probe_again = probe_again
        self._timers: dict[str, TimerHandle] = {}
        table.subscribe(self._on_change)

    def suspect(self, member: VmUpdate) -> None:
        """Mark a VM as suspect, unless its state has changed since the probe."""
        if member.health is Health.OK and self._table.get(member.name) == member:
            self._apply(attrs.evolve(member, health=Health.SUSPECT))

    def restart(self) -> None:
        """Restart the timers of all suspects, as after a process pause."""
        for name in list(self._timers):
            self._timers.pop(name).cancel()
            member = self._table.get(name)
            if member is not None and member.health is Health.SUSPECT:
                self._start_timer(member)

    def close(self) -> None:
        """Cancel all timers."""
        for handle in self._timers.values():
            handle.cancel()
        self._timers.clear()

    def _on_change(self, known: VmUpdate | None, update: VmUpdate) -> None:
        handle = self._timers.pop(update.name, None)
        if handle is not None:
            handle.cancel()
        if update.health is Health.SUSPECT:
            self._start_timer(update)

    def _start_timer(self, member: VmUpdate) -> None:
        data_centre_vms = [
            m for m in self._table.others() if m.data_centre == member.data_centre
        ]
        delay_s = self._settings.suspicion_s(len(data_centre_vms))
        last_probe_s = max(
            0.0, delay_s - LAST_PROBE_LEAD_TIMEOUTS * self._settings.probe_timeout_s
        )
        self._timers[member.name] = self._timer.call_after(
            last_probe_s, lambda: self._send_last_probe(member, delay_s - last_probe_s)
        )

    def _send_last_probe(self, member: VmUpdate, remaining_s: float) -> None:
        """Probe a suspect again, in case its refutation was lost."""
        self._probe_again(member)
        self._timers[member.name] = self._timer.call_after(
            remaining_s, lambda: self._expire(member)
        )

    def _expire(self, member: VmUpdate) -> None:
        current = self._table.get(member.name)
        if current is not None and current.rank() == member.rank():
            self._apply(attrs.evolve(current, health=Health.GONE))
