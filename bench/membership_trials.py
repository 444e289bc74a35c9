"""Trials of failure detection on the manual timer, with counted deaths."""

from __future__ import annotations

import asyncio
import random

import attrs

from bench.memory_fleet import MemoryFleet, make_targets
from endivesill.membership import SwimMembership
from endivesill.membership.messages import Health, VmUpdate

__all__ = ["Detections", "run_detections", "spread"]

STEP_S = 0.25
GIVE_UP_S = 15.0
REST_S = 2.0
LOSS = 0.02
TARGETS = 120


def spread(vms: int) -> dict[str, int]:
    """Return how many VMs each of three data centres gets."""
    return {
        name: vms // 3 + (1 if vms % 3 > number else 0)
        for number, name in enumerate("abc")
    }


@attrs.define
class Detections:
    """What one run of trials found.

    Attributes:
      times_s: from each death until every VM knew of it.
      data_centre_times_s: the same for a whole data centre.
      leaving_times_s: from a target's word until every VM knew of it.
      missed: deaths that some VM did not learn of in time.
      false_deaths: VMs that ran and were taken for gone.
      homes_moved: homes that moved although their VM did not die.
      homes_checked: homes of other VMs that could have moved.
      manual_s: how long the run lasted on the manual timer.
    """

    times_s: list[float] = attrs.Factory(list)
    data_centre_times_s: list[float] = attrs.Factory(list)
    leaving_times_s: list[float] = attrs.Factory(list)
    missed: int = 0
    false_deaths: int = 0
    homes_moved: int = 0
    homes_checked: int = 0
    manual_s: float = 0.0


class _Trials:
    def __init__(self, vms: int, seed: int) -> None:
        self.fleet = MemoryFleet(spread(vms), seed)
        self.fleet.network.loss = LOSS
        self.fleet.network.jitter_s = 0.002
        self.rng = random.Random(seed)
        self.found = Detections()
        self.known: dict[str, dict[str, float]] = {}
        self.targets = make_targets(TARGETS, list("abc"))

    def watch(self, observer: str, member: SwimMembership) -> None:
        def changed(known: VmUpdate | None, update: VmUpdate) -> None:
            if update.health is not Health.GONE:
                return
            running = self.fleet.members.get(update.name)
            if running is None:
                now_s = self.fleet.timer.now_s()
                self.known.setdefault(update.name, {}).setdefault(observer, now_s)
            elif running.own_record.instance_id == update.instance_id:
                self.found.false_deaths += 1

        member.table.subscribe(changed)

    async def start(self, name: str) -> None:
        self.watch(name, await self.fleet.start(name))

    async def start_all(self) -> None:
        for name in self.fleet.places:
            await self.start(name)
        await self.fleet.timer.advance(5.0)

    async def kill(self, names: list[str]) -> float | None:
        """Kill VMs at once; return the time until all others know of all."""
        self.known.clear()
        started_s = self.fleet.timer.now_s()
        for name in names:
            await self.fleet.kill(name)
        observers = len(self.fleet.members)
        while self.fleet.timer.now_s() - started_s < GIVE_UP_S:
            await self.fleet.timer.advance(STEP_S)
            if all(len(self.known.get(name, {})) == observers for name in names):
                last_s = max(max(self.known[name].values()) for name in names)
                return last_s - started_s
        self.found.missed += 1
        return None

    async def death(self) -> None:
        """Kill one VM, count the homes that moved, start it again."""
        await self.fleet.timer.advance(self.rng.random())
        victim = self.rng.choice(sorted(self.fleet.members))
        observer = next(name for name in self.fleet.members if name != victim)
        before = self.fleet.homes(self.targets, observer)
        time_s = await self.kill([victim])
        if time_s is not None:
            self.found.times_s.append(time_s)
        after = self.fleet.homes(self.targets, observer)
        kept = [name for name, home in before.items() if home != victim]
        self.found.homes_checked += len(kept)
        self.found.homes_moved += sum(before[name] != after[name] for name in kept)
        await self.start(victim)
        await self.fleet.timer.advance(REST_S)

    async def data_centre_death(self) -> None:
        """Kill a data centre and start it again."""
        names = self.fleet.in_data_centre(self.rng.choice("abc"))
        time_s = await self.kill(names)
        if time_s is not None:
            self.found.data_centre_times_s.append(time_s)
        for name in names:
            await self.start(name)
        await self.fleet.timer.advance(5.0)

    async def target_leaves(self, number: int) -> None:
        """Let a target say that it leaves, and time until all VMs know."""
        started_s = self.fleet.timer.now_s()
        name = f"leaving-{number}"
        teller = self.fleet.members[self.rng.choice(sorted(self.fleet.members))]
        times_s: list[float] = []
        for member in self.fleet.members.values():
            member.leaving_targets.subscribe(
                lambda told: (
                    times_s.append(self.fleet.timer.now_s()) if told == name else None
                )
            )
        teller.leaving_targets.apply_load_report(name, "boot", 30.0)
        await self.fleet.timer.advance(REST_S)
        if len(times_s) == len(self.fleet.members):
            self.found.leaving_times_s.append(max(times_s) - started_s)
        else:
            self.found.missed += 1

    async def run(self, manual_s: float) -> Detections:
        await self.start_all()
        started_s = self.fleet.timer.now_s()
        number = 0
        while self.fleet.timer.now_s() - started_s < manual_s:
            number += 1
            if number % 20 == 10:
                await self.target_leaves(number)
            elif number % 20 == 0:
                await self.data_centre_death()
            else:
                await self.death()
        self.found.manual_s = self.fleet.timer.now_s() - started_s
        await self.fleet.stop()
        return self.found


def run_detections(vms: int, manual_s: float, seed: int) -> Detections:
    """Kill and restart VMs at 2 % loss for a time on the manual timer."""
    return asyncio.run(_Trials(vms, seed).run(manual_s))
