"""Base of the profiles of the platform soak, and their registry."""

from __future__ import annotations

import collections
import random
from collections.abc import Mapping
from typing import Any

from bench.platform_soak_callers import CallRecord
from bench.platform_soak_cuts import CutRecords
from bench.platform_soak_faults import STANDARD, Fault, make_faults
from bench.platform_soak_fleet import GRACE_S, SoakFleet
from bench.platform_soak_targets import PlatformTargetList, SoakTarget
from endivesill.timer import TimerService

__all__ = ["PROFILES", "Profile", "register"]

PROFILES: dict[str, type[Profile]] = {}


def register(profile: type[Profile]) -> type[Profile]:
    """Register a profile under its name."""
    PROFILES[profile.name] = profile
    return profile


@register
class Profile:
    """Faults of all kinds, without callers and checks of its own.

    Args:
      timer: the timer service.
      seed: seed of the faults and of the profile's callers.

    Attributes:
      records: attempts of the profile's callers that the usual checks apply to.
      load_s: shortest time from the start of the load to the end of the faults.
      figures: counts for the report.
      cuts: records the cuts of entries.
    """

    name = STANDARD
    # Name of the profile whose faults are used; empty for its own.
    faults_of = ""
    grace_s = GRACE_S
    targets_per_data_centre = 1
    # Further lines of the bounds in the processes' settings.
    further_bounds = ""
    # Further fields of the model engines in the configuration.
    engine_features: Mapping[str, bool] = {}

    def __init__(self, timer: TimerService, seed: int) -> None:
        self._timer = timer
        self._seed = seed
        self.records: list[CallRecord] = []
        self.load_s = 0.0
        self.figures: dict[str, Any] = {}
        self.cuts = CutRecords(timer)

    def make_faults(self, duration_s: float) -> list[Fault]:
        """Return the faults in order of time."""
        return make_faults(self._seed, duration_s, self.faults_of or self.name)

    def make_target(
        self,
        service: str,
        data_centre: str,
        run_counts: collections.Counter[str],
        rng: random.Random,
    ) -> SoakTarget:
        """Return a target that is not started."""
        return SoakTarget(self._timer, service, data_centre, run_counts, rng)

    def make_target_list(self, targets: list[SoakTarget]) -> PlatformTargetList:
        """Return the platform's list of targets, which is not started."""
        return PlatformTargetList(self._timer, targets)

    async def run(self, fleet: SoakFleet) -> None:
        """Call until cancelled."""

    async def stop(self) -> None:
        """Stop what the profile has started."""

    def note_stop(self, name: str) -> None:
        """Record that a VM gets SIGTERM now."""

    def check(self) -> list[str]:
        """Return the violations found."""
        return []
