"""Profiles of the platform soak: faults, callers and checks of a kind of run."""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Mapping

import attrs

from bench.fault_proxy import CutKind
from bench.platform_soak_callers import Callers
from bench.platform_soak_crash_callers import CrashCallers
from bench.platform_soak_crashes import FIRST_WAVE_S, CrashingTarget, CrashRecords
from bench.platform_soak_cuts import CutRecords
from bench.platform_soak_faults import Fault, make_faults
from bench.platform_soak_fleet import SoakFleet
from bench.platform_soak_limits import LimitCallers, LimitedTarget, LimitRecords
from bench.platform_soak_mass_cuts import EntryCallers, mass_cuts
from bench.platform_soak_odd_entries import DepartingTarget, OddTargetList
from bench.platform_soak_orders import OrderOperators
from bench.platform_soak_profile import PROFILES, Profile, register
from bench.platform_soak_rollouts import RolloutProfile
from bench.platform_soak_runs import RunCallers, RunRecords, RunTarget
from bench.platform_soak_stops import RecordingTarget, StopCallers, StopRecords
from bench.platform_soak_targets import PlatformTargetList, SoakTarget
from endivesill.timer import TimerService

__all__ = ["Profile", "RolloutProfile", "make_profile"]

LONG_GRACE_S = 8.0
# Part of the success at other entries that those which are cut off are to reach.
MIN_MASS_CUT_RATIO = 0.95


def make_profile(name: str, timer: TimerService, seed: int) -> Profile:
    """Return the profile with a name.

    Raises:
      KeyError: there is none.
    """
    return PROFILES[name](timer, seed)


@register
class StopProfile(Profile):
    """Entries that stop while callers use their connections to the end."""

    name = "stops"
    grace_s = LONG_GRACE_S

    def __init__(self, timer: TimerService, seed: int) -> None:
        super().__init__(timer, seed)
        self._stops = StopRecords(timer, self.grace_s)

    def make_target(
        self,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
    ) -> SoakTarget:
        """Return a target that records when requests came and ended."""
        return RecordingTarget(
            self._timer, service, data_centre, run_counts, rng, self._stops
        )

    async def run(self, fleet: SoakFleet) -> None:
        """Call until cancelled."""
        callers = StopCallers(self._timer, fleet, self._seed, self.records)
        await callers.run()

    def note_stop(self, name: str) -> None:
        """Record that a VM gets SIGTERM now."""
        self._stops.add_stop(name)

    def check(self) -> list[str]:
        """Return the requests that were given up by a stopping entry."""
        findings, self.figures = self._stops.check(self.records)
        return findings


@register
class CrashProfile(Profile):
    """Engines that crash on a part of prompts; odd seeds have further faults."""

    name = "crashes"
    targets_per_data_centre = 4
    is_plain = False

    def __init__(self, timer: TimerService, seed: int) -> None:
        super().__init__(timer, seed)
        self._crashes = CrashRecords(timer, seed, is_plain=self.is_plain)

    def make_faults(self, duration_s: float) -> list[Fault]:
        """Return the faults in order of time."""
        self._crashes.duration_s = duration_s
        self.load_s = FIRST_WAVE_S + duration_s
        faults = super().make_faults(duration_s) if self._seed % 2 else []
        return [attrs.evolve(f, at_s=f.at_s + FIRST_WAVE_S) for f in faults]

    def make_target(
        self,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
    ) -> SoakTarget:
        """Return a target that crashes on a part."""
        return CrashingTarget(
            self._timer, service, data_centre, run_counts, rng, self._crashes
        )

    async def run(self, fleet: SoakFleet) -> None:
        """Call until cancelled."""
        callers = CrashCallers(
            self._timer, fleet, self._seed, self.records, self._crashes
        )
        await callers.run()

    async def stop(self) -> None:
        """Stop the restarts of targets."""
        await self._crashes.cancel_restarts()

    def check(self) -> list[str]:
        """Return what broke the bounds on crashes and on sound streams."""
        findings, self.figures = self._crashes.check()
        return findings


@register
class RequestCrashProfile(CrashProfile):
    """Plain targets of a small service that crash on a request that comes again."""

    name = "requests"
    faults_of = CrashProfile.name
    targets_per_data_centre = 1
    is_plain = True


@register
class LimitProfile(Profile):
    """Plain targets that limit the rate of requests from all entries together."""

    name = "limits"

    def __init__(self, timer: TimerService, seed: int) -> None:
        super().__init__(timer, seed)
        self._limits = LimitRecords()

    def make_faults(self, duration_s: float) -> list[Fault]:
        """Return the faults in order of time; the limits end with them."""
        self._limits.until_s = self._timer.now_s() + duration_s
        self.load_s = duration_s
        return super().make_faults(duration_s)

    def make_target(
        self,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
    ) -> SoakTarget:
        """Return a target that names limits."""
        return LimitedTarget(
            self._timer, service, data_centre, run_counts, rng, self._limits
        )

    async def run(self, fleet: SoakFleet) -> None:
        """Call until cancelled."""
        callers = LimitCallers(self._timer, fleet, self._seed, self.records)
        await callers.run()

    def check(self) -> list[str]:
        """Return the limits that were broken."""
        findings, self.figures = self._limits.check()
        return findings


@register
class CutProfile(Profile):
    """Entries that lose their links to all or some targets while others keep theirs."""

    name = "cuts"
    targets_per_data_centre = 2

    def make_faults(self, duration_s: float) -> list[Fault]:
        """Return the faults in order of time; the first one cuts an entry off."""
        self.load_s = duration_s
        faults = super().make_faults(duration_s)
        first = Fault(0.5, "cut_entry", "entry-a", 8.0, CutKind.HANGS.value, "all")
        return [first, *(attrs.evolve(f, at_s=f.at_s + 1.0) for f in faults)]

    async def run(self, fleet: SoakFleet) -> None:
        """Call until cancelled."""
        callers = Callers(self._timer, fleet, f"{self._seed} cuts")
        self.records = callers.records
        await asyncio.gather(callers.run(), self.cuts.watch(fleet))

    def check(self) -> list[str]:
        """Return whether callers of entries that were cut off were served worse."""
        findings, self.figures = self.cuts.check(self.records)
        return findings


@register
class MassCutProfile(CutProfile):
    """Many entries of a large fleet that lose their links to targets at once."""

    name = "mass-cuts"
    targets_per_data_centre = 6

    def __init__(self, timer: TimerService, seed: int) -> None:
        super().__init__(timer, seed)
        self.cuts = CutRecords(timer, MIN_MASS_CUT_RATIO)
        self._callers = EntryCallers(timer, seed, self.cuts)
        self.records = self._callers.records

    def make_faults(self, duration_s: float) -> list[Fault]:
        """Return the faults in order of time."""
        self.load_s = duration_s
        faults = make_faults(self._seed, duration_s, self.name)
        return sorted([*mass_cuts(self._seed, duration_s), *faults])

    async def run(self, fleet: SoakFleet) -> None:
        """Call until cancelled."""
        await asyncio.gather(self._callers.run(fleet), self.cuts.watch(fleet))

    async def stop(self) -> None:
        """Stop the requests that are under way."""
        self._callers.stop()


@register
class OrderProfile(Profile):
    """Operators that evacuate data centres while control VMs are suspended."""

    name = "orders"

    def __init__(self, timer: TimerService, seed: int) -> None:
        super().__init__(timer, seed)
        self._operators = OrderOperators(timer, seed)
        self._fleet: SoakFleet | None = None
        self._findings: list[str] = []

    def make_faults(self, duration_s: float) -> list[Fault]:
        """Return the faults in order of time; the orders end with them."""
        self._operators.until_s = self._timer.now_s() + duration_s
        self.load_s = duration_s
        return super().make_faults(duration_s)

    async def run(self, fleet: SoakFleet) -> None:
        """Send orders until the faults end."""
        self._fleet = fleet
        await self._operators.run(fleet)

    async def stop(self) -> None:
        """Check the orders in force, while the fleet still runs."""
        self._operators.close()
        if self._fleet is not None:
            self._findings = await self._operators.check(self._fleet)

    def check(self) -> list[str]:
        """Return where an old order is in force."""
        self.figures = self._operators.figures()
        return self._findings


@register
class EntryProfile(Profile):
    """Entries of other writers in the list, while targets come and go."""

    name = "entries"

    def make_target_list(self, targets: list[SoakTarget]) -> PlatformTargetList:
        """Return a list with odd entries."""
        self._list = OddTargetList(self._timer, targets, self._seed)
        return self._list

    def make_target(
        self,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
    ) -> SoakTarget:
        """Return a target that records requests after its departure was listed."""
        return DepartingTarget(self._timer, service, data_centre, run_counts, rng)

    def check(self) -> list[str]:
        """Return the targets that got requests long after they were listed to leave."""
        self.figures = {"odd_pages": self._list.odd_pages}
        return self._list.findings()


@register
class RunProfile(Profile):
    """Engines that keep runs until they are ordered to stop them."""

    name = "runs"
    grace_s = LONG_GRACE_S
    targets_per_data_centre = 2
    engine_features: Mapping[str, bool] = {"backups": True, "moves": True}

    def __init__(self, timer: TimerService, seed: int) -> None:
        super().__init__(timer, seed)
        self._runs = RunRecords()

    def make_faults(self, duration_s: float) -> list[Fault]:
        """Return the faults in order of time; the engines' ones end with them."""
        self._runs.until_s = self._timer.now_s() + duration_s
        self.load_s = duration_s
        return super().make_faults(duration_s)

    def make_target(
        self,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
    ) -> SoakTarget:
        """Return a target whose engine keeps runs."""
        return RunTarget(self._timer, service, data_centre, run_counts, rng, self._runs)

    async def run(self, fleet: SoakFleet) -> None:
        """Call until cancelled."""
        callers = RunCallers(self._timer, fleet, self._seed, self.records)
        await callers.run()

    def check(self) -> list[str]:
        """Return the runs that went on where they should not."""
        findings, self.figures = self._runs.check(self.records)
        return findings


@register
class ReplacementProfile(Profile):
    """Control VMs that are replaced, several at a time, beside faults of others."""

    name = "replacements"
