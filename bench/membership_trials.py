"""Trials of failure detection on the manual timer."""

from __future__ import annotations

import asyncio
import random

import attrs

from bench.memory_fleet import MemoryFleet, make_targets
from endivesill.membership import SwimMembership
from endivesill.membership.messages import Health, VmUpdate

__all__ = ["DetectionResults", "run_detection_trials", "vms_per_data_centre"]

STEP_S = 0.25
DETECTION_TIMEOUT_S = 15.0
SETTLE_S = 2.0
PACKET_LOSS = 0.02
TARGET_COUNT = 120


def vms_per_data_centre(vms: int) -> dict[str, int]:
    """Return the number of VMs in each of three data centres."""
    return {
        name: vms // 3 + (1 if vms % 3 > number else 0)
        for number, name in enumerate("abc")
    }


@attrs.define
class DetectionResults:
    """The results of one run of trials.

    Attributes:
      times_s: time from each death of a VM until all other VMs had learned of it.
      data_centre_times_s: the same for the death of a whole data centre.
      leaving_times_s: time from the report of a leaving target until all VMs had
        learned of it.
      missed: deaths and leaving targets that some VM did not learn of in time.
      false_deaths: number of times that a VM took a running VM for gone.
      homes_moved: homes that moved although their VM did not die.
      homes_checked: homes on VMs that did not die, which must not move.
      manual_s: duration of the run on the manual timer.
    """

    times_s: list[float] = attrs.Factory(list)
    data_centre_times_s: list[float] = attrs.Factory(list)
    leaving_times_s: list[float] = attrs.Factory(list)
    missed: int = 0
    false_deaths: int = 0
    homes_moved: int = 0
    homes_checked: int = 0
    manual_s: float = 0.0


class _DetectionTrials:
    def __init__(self, vms: int, seed: int) -> None:
        self.fleet = MemoryFleet(vms_per_data_centre(vms), seed)
        self.fleet.network.loss = PACKET_LOSS
        self.fleet.network.jitter_s = 0.002
        self.rng = random.Random(seed)
        self.results = DetectionResults()
        self.learned_s: dict[str, dict[str, float]] = {}
        self.targets = make_targets(TARGET_COUNT, list("abc"))

    def record_deaths(self, observer: str, member: SwimMembership) -> None:
        def record_death(previous: VmUpdate | None, update: VmUpdate) -> None:
            if update.health is not Health.GONE:
                return
            running_member = self.fleet.members.get(update.name)
            if running_member is None:
                now_s = self.fleet.timer.now_s()
                self.learned_s.setdefault(update.name, {}).setdefault(observer, now_s)
            elif running_member.own_record.instance_id == update.instance_id:
                self.results.false_deaths += 1

        member.table.subscribe(record_death)

    async def start(self, name: str) -> None:
        self.record_deaths(name, await self.fleet.start(name))

    async def start_all(self) -> None:
        for name in self.fleet.locations:
            await self.start(name)
        await self.fleet.timer.advance(5.0)

    async def kill(self, names: list[str]) -> float | None:
        """Kill VMs at the same time; return the time until all others know, or None."""
        self.learned_s.clear()
        started_s = self.fleet.timer.now_s()
        for name in names:
            await self.fleet.kill(name)
        observers = len(self.fleet.members)
        while self.fleet.timer.now_s() - started_s < DETECTION_TIMEOUT_S:
            await self.fleet.timer.advance(STEP_S)
            if all(len(self.learned_s.get(name, {})) == observers for name in names):
                last_s = max(max(self.learned_s[name].values()) for name in names)
                return last_s - started_s
        self.results.missed += 1
        return None

    async def measure_vm_death(self) -> None:
        """Kill one VM, count the homes that moved, and restart the VM."""
        await self.fleet.timer.advance(self.rng.random())
        victim = self.rng.choice(sorted(self.fleet.members))
        observer = next(name for name in self.fleet.members if name != victim)
        before = self.fleet.homes(self.targets, observer)
        time_s = await self.kill([victim])
        if time_s is not None:
            self.results.times_s.append(time_s)
        after = self.fleet.homes(self.targets, observer)
        surviving = [name for name, home in before.items() if home != victim]
        self.results.homes_checked += len(surviving)
        self.results.homes_moved += sum(
            before[name] != after[name] for name in surviving
        )
        await self.start(victim)
        await self.fleet.timer.advance(SETTLE_S)

    async def measure_data_centre_death(self) -> None:
        """Kill all VMs of a data centre and restart them."""
        names = self.fleet.in_data_centre(self.rng.choice("abc"))
        time_s = await self.kill(names)
        if time_s is not None:
            self.results.data_centre_times_s.append(time_s)
        for name in names:
            await self.start(name)
        await self.fleet.timer.advance(5.0)

    async def measure_leaving_target(self, number: int) -> None:
        """Report a leaving target at one VM and measure the time until all VMs know."""
        started_s = self.fleet.timer.now_s()
        name = f"leaving-{number}"
        reporter = self.fleet.members[self.rng.choice(sorted(self.fleet.members))]
        times_s: list[float] = []
        for member in self.fleet.members.values():
            member.leaving_targets.subscribe(
                lambda reported: (
                    times_s.append(self.fleet.timer.now_s())
                    if reported == name
                    else None
                )
            )
        reporter.leaving_targets.apply_load_report(name, "boot", 30.0)
        await self.fleet.timer.advance(SETTLE_S)
        if len(times_s) == len(self.fleet.members):
            self.results.leaving_times_s.append(max(times_s) - started_s)
        else:
            self.results.missed += 1

    async def run(self, manual_s: float) -> DetectionResults:
        await self.start_all()
        started_s = self.fleet.timer.now_s()
        number = 0
        while self.fleet.timer.now_s() - started_s < manual_s:
            number += 1
            if number % 20 == 10:
                await self.measure_leaving_target(number)
            elif number % 20 == 0:
                await self.measure_data_centre_death()
            else:
                await self.measure_vm_death()
        self.results.manual_s = self.fleet.timer.now_s() - started_s
        await self.fleet.stop()
        return self.results


def run_detection_trials(vms: int, manual_s: float, seed: int) -> DetectionResults:
    """Kill and restart VMs at `PACKET_LOSS` for `manual_s` on the manual timer."""
    return asyncio.run(_DetectionTrials(vms, seed).run(manual_s))
