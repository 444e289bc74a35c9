"""Injects the faults of the platform soak into a fleet and its targets."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol

import attrs

from bench.fault_proxy import CutKind, FaultProxy, LinkState
from bench.platform_soak_cuts import CutRecords, entry_group
from bench.platform_soak_faults import Fault
from bench.platform_soak_fleet import DATA_CENTRES, SoakFleet, SoakProcess
from bench.platform_soak_targets import PlatformTargetList, SoakTarget
from endivesill.timer import TimerService

__all__ = ["FaultInjector"]

# Control VMs get no fault for this long after one has lost its disk: that replica
# must be replaced first.
VOTER_REPAIR_S = 8.0
# After a control VM has gone without a word, no other goes for this long: the leader
# misses it after 1 s, or its own successor does, after an election.
UNANNOUNCED_REPAIR_S = 4.0
FROZEN_S = 2.0


class _Run(Protocol):
    """The run that faults are injected into."""

    async def add_target(self, service: str, data_centre: str) -> None:
        """Add a target."""

    def note_stop(self, name: str) -> None:
        """Record that a VM gets SIGTERM now."""


class FaultInjector:
    """Injects faults, each with a method named after its action.

    Args:
      timer: the timer service.
      fleet: the fleet.
      targets: the listed targets; changed.
      target_list: the platform's target list.
      run: adds targets and records stops.
      cuts: records the cuts of entries.

    Attributes:
      skipped: number of faults that were not injected since their process was down,
        in another fault or under repair.
      replaced_controls: number of control VMs that were replaced.
    """

    def __init__(
        self,
        timer: TimerService,
        fleet: SoakFleet,
        targets: list[SoakTarget],
        target_list: PlatformTargetList,
        run: _Run,
        cuts: CutRecords,
    ) -> None:
        self._timer = timer
        self._fleet = fleet
        self._targets = targets
        self._target_list = target_list
        self._run = run
        self._cuts = cuts
        self._tasks: set[asyncio.Task[None]] = set()
        self._repair_until_s = 0.0
        self._removal_lock = asyncio.Lock()
        self.replaced_controls = 0
        self.skipped = 0

    async def inject(self, faults: list[Fault]) -> None:
        """Inject faults at their times; return when all have ended."""
        started_s = self._timer.now_s()
        for fault in faults:
            await self._timer.sleep(started_s + fault.at_s - self._timer.now_s())
            task = asyncio.ensure_future(getattr(self, f"_{fault.action}")(fault))
            self._tasks.add(task)
        await asyncio.gather(*self._tasks)

    def _available_process(self, fault: Fault) -> SoakProcess | None:
        """Return the process of a fault; None, counted as skipped, if unavailable."""
        process = self._fleet.processes[fault.subject]
        is_under_repair = process.role == "control" and (
            self._timer.now_s() < self._repair_until_s
        )
        if process.process is None or process.has_active_fault or is_under_repair:
            self.skipped += 1
            return None
        return process

    async def _kill(self, fault: Fault) -> None:
        process = self._available_process(fault)
        if process is not None:
            process.kill()
            await self._timer.sleep(fault.for_s)
            self._fleet.launch(process)

    async def _kill_leader(self, fault: Fault) -> None:
        leader = await self._fleet.find_leader(self._timer)
        if leader:
            await self._kill(attrs.evolve(fault, subject=leader))
        else:
            self.skipped += 1

    async def _pause(self, fault: Fault) -> None:
        process = self._available_process(fault)
        if process is not None:
            process.has_active_fault = True
            process.signal(signal.SIGSTOP)
            await self._timer.sleep(fault.for_s)
            process.signal(signal.SIGCONT)
            process.has_active_fault = False

    async def _stop(self, fault: Fault) -> None:
        process = self._available_process(fault)
        if process is None or process.process is None:
            return
        self._run.note_stop(process.name)
        # Keeps other faults off the process while it stops.
        process.has_active_fault = True
        await self._end_by_sigterm(process)
        process.kill()
        await self._timer.sleep(fault.for_s)
        self._fleet.launch(process)

    async def _replace_control(self, fault: Fault) -> None:
        """Start a control VM, and remove another one once it may be counted on."""
        self.replaced_controls += 1
        await self._fleet.add_control(
            DATA_CENTRES[self.replaced_controls % len(DATA_CENTRES)]
        )
        await self._timer.sleep(fault.for_s)
        # Of several at the same time, one goes after the other.
        async with self._removal_lock:
            wait_s = self._repair_until_s - self._timer.now_s()
            await self._timer.sleep(max(0.0, wait_s))
            old = await self._find_control(fault.subject)
            old.has_active_fault = True
            if fault.link != "stop":
                self._repair_until_s = self._timer.now_s() + UNANNOUNCED_REPAIR_S
                if fault.link == "freeze":
                    self._repair_until_s += FROZEN_S
                    old.signal(signal.SIGSTOP)
                    await self._timer.sleep(FROZEN_S)
                await self._fleet.remove_control(old)
                return
            await self._end_by_sigterm(old)
            await self._fleet.remove_control(old)

    async def _find_control(self, subject: str) -> SoakProcess:
        """Return the oldest control VM, or the leader."""
        controls = self._fleet.with_role("control")
        leader = await self._fleet.find_leader(self._timer)
        if subject == "leader" and leader:
            return self._fleet.processes[leader]
        return controls[0]

    async def _end_by_sigterm(self, process: SoakProcess) -> None:
        running = process.process
        process.signal(signal.SIGTERM)
        timeout_at_s = self._timer.now_s() + self._fleet.grace_s
        while running is not None and running.poll() is None:
            if self._timer.now_s() > timeout_at_s:
                return
            await self._timer.sleep(0.05)

    async def _wipe_disk(self, fault: Fault) -> None:
        process = self._available_process(fault)
        controls = self._fleet.with_role("control")
        if process is None or any(
            c.process is None or c.has_active_fault for c in controls
        ):
            self.skipped += 1
            return
        self._repair_until_s = self._timer.now_s() + fault.for_s + VOTER_REPAIR_S
        process.kill()
        process.wipe_disk()
        await self._timer.sleep(fault.for_s)
        self._fleet.launch(process)

    async def _fail_disk(self, fault: Fault) -> None:
        process = self._available_process(fault)
        if process is not None:
            process.limit_file_size(0)
            process.has_active_fault = True
            await self._timer.sleep(fault.for_s)
            process.kill()
            self._fleet.launch(process)

    async def _kill_all_controls(self, fault: Fault) -> None:
        if self._timer.now_s() < self._repair_until_s:
            self.skipped += 1
            return
        down = [c for c in self._fleet.with_role("control") if not c.has_active_fault]
        for process in down:
            process.kill()
        await self._timer.sleep(fault.for_s)
        for process in down:
            if process.process is None:
                self._fleet.launch(process)

    async def _impair(self, proxy: FaultProxy, fault: Fault) -> None:
        proxy.set(LinkState(fault.link))
        await self._timer.sleep(fault.for_s)
        proxy.set(LinkState.OPEN)

    async def _impair_entry_link(self, fault: Fault) -> None:
        await self._impair(self._fleet.entry_proxies[fault.subject], fault)

    async def _impair_control_link(self, fault: Fault) -> None:
        await self._impair(self._fleet.control_proxies[fault.subject], fault)

    async def _impair_list_link(self, fault: Fault) -> None:
        await self._impair(self._target_list.proxy, fault)

    async def _cut_entry(self, fault: Fault) -> None:
        """Cut an entry's links to targets, unless no other entry would have its own."""
        entries = {process.name for process in self._fleet.with_role("entry")}
        others = entries - {fault.subject}
        if self._cuts.is_cut(fault.subject) or all(map(self._cuts.is_cut, others)):
            self.skipped += 1
            return
        await self._cut([self._fleet.processes[fault.subject]], fault)

    async def _cut_entries(self, fault: Fault) -> None:
        """Cut the links of a group of entries at once."""
        entries = entry_group(fault.subject, self._fleet.with_role("entry"))
        await self._cut(entries, fault)

    async def _cut(self, entries: list[SoakProcess], fault: Fault) -> None:
        hosts = [entry.ip for entry in entries]
        targets = [
            target
            for target in self._targets
            if fault.scope in ("all", target.service, target.data_centre)
        ]
        for entry in entries:
            self._cuts.note_cut(entry.name)
        for target in targets:
            target.proxy.cut(hosts, CutKind(fault.link))
        await self._timer.sleep(fault.for_s)
        for target in targets:
            target.proxy.heal(hosts)
        for entry in entries:
            self._cuts.note_healed(entry.name)

    def _target(self, fault: Fault) -> SoakTarget:
        return self._targets[int(fault.subject) % len(self._targets)]

    async def _impair_target_link(self, fault: Fault) -> None:
        await self._impair(self._target(fault).proxy, fault)

    async def _crash_target(self, fault: Fault) -> None:
        target = self._target(fault)
        await target.stop()
        await self._replace_target(target, fault.for_s)

    async def _drain_target(self, fault: Fault) -> None:
        target = self._target(fault)
        target.is_draining = True
        await self._timer.sleep(fault.for_s)
        await target.stop()
        await self._replace_target(target, 0.0)

    async def _replace_target(
        self, target: SoakTarget, delisting_delay_s: float
    ) -> None:
        """Remove a stopped target from the list after a delay, and add a new one."""
        await self._timer.sleep(delisting_delay_s)
        if target in self._targets:
            self._targets.remove(target)
            await self._run.add_target(target.service, target.data_centre)
